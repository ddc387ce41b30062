#pragma once
// One update of the register's body, as a state machine over settled reads and changes.
#include "configuration/update.h"
#include "register/proposer.h"

namespace quayrill {

// Nothing is proposed but what the update makes of a body that a settled read showed, and with
// the version of that body expected. A change of unknown result is settled by a read: it has a
// higher ballot than the change, so what it does not show can't be chosen any more.
class UpdateOperation {
 public:
  UpdateOperation(Update change, std::size_t bodyLimit, Instant deadline);

  // What to ask of the register next; nothing once `done` is there.
  std::optional<ChangeRequest> next(Instant now);
  void onAnswer(const ChangeOutcome& answer);
  const std::optional<UpdateDone>& done() const { return done_; }
  // The state but for the deadline and the update, which never change, as bytes: two of equal
  // bytes and the same update take the same steps from here on. For the model check.
  std::string stateBytes() const;
  Instant deadline() const { return deadline_; }

 private:
  enum class Step { Reading, Proposing, Settling };
  void judge(const RegisterValue& standing);
  void finish(UpdateResult result, std::string message = {});

  Update change_;
  std::size_t bodyLimit_;
  Instant deadline_;
  Step step_ = Step::Reading;
  RegisterValue proposed_;  // version: of the body it builds on
  std::optional<UpdateDone> done_;
};

}  // namespace quayrill
