#pragma once
// Waits at a start for settings that are being written, and for what a predecessor on the same
// machine still holds.
#include <sys/types.h>

#include <optional>
#include <string>

#include "daemon/settings_watch.h"

namespace quayrill {

// loadSettings() at a start of the daemon: a file that is missing or invalid may just be replaced,
// so it is read again for a short while. Returns early once a signal asks the process to leave.
absl::StatusOr<Settings> loadSettingsAtStart(SettingsSource* source);

// What another process holds that the daemon needs.
struct HeldResource {
  std::string name;                 // one of the daemon's addresses, or its data folder
  std::optional<pid_t> lockHolder;  // the process that holds the data folder
  // Who holds it, as far as the system tells. Takes a while, for an address.
  std::string describeHolder() const;
};

// The first of the daemon's addresses, or its data folder, that is held; nullopt if all are free.
std::optional<HeldResource> findHeldResource(const Settings& settings);

// Waits until nothing is held, however long that takes, and logs from time to time what it waits
// for. Returns early once a signal asks this process to leave.
void waitForPredecessor(const Settings& settings);

}  // namespace quayrill
