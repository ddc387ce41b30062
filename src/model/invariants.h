#pragma once
// Invariants over what the replicas hold at one moment: every read that a quorum could end now.
#include <string>
#include <vector>

#include "model/history.h"
#include "model/machine.h"

namespace quayrill::model {

// The broken invariant in words; "" where none is. `machines`: all that run, in any order.
std::string findViolation(const std::vector<const Machine*>& machines, const History& history,
                          const std::vector<OperatorChange>& changes);

}  // namespace quayrill::model
