#include "daemon/startup.h"

#include <fcntl.h>
#include <unistd.h>

#include <thread>

#include "base/leave_request.h"
#include "base/scope_exit.h"
#include "daemon/address_holder.h"
#include "daemon/exit_guard.h"
#include "net/disk.h"
#include "net/log.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr std::chrono::milliseconds kPollInterval{50};
// How often the log says what is still waited for.
constexpr Duration kReportInterval = 10s;
// Settings that can't be read or are invalid are read again for this long, at this interval.
constexpr std::chrono::milliseconds kSettingsRetryPeriod{3000}, kSettingsInterval{100};

// The process that holds the lock of the data folder; nullopt if none does.
std::optional<pid_t> lockHolder(const std::string& dataFolder) {
  const std::string path = lockFileOf(dataFolder);
  const int file = ::open(path.c_str(), O_RDWR | O_CLOEXEC);
  if (file < 0) return std::nullopt;
  ScopeExit closeFile([file] { ::close(file); });
  struct flock lock {};
  lock.l_type = F_WRLCK;
  lock.l_whence = SEEK_SET;
  const bool isHeld = ::fcntl(file, F_GETLK, &lock) == 0 && lock.l_type != F_UNLCK;
  return isHeld ? std::optional(lock.l_pid) : std::nullopt;
}
}  // namespace

absl::StatusOr<Settings> loadSettingsAtStart(SettingsSource* source) {
  const ExitGuard guard("reading the settings", untilLeaveIsOverdue());
  const Instant deadline = BootClock::now() + kSettingsRetryPeriod;
  absl::StatusOr<Settings> settings = loadSettings(source);
  while (!settings.ok() && !source->file.empty() && BootClock::now() < deadline &&
         !isLeaveRequested()) {
    std::this_thread::sleep_for(kSettingsInterval);
    settings = loadSettings(source);
  }
  return settings;
}

std::optional<HeldResource> findHeldResource(const Settings& settings) {
  std::vector<Address> addresses;
  if (settings.role != "proxy") addresses = {settings.peerAddress, settings.operatorAddress};
  if (settings.role != "agent") addresses.push_back(settings.callerAddress);
  if (settings.role == "both") addresses.push_back(settings.readinessAddress);
  for (const Address& address : addresses) {
    if (!address.value.empty() && isAddressHeld(address))
      return HeldResource{address.value, std::nullopt};
  }
  if (settings.role == "proxy" || settings.dataFolder.empty()) return std::nullopt;
  const auto holder = lockHolder(settings.dataFolder);
  if (!holder) return std::nullopt;
  return HeldResource{"data folder '" + settings.dataFolder + "'", holder};
}

std::string HeldResource::describeHolder() const {
  return lockHolder ? "process " + std::to_string(*lockHolder) : describeHolders(Address{name});
}

void waitForPredecessor(const Settings& settings) {
  std::string reported;
  Instant reportedAt{};
  while (!isLeaveRequested()) {
    const std::optional<HeldResource> held = findHeldResource(settings);
    if (!held) return;
    const Instant now = BootClock::now();
    if (held->name != reported || now >= reportedAt + kReportInterval) {
      LOG_LINE(kWarning) << "waiting for " << held->name << ": " << held->describeHolder()
                         << " has it; free it or name another";
      reported = held->name;
      reportedAt = now;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace quayrill
