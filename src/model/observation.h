#pragma once
// The externally visible effects of a daemon's step, which the invariants are checked against.
#include <vector>

#include "configuration/update.h"
#include "model/operator_changes.h"
#include "model/timed_proposer.h"

namespace quayrill::model {

// One externally visible fact.
struct Observation {
  enum class Kind {
    Chosen,          // a value is known to be chosen
    WritesRejected,  // these writes were reported to never take effect
    ChangeAnswered,  // an operator received the result of a change
  };
  Kind kind = Kind::Chosen;
  // Chosen:
  RegisterKey key;
  RegisterValue value;
  bool isRead = false;
  ChangeSet acknowledgedBefore = 0;  // changes acknowledged before the read began
  // WritesRejected:
  std::vector<WriteId> writes;
  // ChangeAnswered:
  std::size_t change = 0;
  UpdateResult result{};
};

// The messages and observations that one step of a daemon produces.
struct StepEffects {
  Sends sends;
  std::vector<Observation> observations;
};

}  // namespace quayrill::model
