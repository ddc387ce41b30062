#include "daemon/startup.h"

#include <fcntl.h>
#include <unistd.h>

#include <thread>

#include "base/scope_exit.h"
#include "daemon/process_setup.h"
#include "net/disk.h"
#include "net/http.h"
#include "net/log.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr std::chrono::milliseconds kPollInterval{50};
// Settings that can't be read or are invalid are read again for this long, at this interval.
constexpr std::chrono::milliseconds kSettingsRetryPeriod{3000}, kSettingsInterval{100};

// Whether another process listens on the address. Other reasons why an address can't be used are
// left to the component that listens on it.
bool isListenedOn(const Address& address) {
  asio::io_context io;
  Tcp::acceptor probe(io);
  const Tcp::endpoint endpoint = endpointOf(address);
  ErrorCode code;
  probe.open(endpoint.protocol(), code);
  probe.set_option(Tcp::acceptor::reuse_address(true), code);
  probe.bind(endpoint, code);
  return code == asio::error::address_in_use;
}

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
  const Instant deadline = BootClock::now() + kSettingsRetryPeriod;
  absl::StatusOr<Settings> settings = loadSettings(source);
  while (!settings.ok() && !source->file.empty() && BootClock::now() < deadline &&
         !isLeaveRequested()) {
    std::this_thread::sleep_for(kSettingsInterval);
    settings = loadSettings(source);
  }
  return settings;
}

std::optional<std::string> heldResource(const Settings& settings) {
  std::vector<Address> addresses;
  if (settings.role != "proxy") addresses = {settings.peerAddress, settings.operatorAddress};
  if (settings.role != "agent") addresses.push_back(settings.callerAddress);
  if (settings.role == "both") addresses.push_back(settings.readinessAddress);
  for (const Address& address : addresses) {
    if (!address.value.empty() && isListenedOn(address)) return address.value;
  }
  if (settings.role == "proxy" || settings.dataFolder.empty()) return std::nullopt;
  const auto holder = lockHolder(settings.dataFolder);
  if (!holder) return std::nullopt;
  return "data folder '" + settings.dataFolder + "' of process " + std::to_string(*holder);
}

void waitForPredecessor(const Settings& settings) {
  // A predecessor may take longer than the grace where its requests do.
  const Instant deadline = BootClock::now() + 2 * Duration(settings.shutdownGrace);
  std::string reported;
  while (BootClock::now() < deadline && !isLeaveRequested()) {
    const std::optional<std::string> held = heldResource(settings);
    if (!held) return;
    if (*held != reported)
      LOG_LINE(kWarning) << "waiting for " << *held << ": another process holds it";
    reported = *held;
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace quayrill
