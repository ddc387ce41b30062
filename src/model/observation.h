#pragma once
// What a step of a daemon lets the outside see: the material of the invariants.
#include <vector>

#include "configuration/update.h"
#include "model/operator_changes.h"
#include "model/timed_proposer.h"

namespace quayrill::model {

struct Observation {
  enum class Kind {
    Chosen,          // a value was proved chosen
    WritesRejected,  // these writes were said never to take effect
    ChangeAnswered,  // the operator was answered
  };
  Kind kind = Kind::Chosen;
  RegisterKey key;
  RegisterValue value;
  bool isRead = false;
  ChangeSet acknowledgedBefore = 0;  // what was acknowledged when the read began
  std::vector<WriteId> writes;
  std::size_t change = 0;
  UpdateResult result{};
};

// What one step of a daemon sends and shows.
struct StepEffects {
  Sends sends;
  std::vector<Observation> observations;
};

}  // namespace quayrill::model
