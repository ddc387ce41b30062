#include "agent/core/duties.h"

#include "base/digest.h"

namespace quayrill {

Address rendezvousOwner(const std::string& duty, const std::vector<Address>& live) {
  Address owner;
  std::uint64_t highest = 0;
  for (const Address& candidate : live) {
    const std::uint64_t weight = mixHash(stableHash(duty), stableHash(candidate.value));
    if (owner.value.empty() || weight > highest) {
      owner = candidate;
      highest = weight;
    }
  }
  return owner;
}

}  // namespace quayrill
