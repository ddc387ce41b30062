// Injects faults into daemons: into their processes, disks and connections.
#include <sys/resource.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "fleet/local_deployment.h"

namespace quayrill::fleet {

using namespace std::chrono_literals;

namespace {
constexpr Duration kProcessPollInterval = 100ms;

std::string ipOf(const Daemon& daemon) {
  return daemon.peer.value.substr(0, daemon.peer.value.rfind(':'));
}

// Simulates a full disk: with a file size limit of 0 all writes fail, until the limit is lifted.
void setDiskFull(const Daemon& daemon, bool full) {
  rlimit limit{};
  if (daemon.pid <= 0 || ::prlimit(daemon.pid, RLIMIT_FSIZE, nullptr, &limit) != 0) return;
  limit.rlim_cur = full ? 0 : limit.rlim_max;
  ::prlimit(daemon.pid, RLIMIT_FSIZE, &limit, nullptr);
}

void setSyncDelay(const Daemon& daemon, int milliseconds) {
  std::ofstream(daemon.syncDelayFile, std::ios::trunc) << milliseconds << "\n";
}
}  // namespace

void LocalDeployment::recordDisruption(const std::string& daemon, Instant begun) {
  ledger_.withLock([&](Ledger& ledger) {
    ledger.disruptions.push_back({daemon, begun, BootClock::now()});
  });
}

void LocalDeployment::setPartition(const std::string& ip, const std::set<std::string>& others,
                                   bool inward, bool cut) {
  for (const std::string& other : others) {
    if (other == ip) continue;
    relay_->cut(ip, other, cut);
    if (inward) relay_->cut(other, ip, cut);
  }
}

awaitable<void> LocalDeployment::kill(Daemon& daemon, Duration backAfter, bool wipe) {
  const Instant begun = BootClock::now();
  signalDaemon(daemon, SIGKILL);
  waitDaemon(&daemon, 2000);
  if (wipe) std::filesystem::remove_all(daemon.dataFolder);
  co_await pauseFor(backAfter);
  startDaemon(&daemon, settings_.plan);
  recordDisruption(daemon.callers.value, begun);
}

awaitable<void> LocalDeployment::awaitShutdown(Daemon& daemon, Instant begun) {
  int status = -1;
  for (int i = 0; i < 2000 && status == -1; ++i) {
    status = waitDaemon(&daemon, 0);
    co_await pauseFor(10ms);
  }
  if (status != 0) ++shutdownErrors_;
  ledger_.withLock([&](Ledger& ledger) {
    ledger.plannedRestarts.push_back({daemon.callers.value, begun, BootClock::now()});
  });
}

awaitable<void> LocalDeployment::leave(Daemon& daemon) {
  const Instant begun = BootClock::now();
  signalDaemon(daemon, SIGTERM);
  co_await awaitShutdown(daemon, begun);
}

awaitable<void> LocalDeployment::restart(Daemon& daemon) {
  const Instant begun = BootClock::now();
  co_await leave(daemon);
  startDaemon(&daemon, settings_.plan);
  recordDisruption(daemon.callers.value, begun);
}

awaitable<void> LocalDeployment::watchProcesses() {
  for (;;) {
    co_await pauseFor(kProcessPollInterval);
    for (Daemon& daemon : daemons_) {
      if (busyDaemons_.contains(daemon.name)) continue;
      const auto end = endOfProcess(&daemon);
      if (!end) continue;
      unexpectedEnds_.push_back(daemon.name + " ended by itself (" + *end +
                                "): " + lastLogLine(daemon));
      note(unexpectedEnds_.back());
      startDaemon(&daemon, settings_.plan);
    }
  }
}

// Changes the settings file with SIGHUP, makes it invalid, and restores it without SIGHUP; waits
// for the daemon to log each. Records no disruption, since a daemon must keep serving while
// settings change.
awaitable<void> LocalDeployment::changeSettings(Daemon& daemon) {
  const std::vector<Address> originalSeeds = daemon.seeds;
  daemon.seeds = {daemonAt(settings_.plan.cores, true).peer};
  writeSettings(daemon, daemon.seeds);
  signalDaemon(daemon, SIGHUP);
  co_await awaitLog(daemon, "read anew, seeds " + daemon.seeds[0].value);
  std::ofstream(daemon.settingsFile, std::ios::trunc) << "{";
  co_await awaitLog(daemon, "is refused");
  daemon.seeds = originalSeeds;
  writeSettings(daemon, daemon.seeds);
  co_await awaitLog(daemon, "read anew, seeds " + daemon.seeds[0].value);
}

awaitable<void> LocalDeployment::awaitLog(const Daemon& daemon, std::string text) {
  for (const Instant until = BootClock::now() + 4s; BootClock::now() < until;) {
    std::ifstream in(daemon.logFile);
    const std::string log{std::istreambuf_iterator<char>(in), {}};
    if (log.find(text) != std::string::npos) co_return;
    co_await pauseFor(100ms);
  }
  settingsErrors_.push_back(daemon.name + " did not log '" + text + "' within 4 s");
}

awaitable<void> LocalDeployment::applyDaemonFault(std::string type, Daemon& daemon) {
  if (!busyDaemons_.insert(daemon.name).second) co_return;  // one fault at a time per daemon
  note(type + " " + daemon.name);
  const std::string ip = ipOf(daemon);
  const Instant begun = BootClock::now();
  std::set<std::string> daemonIps;
  for (const Daemon& other : daemons_) daemonIps.insert(ipOf(other));
  if (type == "kill" || type == "wipe") {
    co_await kill(daemon, type == "wipe" ? 1s : 3s, type == "wipe");
  } else if (type == "restart") {
    co_await restart(daemon);
  } else if (type == "overlap") {
    co_await restartOverlapping(daemon);
  } else if (type == "hold") {
    co_await restartBesideConnection(daemon);
  } else if (type == "succeed") {
    co_await restartInSuccession(daemon);
  } else if (type == "hup") {
    co_await changeSettings(daemon);
  } else if (type == "freeze") {
    signalDaemon(daemon, SIGSTOP);
    co_await pauseFor(6s);
    signalDaemon(daemon, SIGCONT);
    recordDisruption(daemon.callers.value, begun);
  } else if (type == "full") {
    setDiskFull(daemon, true);
    co_await pauseFor(6s);
    setDiskFull(daemon, false);
  } else if (type == "slow" || type == "stall") {
    setSyncDelay(daemon, type == "slow" ? 300 : 5000);
    co_await pauseFor(type == "slow" ? 6s : 500ms);
    setSyncDelay(daemon, 0);
    co_await pauseFor(5s);
  } else if (type == "refound") {
    co_await refoundRegister(daemon);
  } else if (type == "platform") {
    platform_->cut(ip, true);
    co_await pauseFor(8s);
    platform_->cut(ip, false);
  } else if (type == "store") {
    store_->cut(ip, true);
    co_await pauseFor(8s);
    store_->cut(ip, false);
  } else {
    setPartition(ip, daemonIps, type == "cut", true);
    co_await pauseFor(8s);
    setPartition(ip, daemonIps, true, false);
    recordDisruption(daemon.callers.value, begun);
  }
  busyDaemons_.erase(daemon.name);
}

void LocalDeployment::spawnDaemonFault(const std::string& type, Daemon& daemon) {
  ++openSteps_;
  asio::co_spawn(
      io_,
      [this, type, &daemon]() -> awaitable<void> {
        co_await applyDaemonFault(type, daemon);
        --openSteps_;
      },
      asio::detached);
}

// The daemon that sent the latest weight order, identified by its IP address; null if there is
// none.
Daemon* LocalDeployment::latestOrderSender() {
  std::string ip;
  ledger_.withLock([&](Ledger& ledger) {
    if (!ledger.orders.empty()) ip = ledger.orders.back().from;
  });
  for (Daemon& daemon : daemons_) {
    if (ipOf(daemon) == ip) return &daemon;
  }
  return nullptr;
}

awaitable<void> LocalDeployment::applyGroupFault(std::string type, std::size_t number) {
  const auto dash = type.find('-');
  const std::string action = type.substr(0, dash);
  const std::string targets = type.substr(dash + 1);
  if (targets == "cores" && action != "split") {
    const std::size_t count = std::min(number, settings_.plan.cores);
    // After the loss of a majority of disks, the fleet is unavailable by design until an operator
    // re-creates the register.
    if (action == "wipe" && count > settings_.plan.cores / 2) majorityLostAt_ = BootClock::now();
    for (std::size_t i = 1; i <= count; ++i) spawnDaemonFault(action, daemonAt(i, true));
    co_return;
  }
  if (targets == "orderer") {
    if (Daemon* orderer = latestOrderSender()) spawnDaemonFault(action, *orderer);
    for (std::size_t i = 1; action == "kill" && i <= std::min(number, settings_.plan.cores); ++i)
      spawnDaemonFault("kill", daemonAt(i, true));
    co_return;
  }
  // Zones are assigned round-robin, so every fourth daemon is in the same zone.
  std::set<std::string> groupIps, otherIps;
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    const bool inGroup = targets == "zone" ? i % 4 == number : i % 2 == 0;
    (inGroup ? groupIps : otherIps).insert(ipOf(daemons_[i]));
    if (inGroup && action == "kill") spawnDaemonFault("kill", daemons_[i]);
  }
  if (action == "kill") co_return;
  note(type + " " + std::to_string(number));
  const Instant begun = BootClock::now();
  for (const std::string& ip : groupIps) setPartition(ip, otherIps, true, true);
  co_await pauseFor(8s);
  for (const std::string& ip : groupIps) setPartition(ip, otherIps, true, false);
  if (targets == "cores")
    recordDisruption("", begun);  // neither half has a majority, so no daemon has to serve
  for (const Daemon& daemon : daemons_) {
    if (targets == "zone" && groupIps.contains(ipOf(daemon)))
      recordDisruption(daemon.callers.value, begun);
  }
}

}  // namespace quayrill::fleet
