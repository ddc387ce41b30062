#include "daemon/daemon.h"

#include <iostream>
#include <memory>
#include <optional>
#include <thread>

#include "agent/agent.h"
#include "base/build_identity.h"
#include "base/leave_request.h"
#include "daemon/end_report.h"
#include "daemon/exit_guard.h"
#include "daemon/process_setup.h"
#include "daemon/startup.h"
#include "net/log.h"
#include "net/start_thread.h"
#include "proxy/proxy.h"
#include "relay/relay.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
// Parts of the grace before the kill: operator calls that are open are waited for until the first,
// and the process exits by the second, whatever holds it up.
constexpr int kOperatorCallsPart = 8, kExitPart = 10;
// For operator calls that are open when the data plane took up its time.
constexpr Duration kShortestOperatorWait = 100ms;
// A proxy of its own may take longer than the grace, where its requests do.
constexpr Duration kProxyExitMargin = 2s;
// Between a start that found something held and the next.
constexpr std::chrono::milliseconds kStartRetryInterval{50};

// How long a proxy may take to finish what it accepted.
Duration proxyGrace(const Proxy& proxy, const Settings& settings) {
  return std::max<Duration>(settings.shutdownGrace, proxy.longestRequestTimeout() + 2s);
}

// Shuts the proxy down gracefully. The platform must see that the proxy is not ready before
// connections are refused, so requests are still accepted for a while; after that, open ones only
// finish. Accepted requests have until their deadline, even if the grace period is shorter.
void leave(Proxy& proxy, const Settings& settings) {
  proxy.beginLeaving();
  const Instant graceEnd = BootClock::now() + proxyGrace(proxy, settings);
  std::this_thread::sleep_for(
      std::min<std::chrono::milliseconds>(settings.shutdownGrace / 2, 3000ms));
  proxy.stopAccepting();
  while (proxy.openConnections() > 0 && BootClock::now() < graceEnd)
    std::this_thread::sleep_for(20ms);
  proxy.stop();
}

// Waits before the agent stops. A stand-alone agent stays up for a while for operators. If another
// machine is about to replace this register replica, the replica votes until the handover is done.
// If no machine can, the replica stays a member: a restart brings it back with its disk.
void waitForHandover(const Agent& agent, const Settings& settings, Instant receivedAt) {
  const auto timeUntil = [&](Duration span) {
    return std::max<Duration>(Duration{}, receivedAt + span - BootClock::now());
  };
  if (settings.role == "agent")
    std::this_thread::sleep_for(
        timeUntil(std::min<std::chrono::milliseconds>(settings.shutdownGrace / 2, 3000ms)));
  while (agent.isHandingOver() && timeUntil(settings.shutdownGrace * 3 / 4) > Duration{})
    std::this_thread::sleep_for(20ms);
}

// Answers the operator calls that were accepted, and accepts no more: an operator that calls
// without a pause must not keep the process beyond its grace.
void finishOperatorCalls(Agent& agent, const Settings& settings, Instant receivedAt) {
  agent.stopAccepting();
  const Duration grace = settings.shutdownGrace;
  const Instant until = std::max(receivedAt + grace - grace / kOperatorCallsPart,
                                 BootClock::now() + kShortestOperatorWait);
  while (agent.openOperatorCalls() > 0 && BootClock::now() < until)
    std::this_thread::sleep_for(20ms);
}

// Shuts the relay down gracefully. The relay has its own schedule within the grace period.
void leave(Relay& relay, const Settings& settings) {
  relay.beginLeaving(settings.shutdownGrace);
  while (!relay.hasLeft()) std::this_thread::sleep_for(20ms);
  relay.stop();
}
// The parts of a daemon that its role calls for.
struct Components {
  std::unique_ptr<Agent> agent;
  std::unique_ptr<Proxy> proxy;
  std::unique_ptr<Relay> relay;
};

// Connects the relay to the agent in its process.
void connect(Relay* relay, Agent* agent) {
  relay->setReporter(
      [agent](DataPlaneReport report) { agent->takePlaneReport(std::move(report)); });
  agent->setSnapshotListener([relay](Snapshot snapshot, Instant requestedAt,
                                     std::shared_ptr<const Configuration> configuration) {
    relay->applySnapshot(std::move(snapshot), requestedAt, std::move(configuration));
  });
  agent->setPlaneDigestListener([relay](DataPlaneDigest digest, Instant receivedAt) {
    relay->applyDigest(std::move(digest), receivedAt);
  });
}

// Opens all listeners before anything connects from here or serves, so that a start which finds an
// address held leaves nothing behind.
absl::Status startComponents(const Settings& settings, const Dialect& dialect,
                             Components* components) {
  const bool hasRelay = settings.role == "both" && dialect.relayHeaderNames;
  if (settings.role != "proxy") components->agent = std::make_unique<Agent>(settings, dialect);
  if (hasRelay) {
    components->relay = std::make_unique<Relay>(settings, dialect);
    connect(components->relay.get(), components->agent.get());
    if (auto status = components->relay->listen(); !status.ok()) return status;
  }
  if (components->agent) {
    if (auto status = components->agent->start(); !status.ok()) return status;
  }
  if (settings.role != "agent" && !hasRelay) {
    components->proxy = std::make_unique<Proxy>(settings, dialect);
    if (auto status = components->proxy->start(); !status.ok()) return status;
  }
  if (hasRelay) components->relay->serve();
  return absl::OkStatus();
}

// Whether an error passes without a change of the settings: another process has been quicker to
// take what was free, or the whole machine is short of something.
bool isPassing(const absl::Status& status) {
  return absl::IsAlreadyExists(status) || absl::IsResourceExhausted(status);
}

// startComponents(), with a shortage that Asio throws as an error.
absl::Status tryToStart(const Settings& settings, const Dialect& dialect, Components* components) {
  try {
    return startComponents(settings, dialect, components);
  } catch (const boost::system::system_error& error) {
    if (!isMachineShortage(error.code())) throw;
    return absl::ResourceExhaustedError(error.what());
  }
}

// Starts the components once nothing that they need is held by another process.
absl::Status startWhenFree(const Settings& settings, const Dialect& dialect,
                           Components* components) {
  for (;;) {
    waitForPredecessor(settings);
    if (isLeaveRequested()) return absl::CancelledError("asked to leave");
    absl::Status status = tryToStart(settings, dialect, components);
    if (!isPassing(status)) return status;
    *components = Components{};
    LOG_LINE(kWarning) << status.message() << "; it is tried again";
    std::this_thread::sleep_for(kStartRetryInterval);
  }
}

// Returns on the first signal that asks the process to leave.
void serveUntilLeaveRequested(SettingsWatch* watch) {
  int signal = 0;
  const sigset_t signals = handledSignals();
  while (sigwait(&signals, &signal) == 0 && signal == SIGHUP) watch->requestReload();
}

// Ends the process.
[[noreturn]] void leaveAndExit(Components& components, std::thread& controlThread,
                               SettingsWatch& watch) {
  const Instant receivedAt = BootClock::now();
  const Settings settings = watch.stop();
  const Duration grace = settings.shutdownGrace;
  const Duration limit = components.proxy
                             ? proxyGrace(*components.proxy, settings) + kProxyExitMargin
                             : grace - grace / kExitPart;
  const ExitGuard guard("leaving", until(receivedAt + limit));
  LOG_LINE(kInfo) << "shutting down: no longer ready, finishing accepted requests";
  if (components.agent) components.agent->beginLeaving();
  if (components.proxy) leave(*components.proxy, settings);
  if (components.relay) leave(*components.relay, settings);
  if (components.agent) {
    // A separate proxy process needs this agent's confirmations to finish its requests.
    waitForHandover(*components.agent, settings, receivedAt);
    finishOperatorCalls(*components.agent, settings, receivedAt);
    components.agent->stop();
    controlThread.join();
  }
  LOG_LINE(kInfo) << "ended";
  std::_Exit(0);  // threads that still run have nothing to write
}

int reportFailedStart(const char* program, const std::string& why) {
  std::cerr << program << ": " << why << "\n";
  return 1;
}
}  // namespace

int runDaemon(Settings settings, const Dialect& dialect, const char* program,
              SettingsSource source) {
  reportUnexpectedEnds();
  Components components;
  std::thread controlThread;
  std::optional<SettingsWatch> watch;
  try {
    const ExitGuard guard("the start", untilLeaveIsOverdue());
    const absl::Status status = startWhenFree(settings, dialect, &components);
    if (absl::IsCancelled(status)) return 0;
    if (!status.ok()) return reportFailedStart(program, std::string(status.message()));
    Agent* const agent = components.agent.get();
    if (agent) controlThread = startThread("the control logic", [agent] { agent->run(); });
    LOG_LINE(kInfo) << program << " " << buildIdentity() << " started with role " << settings.role;
    if (const std::string off = settings.mechanisms.disabledNames(); !off.empty())
      LOG_LINE(kWarning) << "mechanisms switched off: " << off;
    watch.emplace(std::move(source), settings, [agent](const Settings& changed) {
      if (agent) agent->applySettings(changed);
    });
  } catch (const std::exception& error) {
    reportFailedStart(program, std::string("can't start: ") + error.what());
    std::_Exit(isLeaveRequested() ? 0 : 1);
  }
  serveUntilLeaveRequested(&*watch);
  leaveAndExit(components, controlThread, *watch);
}

}  // namespace quayrill
