#pragma once
// One daemon, from its first thread to its last: whatever settings and dialect it was given.
#include "daemon/settings_watch.h"
#include "dialect/dialect.h"
#include "settings/settings.h"

namespace quayrill {

// Runs until SIGTERM or SIGINT. `boot` was read from `source`, which is watched, and read at once
// on SIGHUP. Returns the exit code: 0 ended as asked, 1 a failure while running.
int runDaemon(Settings settings, const Dialect& dialect, const char* program,
              SettingsSource source);

}  // namespace quayrill
