#pragma once
// A whole deployment on one machine: daemons, stand-ins for everything outside, the load generator,
// and the steps that inject faults and act as operators.
#include <memory>

#include "fleet/connection_keeper.h"
#include "fleet/daemons.h"
#include "fleet/load_generator.h"
#include "fleet/stand_in_services.h"
#include "fleet/steps.h"

namespace quayrill::fleet {

// The size and traffic of a deployment.
struct LocalDeploymentSettings {
  FleetPlan plan;
  TrafficMix mix;
  std::size_t servers = 18;
  std::size_t cacheTokens = 16000;  // of each model server
  double rateFactor = 1.0;
  std::uint64_t seed = 1;
  // Clients use open connections until a daemon closes them, this many of them as operators of each
  // core.
  bool keepsConnections = false;
  int operatorsPerCore = 1;
};

// How an acknowledged configuration change reached the daemons.
struct ChangeResult {
  std::uint64_t version = 0;
  Duration propagationTime{};      // from the acknowledgement to the last reachable daemon
  bool inForceEverywhere = false;  // no daemon serves by an older configuration any more
  bool someNotServing = false;     // some daemon was not serving callers
};

// Runs the processes and stand-ins of a deployment and performs the steps of a run.
class LocalDeployment {
 public:
  LocalDeployment(asio::io_context& io, LocalDeploymentSettings settings);
  // Starts the stand-ins, the daemons and the readiness polls.
  absl::Status start();
  // Waits until all cores are in the replica set, then puts the first configuration and waits until
  // every daemon is ready. Returns false if `limit` passes first.
  awaitable<bool> waitUntilReady(Duration limit);
  // Sends traffic for `span` while performing the steps; then waits for open calls and steps to
  // finish and records the final state.
  awaitable<void> runTraffic(Duration span, std::vector<Step> steps);
  // Ends all daemons with SIGTERM, and with SIGKILL those that don't exit cleanly.
  void shutDown();

  Ledger& ledger() { return ledger_; }
  const std::vector<ChangeResult>& changes() const { return changes_; }
  // Prints for each fault and change how many calls of the 8 s after it were rejected or failed.
  void printFaultCosts();
  // Prints for each tenant how many calls were answered, and their latency.
  void printTenants();
  Instant trafficEnd() const { return trafficEnd_; }
  // How many daemons did not exit with status 0 on SIGTERM.
  int shutdownErrors() const { return shutdownErrors_; }
  // The daemons that ended without a step of the run.
  const std::vector<std::string>& unexpectedEnds() const { return unexpectedEnds_; }
  // Expected log lines on changed settings files that a daemon did not write in time.
  const std::vector<std::string>& settingsErrors() const { return settingsErrors_; }

 private:
  // Starts clients that use open connections to callers' and operators' addresses of all daemons.
  void keepConnections();
  // Waits for the step's time and performs it.
  awaitable<void> perform(Step step);
  // Applies a fault to a daemon and ends it again. Does nothing if the daemon has a fault already.
  awaitable<void> applyDaemonFault(std::string type, Daemon& daemon);
  awaitable<void> kill(Daemon& daemon, Duration backAfter, bool wipe);
  awaitable<void> restart(Daemon& daemon);
  // Starts the daemon's successor while it still leaves, and sends SIGHUPs to the successor.
  awaitable<void> restartOverlapping(Daemon& daemon);
  // Restarts the daemon while a connection of this process has its address.
  awaitable<void> restartBesideConnection(Daemon& daemon);
  // Starts two successors that wait for the daemon's addresses; then it leaves, and one of them.
  awaitable<void> restartInSuccession(Daemon& daemon);
  // Sends SIGTERM and waits until the daemon has exited.
  awaitable<void> leave(Daemon& daemon);
  // Waits until a daemon that got SIGTERM at `begun` has exited, and records that.
  awaitable<void> awaitShutdown(Daemon& daemon, Instant begun);
  // Records and starts again each daemon that ends without a step of the run.
  awaitable<void> watchProcesses();
  awaitable<void> changeSettings(Daemon& daemon);
  // Waits for a text in the daemon's log; records an error if it does not appear in time.
  awaitable<void> awaitLog(const Daemon& daemon, std::string text);
  awaitable<void> applyGroupFault(std::string type, std::size_t number);
  awaitable<void> applyServerFault(std::string type, StandInServer& server);
  awaitable<void> applyExternalFault(std::string type, std::size_t number);
  awaitable<void> runOperatorStep(std::string type, std::string argument);
  awaitable<void> raceOperators(std::size_t changes);
  awaitable<void> runRacingOperator(std::string name, std::size_t firstDaemon, std::size_t changes);
  awaitable<void> readFinalConfiguration();
  awaitable<void> refoundRegister(Daemon& daemon);
  // Applies a daemon's fault concurrently.
  void spawnDaemonFault(const std::string& type, Daemon& daemon);
  // Cuts or restores the connections from `ip` to the others, and back if `inward` is set.
  void setPartition(const std::string& ip, const std::set<std::string>& others, bool inward,
                    bool cut);
  // Records a disruption from `begun` until now.
  void recordDisruption(const std::string& daemon, Instant begun);
  Daemon* latestOrderSender();
  awaitable<void> replaceServer(StandInServer& server);
  awaitable<std::optional<std::uint64_t>> servedVersion(Address callers);
  awaitable<void> applyChange(std::string patch, std::function<void(Instant)> onAcknowledged);
  // Calls the operator API of a daemon. Any status other than 200 is an error.
  awaitable<absl::StatusOr<nlohmann::json>> callOperatorApi(Address daemon, http::verb verb,
                                                            std::string target, std::string body);
  // Records a step in the ledger and prints it.
  void note(const std::string& text);
  // The core or edge daemon with this number, from 1.
  Daemon& daemonAt(std::size_t index, bool core) {
    return daemons_.at(core ? index - 1 : settings_.plan.cores + index - 1);
  }

  asio::io_context& io_;
  LocalDeploymentSettings settings_;
  Ledger ledger_;
  std::vector<Daemon> daemons_;
  std::vector<std::unique_ptr<StandInServer>> servers_;
  std::unique_ptr<StandInStore> store_;
  std::unique_ptr<StandInPlatform> platform_;
  std::unique_ptr<Relay> relay_;
  std::unique_ptr<LoadGenerator> loadGenerator_;
  std::unique_ptr<ConnectionKeeper> connectionKeeper_;
  std::vector<ChangeResult> changes_;
  Instant trafficEnd_{};
  int shutdownErrors_ = 0;
  std::vector<std::string> settingsErrors_;
  std::vector<std::string> unexpectedEnds_;
  std::size_t openSteps_ = 0;
  std::size_t races_ = 0;              // begun so far
  unsigned endlessFaults_ = 0;         // the same; each takes the next form
  Instant majorityLostAt_{};           // when a majority of disks was emptied
  std::set<std::string> busyDaemons_;  // names of the daemons with a fault in progress
};

}  // namespace quayrill::fleet
