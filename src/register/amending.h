#pragma once
// One amendment of the register's body, as a state machine over settled reads and changes.
#include "register/proposer.h"
#include "spec/amend.h"

namespace quayrill {

// Nothing is proposed but what the amendment makes of a body that a settled read showed, and with
// the version of that body expected. A change of unknown result is settled by a read: it has a
// higher ballot than the change, so what it does not show can't be chosen any more.
class Amending {
 public:
  Amending(Amendment change, std::size_t bodyLimit, Instant due);

  // What to ask of the register next; nothing once `done` is there.
  std::optional<ChangeAsked> next(Instant now);
  void onAnswer(const ChangeDone& answer);
  const std::optional<AmendDone>& done() const { return done_; }
  // The state but for the deadline and the amendment, which never change, as bytes: two of equal
  // bytes and the same amendment take the same steps from here on. For the model check.
  std::string stateBytes() const;
  Instant due() const { return due_; }

 private:
  enum class Step { Reading, Proposing, Settling };
  void judge(const RegisterValue& standing);
  void finish(AmendResult result, std::string message = {});

  Amendment change_;
  std::size_t bodyLimit_;
  Instant due_;
  Step step_ = Step::Reading;
  RegisterValue proposed_;  // version: of the body it builds on
  std::optional<AmendDone> done_;
};

}  // namespace quayrill
