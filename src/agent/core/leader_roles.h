#pragma once
// Assigns leader roles to daemons by rendezvous hashing over the live ones.
#include <string>
#include <vector>

#include "base/types.h"

namespace quayrill {

// The daemon that `role` is assigned to; Address{} if `live` is empty.
Address rendezvousOwner(const std::string& role, const std::vector<Address>& live);
// The candidates in the order in which the role passes on, the owner first.
std::vector<Address> rendezvousOrder(const std::string& role, std::vector<Address> candidates);
// How many of the live daemons precede `self` in that order; the owner's rank is 0.
std::size_t rendezvousRank(const std::string& role, const std::vector<Address>& live,
                           const Address& self);

}  // namespace quayrill
