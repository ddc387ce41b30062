#pragma once
// Which daemon a duty falls to: rendezvous hashing over the live ones.
#include <string>
#include <vector>

#include "base/types.h"

namespace quayrill {

Address rendezvousOwner(const std::string& duty, const std::vector<Address>& live);

}  // namespace quayrill
