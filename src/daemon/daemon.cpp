#include "daemon/daemon.h"

#include <iostream>
#include <memory>
#include <thread>

#include "agent/agent.h"
#include "base/build_identity.h"
#include "daemon/process_setup.h"
#include "daemon/startup.h"
#include "net/log.h"
#include "proxy/proxy.h"
#include "relay/relay.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
// Before the end of the grace, for the process to exit.
constexpr Duration kOperatorCallsMargin = 500ms;
// For operator calls that are open when the data plane took up the whole grace.
constexpr Duration kShortestOperatorWait = 100ms;

// Shuts the proxy down gracefully. The platform must see that the proxy is not ready before
// connections are refused, so requests are still accepted for a while; after that, open ones only
// finish. Accepted requests have until their deadline, even if the grace period is shorter.
void leave(Proxy& proxy, const Settings& settings) {
  proxy.beginLeaving();
  const Duration grace =
      std::max<Duration>(settings.shutdownGrace, proxy.longestRequestTimeout() + 2s);
  const auto graceEnd = BootClock::now() + grace;
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
  const auto until = [&](Duration span) {
    return std::max<Duration>(Duration{}, receivedAt + span - BootClock::now());
  };
  if (settings.role == "agent")
    std::this_thread::sleep_for(
        until(std::min<std::chrono::milliseconds>(settings.shutdownGrace, 3000ms)));
  while (agent.isHandingOver() && until(settings.shutdownGrace * 3 / 4) > Duration{})
    std::this_thread::sleep_for(20ms);
}

// Answers the operator calls that were accepted, and accepts no more: an operator that calls
// without a pause must not keep the process beyond its grace.
void finishOperatorCalls(Agent& agent, const Settings& settings, Instant receivedAt) {
  agent.stopAccepting();
  const Instant until = std::max(receivedAt + settings.shutdownGrace - kOperatorCallsMargin,
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
}  // namespace

int runDaemon(Settings settings, const Dialect& dialect, const char* program,
              SettingsSource source) {
  waitForPredecessor(settings);
  if (isLeaveRequested()) return 0;

  std::unique_ptr<Agent> agent;
  std::unique_ptr<Proxy> proxy;
  std::unique_ptr<Relay> relay;
  std::thread controlThread;
  if (settings.role != "proxy") {
    agent = std::make_unique<Agent>(settings, dialect);
    if (settings.role == "both" && dialect.relayHeaderNames) {
      relay = std::make_unique<Relay>(settings, dialect);
      relay->setReporter(
          [&agent](DataPlaneReport report) { agent->takePlaneReport(std::move(report)); });
      if (auto status = relay->start(); !status.ok()) {
        std::cerr << program << ": " << status.message() << "\n";
        return 1;
      }
      agent->setSnapshotListener([&relay](Snapshot snapshot, Instant requestedAt,
                                          std::shared_ptr<const Configuration> configuration) {
        relay->applySnapshot(std::move(snapshot), requestedAt, std::move(configuration));
      });
      agent->setPlaneDigestListener([&relay](DataPlaneDigest digest, Instant receivedAt) {
        relay->applyDigest(std::move(digest), receivedAt);
      });
    }
    if (auto status = agent->start(); !status.ok()) {
      std::cerr << program << ": " << status.message() << "\n";
      return 1;
    }
    controlThread = std::thread([&] { agent->run(); });
  }
  if (settings.role != "agent" && !relay) {
    proxy = std::make_unique<Proxy>(settings, dialect);
    if (auto status = proxy->start(); !status.ok()) {
      std::cerr << program << ": " << status.message() << "\n";
      std::_Exit(1);
    }
  }
  LOG_LINE(kInfo) << program << " " << buildIdentity() << " started with role " << settings.role;
  if (const std::string off = settings.mechanisms.disabledNames(); !off.empty())
    LOG_LINE(kWarning) << "mechanisms switched off: " << off;
  SettingsWatch watch(std::move(source), settings, [&agent](const Settings& changed) {
    if (agent) agent->applySettings(changed);
  });
  int signal = 0;
  const sigset_t signals = handledSignals();
  while (sigwait(&signals, &signal) == 0 && signal == SIGHUP) watch.requestReload();
  const Instant receivedAt = BootClock::now();
  settings = watch.stop();
  LOG_LINE(kInfo) << "shutting down: no longer ready, finishing accepted requests";
  if (agent) agent->beginLeaving();
  if (proxy) leave(*proxy, settings);
  if (relay) leave(*relay, settings);
  if (agent) {
    // A separate proxy process needs this agent's confirmations to finish its requests.
    waitForHandover(*agent, settings, receivedAt);
    finishOperatorCalls(*agent, settings, receivedAt);
    agent->stop();
    controlThread.join();
  }
  LOG_LINE(kInfo) << "ended";
  std::_Exit(0);  // threads that still run have nothing to write
}

}  // namespace quayrill
