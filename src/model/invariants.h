#pragma once
// Invariants over the replicas' present state: the results of all reads that a quorum could answer
// now.
#include <string>
#include <vector>

#include "model/history.h"
#include "model/machine.h"

namespace quayrill::model {

// Returns a description of an invariant that is violated, or "". `machines` are all machines, in
// any order.
std::string findViolation(const std::vector<const Machine*>& machines, const History& history,
                          const std::vector<OperatorChange>& changes);

}  // namespace quayrill::model
