#pragma once
// A disk that is slow on purpose: LevelDB's own environment, but for syncs that last as many
// milliseconds longer as a file says at the time. Runs with faults use it; nothing else does.
#include <leveldb/env.h>

#include <memory>
#include <string>

namespace quayrill {

// `target` outlives it.
std::unique_ptr<leveldb::Env> slowSyncEnv(std::string syncDelayFile, leveldb::Env* target);

}  // namespace quayrill
