#pragma once
// A reading of cache events as it goes to the other daemons, and back.
#include "peers/messages.h"
#include "placement/placement.h"

namespace quayrill {

// Ours: events of one reading that are told on. A reader that starts anew is told thousands, and
// after a restart of all daemons every one would get those of all servers.
inline constexpr std::size_t kMaxSharedEvents = 256;

// Leaves the newest events alone where there are more than kMaxSharedEvents.
void truncateToNewest(PartEvents* told);
PartEventBatch toBatch(const ServerName& source, const PartEvents& told);
PartEvents fromBatch(const PartEventBatch& batch);

}  // namespace quayrill
