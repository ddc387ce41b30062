#pragma once
// Waits at a start for settings that are being written, and for what a predecessor on the same
// machine still holds.
#include <optional>
#include <string>

#include "daemon/settings_watch.h"

namespace quayrill {

// loadSettings() at a start of the daemon: a file that is missing or invalid may just be replaced,
// so it is read again for a short while. Returns early once a signal asks the process to leave.
absl::StatusOr<Settings> loadSettingsAtStart(SettingsSource* source);

// The first of the daemon's addresses, or its data folder, that another process holds, with that
// process where the system tells it; nullopt if all are free.
std::optional<std::string> heldResource(const Settings& settings);

// Waits until nothing is held, for at most twice the grace that a leaving predecessor has, and logs
// what it waits for. Returns early once a signal asks this process to leave.
void waitForPredecessor(const Settings& settings);

}  // namespace quayrill
