#pragma once
// Runs one daemon process with given settings and dialect, from start to graceful shutdown.
#include "daemon/settings_watch.h"
#include "dialect/dialect.h"
#include "settings/settings.h"

namespace quayrill {

// Runs the daemon until SIGTERM or SIGINT. `settings` were read from `source`, whose file is
// watched for changes and read immediately on SIGHUP. Returns 1 after a failure to start; after a
// graceful shutdown the process exits with 0.
int runDaemon(Settings settings, const Dialect& dialect, const char* program,
              SettingsSource source);

}  // namespace quayrill
