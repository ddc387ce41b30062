// Starts daemons while other processes still have what they need.
#include <csignal>

#include "fleet/local_deployment.h"

namespace quayrill::fleet {

using namespace std::chrono_literals;

namespace {
// How long and how often a successor that starts gets SIGHUP.
constexpr Duration kEarlySignals = 300ms, kEarlySignalInterval = 5ms;
// Over twice the grace of the daemons.
constexpr Duration kHold = 14s;
// How long a process may take to load, on a machine that is full of them.
constexpr Duration kLoadLimit = 10s;
constexpr Duration kBetweenLeaves = 1s;

awaitable<void> waitUntilLoaded(const Daemon& daemon) {
  const Instant until = BootClock::now() + kLoadLimit;
  while (!handlesHangup(daemon) && BootClock::now() < until)
    co_await pauseFor(kEarlySignalInterval);
}
}  // namespace

awaitable<void> LocalDeployment::restartOverlapping(Daemon& daemon) {
  const Instant begun = BootClock::now();
  Daemon predecessor = daemon;
  signalDaemon(predecessor, SIGTERM);
  startDaemon(&daemon, settings_.plan);
  while (BootClock::now() < begun + kEarlySignals) {
    if (handlesHangup(daemon)) signalDaemon(daemon, SIGHUP);
    co_await pauseFor(kEarlySignalInterval);
  }
  co_await awaitShutdown(predecessor, begun);
  recordDisruption(daemon.callers.value, begun);
}

awaitable<void> LocalDeployment::restartBesideConnection(Daemon& daemon) {
  const Instant begun = BootClock::now();
  co_await leave(daemon);
  Tcp::socket connection(io_);
  ErrorCode code;
  connection.open(Tcp::v4(), code);
  // Connections that the daemon closed may still wait for their end. Nothing else may share it.
  connection.set_option(asio::socket_base::reuse_address(true), code);
  connection.bind(endpointOf(daemon.callers), code);
  ErrorCode ignored;
  connection.set_option(asio::socket_base::reuse_address(false), ignored);
  if (!code) co_await connection.async_connect(endpointOf(settings_.plan.platform), into(code));
  if (code) settingsErrors_.push_back("no connection from " + daemon.callers.value);
  startDaemon(&daemon, settings_.plan);
  co_await pauseFor(kHold);
  // Closed in any other way, the connection would have the address for another minute.
  connection.set_option(asio::socket_base::linger(true, 0), ignored);
  connection.close(ignored);
  recordDisruption(daemon.callers.value, begun);
}

awaitable<void> LocalDeployment::restartInSuccession(Daemon& daemon) {
  const Instant begun = BootClock::now();
  Daemon predecessor = daemon, first = daemon;
  startDaemon(&first, settings_.plan);
  startDaemon(&daemon, settings_.plan);
  co_await waitUntilLoaded(first);
  co_await waitUntilLoaded(daemon);
  co_await leave(predecessor);
  co_await pauseFor(kBetweenLeaves);
  co_await leave(first);
  recordDisruption(daemon.callers.value, begun);
}

}  // namespace quayrill::fleet
