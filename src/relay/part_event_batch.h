#pragma once
// Converts cache events between the form in which placement uses them and the message that is sent
// to the other daemons.
#include "peers/messages.h"
#include "placement/placement.h"

namespace quayrill {

// The largest number of events of one read that is shared with the fleet. A new reader receives
// thousands; after a restart of all daemons, each daemon would otherwise receive those of all
// servers.
inline constexpr std::size_t kMaxSharedEvents = 256;

// Keeps only the newest kMaxSharedEvents events.
void truncateToNewest(PartEvents* partEvents);
// Groups the events by salt and model.
PartEventBatch toBatch(const ServerName& source, const PartEvents& partEvents);
// The inverse of toBatch; events in order of position.
PartEvents fromBatch(const PartEventBatch& batch);

}  // namespace quayrill
