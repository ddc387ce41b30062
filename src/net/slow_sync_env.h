#pragma once
// Simulates a slow disk for fault injection: a LevelDB environment that delays each sync by the
// number of milliseconds that a file contains at that time.
#include <leveldb/env.h>

#include <memory>
#include <string>

namespace quayrill {

// Wraps `target`, which must outlive the result.
std::unique_ptr<leveldb::Env> slowSyncEnv(std::string syncDelayFile, leveldb::Env* target);

}  // namespace quayrill
