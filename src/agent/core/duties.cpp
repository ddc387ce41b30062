#include "agent/core/duties.h"

#include <algorithm>

#include "base/digest.h"

namespace quayrill {

namespace {
std::uint64_t weightOf(const std::string& duty, const Address& candidate) {
  return mixHash(stableHash(duty), stableHash(candidate.value));
}
}  // namespace

Address rendezvousOwner(const std::string& duty, const std::vector<Address>& live) {
  const auto owner = std::max_element(live.begin(), live.end(), [&](const auto& a, const auto& b) {
    return weightOf(duty, a) < weightOf(duty, b);
  });
  return owner == live.end() ? Address{} : *owner;
}

std::vector<Address> rendezvousOrder(const std::string& duty, std::vector<Address> candidates) {
  std::sort(candidates.begin(), candidates.end(), [&](const Address& a, const Address& b) {
    return weightOf(duty, a) > weightOf(duty, b);
  });
  return candidates;
}

std::size_t rendezvousRank(const std::string& duty, const std::vector<Address>& live,
                           const Address& self) {
  const std::uint64_t own = weightOf(duty, self);
  return static_cast<std::size_t>(std::count_if(
      live.begin(), live.end(), [&](const Address& other) { return weightOf(duty, other) > own; }));
}

}  // namespace quayrill
