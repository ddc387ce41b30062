#pragma once
// One deployment on one machine: daemons, stand-ins, gateway and the operator's steps.
#include <memory>

#include "fleet/daemons.h"
#include "fleet/load_generator.h"
#include "fleet/stand_in_services.h"
#include "fleet/steps.h"

namespace quayrill::fleet {

struct LocalDeploymentSettings {
  FleetPlan plan;
  TrafficMix mix;
  std::size_t servers = 18;
  std::size_t cacheTokens = 16000;  // of each model server
  double rateFactor = 1.0;
  std::uint64_t seed = 1;
};

struct ChangeResult {
  std::uint64_t version = 0;
  Duration propagationTime{};      // from the acknowledgement to the last reachable daemon
  bool inForceEverywhere = false;  // no daemon serves by an older configuration
  bool notServing = false;         // some daemon serves nobody
};

class LocalDeployment {
 public:
  LocalDeployment(asio::io_context& io, LocalDeploymentSettings settings);
  absl::Status start();
  // Waits until every daemon is ready under a full replica set, having put the first configuration.
  awaitable<bool> waitUntilReady(Duration limit);
  awaitable<void> runTraffic(Duration span, std::vector<Step> steps);
  void shutDown();

  Ledger& ledger() { return ledger_; }
  const std::vector<ChangeResult>& changes() const { return changes_; }
  void printFaultCosts();
  void printTenants();
  Instant trafficEnd() const { return trafficEnd_; }
  int shutdownErrors() const { return shutdownErrors_; }
  // What a daemon did not say of its changed settings file.
  const std::vector<std::string>& settingsErrors() const { return settingsErrors_; }

 private:
  awaitable<void> perform(Step step);
  awaitable<void> applyDaemonFault(std::string type, Daemon& daemon);
  awaitable<void> kill(Daemon& daemon, Duration backAfter, bool wipe);
  awaitable<void> restart(Daemon& daemon);
  awaitable<void> changeSettings(Daemon& daemon);
  awaitable<void> awaitLog(const Daemon& daemon, std::string text);
  awaitable<void> applyGroupFault(std::string type, std::size_t number);
  awaitable<void> applyServerFault(std::string type, StandInServer& server);
  awaitable<void> applyExternalFault(std::string type, std::size_t number);
  awaitable<void> runOperatorStep(std::string type, std::string argument);
  awaitable<void> raceOperators(std::size_t changes);
  awaitable<void> runRacingOperator(std::string name, std::size_t through, std::size_t changes);
  awaitable<void> readFinalConfiguration();
  awaitable<void> refoundRegister(Daemon& daemon);
  // Performs a daemon's fault beside others.
  void spawnDaemonFault(const std::string& type, Daemon& daemon);
  void setPartition(const std::string& ip, const std::set<std::string>& others, bool inward,
                    bool cut);
  void recordDisruption(const std::string& daemon, Instant begun);
  Daemon* latestOrderSender();
  awaitable<void> replaceServer(StandInServer& server);
  awaitable<std::optional<std::uint64_t>> servedVersion(Address callers);
  awaitable<void> applyChange(std::string patch, std::function<void(Instant)> onAcknowledged);
  awaitable<absl::StatusOr<nlohmann::json>> callOperatorApi(Address daemon, http::verb verb,
                                                            std::string target, std::string body);
  void note(const std::string& text);
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
  std::vector<ChangeResult> changes_;
  Instant trafficEnd_{};
  int shutdownErrors_ = 0;
  std::vector<std::string> settingsErrors_;
  std::size_t openSteps_ = 0;
  Instant majorityLostAt_{};           // when a majority of disks was emptied
  std::set<std::string> busyDaemons_;  // names of those with a fault under way
};

}  // namespace quayrill::fleet
