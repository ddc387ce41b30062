#include "agent/core/leader_roles.h"

#include <algorithm>

#include "base/digest.h"

namespace quayrill {

namespace {
std::uint64_t weightOf(const std::string& role, const Address& candidate) {
  return combineHashes(stableHash(role), stableHash(candidate.value));
}
}  // namespace

Address rendezvousOwner(const std::string& role, const std::vector<Address>& live) {
  const auto owner = std::max_element(live.begin(), live.end(), [&](const auto& a, const auto& b) {
    return weightOf(role, a) < weightOf(role, b);
  });
  return owner == live.end() ? Address{} : *owner;
}

std::vector<Address> rendezvousOrder(const std::string& role, std::vector<Address> candidates) {
  std::sort(candidates.begin(), candidates.end(), [&](const Address& a, const Address& b) {
    return weightOf(role, a) > weightOf(role, b);
  });
  return candidates;
}

std::size_t rendezvousRank(const std::string& role, const std::vector<Address>& live,
                           const Address& self) {
  const std::uint64_t own = weightOf(role, self);
  return static_cast<std::size_t>(std::count_if(
      live.begin(), live.end(), [&](const Address& other) { return weightOf(role, other) > own; }));
}

}  // namespace quayrill
