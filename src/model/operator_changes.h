#pragma once
// The operators' configuration changes in the model. The register body holds only the applied
// changes, by the rules of configuration/update.h: each change builds on a number, here always
// takes the next one, and is recognized when it is sent again after it was applied.
#include <cstdint>
#include <string>
#include <vector>

#include "configuration/update.h"

namespace quayrill::model {

// One change. Sending the same name and basis twice is sending the same change again.
struct OperatorChange {
  std::string name;
  std::uint64_t basis = 0;
};

// A set of changes as bits, by their index in the configuration.
using ChangeSet = std::uint32_t;
inline ChangeSet bitOf(std::size_t change) { return ChangeSet{1} << change; }

// The update that applies a change to the register body. `treatsResendAsNew` injects a defect: a
// change that was applied before is not recognized.
Update updateOf(const OperatorChange& change, bool treatsResendAsNew);

// Those of `changes` that are applied in the body.
ChangeSet changesIn(const std::string& body, const std::vector<OperatorChange>& changes);

}  // namespace quayrill::model
