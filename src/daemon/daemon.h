#pragma once
// One daemon, from its first thread to its last: whatever settings and dialect it was given.
#include "boot/boot.h"
#include "dialect/dialect.h"

namespace quayrill {

// Runs until SIGTERM or SIGINT. Returns the exit code: 0 ended as asked, 1 a failure while running.
int runDaemon(const Boot& boot, const Dialect& dialect, const char* program);

}  // namespace quayrill
