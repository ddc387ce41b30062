#pragma once
// A reading of cache events as it goes to the other daemons, and back.
#include "peers/messages.h"
#include "placement/placement.h"

namespace quayrill {

PartEventBatch toBatch(const ServerName& source, const PartEvents& told);
PartEvents fromBatch(const PartEventBatch& batch);

}  // namespace quayrill
