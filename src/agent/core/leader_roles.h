#pragma once
// Which daemon a leader role falls to: rendezvous hashing over the live ones.
#include <string>
#include <vector>

#include "base/types.h"

namespace quayrill {

Address rendezvousOwner(const std::string& role, const std::vector<Address>& live);
// The candidates in the order in which the leader role falls to them, the owner first.
std::vector<Address> rendezvousOrder(const std::string& role, std::vector<Address> candidates);
// How many of the live come before `self` for this leader role; the owner's rank is 0.
std::size_t rendezvousRank(const std::string& role, const std::vector<Address>& live,
                           const Address& self);

}  // namespace quayrill
