#pragma once
// Finds out who has an address that the daemon is to listen on.
#include <string>

#include "base/types.h"

namespace quayrill {

// Whether a TCP socket can't be bound to the address now because another one has it.
bool isAddressHeld(const Address& address);

// What the system tells of the sockets that have the address: whether they listen or are connected,
// and with whom, and the processes that they belong to. "another socket" where it tells nothing.
std::string describeHolders(const Address& address);

}  // namespace quayrill
