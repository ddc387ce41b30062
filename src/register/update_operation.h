#pragma once
// An update of the configuration in the register: read, apply the update, propose the result. A
// state machine that returns the register operations to start.
#include "configuration/update.h"
#include "register/proposer.h"

namespace quayrill {

// Proposes only the result of applying the update to a body returned by a settled read, and expects
// that body's version. If the result of the update is unknown, a read resolves it: the read has a
// higher ballot than the update, so an update that it doesn't show can't be chosen any more.
class UpdateOperation {
 public:
  UpdateOperation(Update update, std::size_t bodyLimit, Instant deadline);

  // The next register operation to start; nullopt once `done` is set.
  std::optional<ChangeRequest> next(Instant now);
  void onAnswer(const ChangeOutcome& answer);
  const std::optional<UpdateOutcome>& done() const { return done_; }
  // The state except the deadline and the update, which never update, encoded: operations with
  // equal bytes and the same update take the same steps from here on. Used by the model checker.
  std::string stateBytes() const;
  Instant deadline() const { return deadline_; }

 private:
  enum class Step { Reading, Proposing, Settling };
  void applyTo(const RegisterValue& current);
  void finish(UpdateResult result, std::string message = {});

  Update update_;
  std::size_t bodyLimit_;
  Instant deadline_;
  Step step_ = Step::Reading;
  RegisterValue proposed_;  // its version is that of the body that the update was applied to
  std::optional<UpdateOutcome> done_;
};

}  // namespace quayrill
