#pragma once
// The operators' changes in the model: the smallest body that has the platform's rules. Each change
// builds on a number and takes the next one; a change that was taken before holds.
#include <cstdint>
#include <string>
#include <vector>

#include "configuration/update.h"

namespace quayrill::model {

// One change. Two calls with the same name and basis are the same change sent again.
struct OperatorChange {
  std::string name;
  std::uint64_t basis = 0;
};

// A set of orders by their index in the configuration, as bits.
using ChangeSet = std::uint32_t;
inline ChangeSet bitOf(std::size_t change) { return ChangeSet{1} << change; }

// `treatsResendAsNew` plants the error that a taken change is not known again.
Update updateOf(const OperatorChange& change, bool treatsResendAsNew);

// Those of `orders` that the body has taken.
ChangeSet changesIn(const std::string& body, const std::vector<OperatorChange>& changes);

}  // namespace quayrill::model
