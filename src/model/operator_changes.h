#pragma once
// The operators' configuration changes in the model. The register body is the smallest one that
// follows the production rules: each change builds on a number and takes the next one, and a change
// that was taken before is recognized when it is sent again.
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
// change that was taken before is not recognized.
Update updateOf(const OperatorChange& change, bool treatsResendAsNew);

// Those of `changes` that the body has taken.
ChangeSet changesIn(const std::string& body, const std::vector<OperatorChange>& changes);

}  // namespace quayrill::model
