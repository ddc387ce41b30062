#pragma once
// The agent: runs the control logic (AgentCore) on one control thread and connects it to sockets
// and to the disk.
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "agent/core/agent_core.h"
#include "agent/core/rollout.h"
#include "agent/snapshot.h"
#include "base/counters.h"
#include "base/decision_log.h"
#include "configuration/configuration.h"
#include "configuration/update.h"
#include "dialect/dialect.h"
#include "net/disk.h"
#include "net/model_server.h"
#include "net/peer_link.h"
#include "settings/settings.h"

namespace quayrill {

// Register key of the lease whose holder may order the servers of `model` to switch weights.
RegisterKey rolloutLeaseKey(const ModelName& model);

// One daemon's control plane: takes part in the replicated register, polls the model servers, rolls
// out weights and serves the operator API.
class Agent {
 public:
  Agent(Settings settings, Dialect dialect);
  // Opens the data folder and the listening sockets. An error is meant for the operator.
  absl::Status start();
  // Runs the control thread's event loop on the calling thread until stop().
  void run();
  // Announces to the fleet that this daemon is shutting down. May be called on any thread.
  void beginLeaving();
  // Applies those changed settings that a running daemon supports; withLiveSettings in
  // daemon/settings_watch.h lists them. May be called on any thread.
  void applySettings(const Settings& changed);
  // Ends run(). May be called on any thread.
  void stop();
  // True while this daemon is leaving and another machine is about to take over its register
  // replica's vote; the process must not exit until then. May be called on any thread; valid one
  // tick after beginLeaving().
  bool isHandingOver() const { return handingOver_; }
  // Receives snapshots for the data plane in this process, with the time at which each was taken:
  // on each configuration change, and every 100 ms. Must be set before start(); called on the
  // control thread.
  using SnapshotListener =
      std::function<void(Snapshot, Instant, std::shared_ptr<const Configuration>)>;
  void setSnapshotListener(SnapshotListener listener) { snapshotListener_ = std::move(listener); }
  // Receives what the fleet's other data planes observe, under the same rules as the snapshot
  // listener.
  using PlaneDigestListener = std::function<void(DataPlaneDigest, Instant)>;
  void setPlaneDigestListener(PlaneDigestListener listener) {
    planeDigestListener_ = std::move(listener);
  }
  // Accepts what the data plane in this process observed. May be called on any thread.
  void takePlaneReport(DataPlaneReport report);
  // Accepts no more operator calls: open connections are closed once their call is answered. May be
  // called on any thread.
  void stopAccepting() { operatorServer_->stopAccepting(); }
  // Operator calls that were accepted and not answered yet. May be called on any thread.
  std::size_t openOperatorCalls() const { return openOperatorCalls_; }

  // The following are for operator calls and must run on the control thread.

  // True if a majority of the register replicas confirmed the configuration recently. Otherwise the
  // register can't be changed.
  bool isRegisterReachable() const;
  // Repeats read, update and propose until the outcome is known or the call times out.
  awaitable<UpdateOutcome> updateConfiguration(Update change);
  // A linearizable read of the configuration. It runs a round of the register, which also completes
  // a change that was left half done.
  awaitable<ChangeOutcome> linearizableRead(Duration timeout);

 private:
  // A server on the platform's list, and its state as last read.
  struct PolledServer {
    ListedServer listed;
    std::optional<ServerState> state;
    Instant healthyAt{};           // start of the last successful poll
    std::uint64_t generation = 0;  // tells apart two poll loops of a server that was listed twice
  };
  using Waiter = std::function<void(const ChangeOutcome&)>;

  // Carries out what the control logic decided: sends, disk writes, results of operations.
  void apply(AgentEffects effects);
  absl::StatusOr<std::optional<Disk::Rows>> openDisk();
  absl::StatusOr<std::optional<Disk::Rows>> openDataFolder();
  void onDiskReopened(Disk::Rows rows);
  void publishSnapshot(Instant now);
  void updateEventSources(Instant now);
  void publishPlaneDigests(Instant now);
  void noteLateness(Duration lateness);
  awaitable<void> tickLoop();
  awaitable<void> readList();
  // Adopts a newer server list, whether the platform or another daemon provided it.
  void takeList();
  awaitable<void> pollLoop(ServerName server, std::uint64_t generation);
  // Fills a server's state from the list, for lists that include the state.
  void applyListedState(PolledServer& row, Instant readAt) const;
  void tickRollouts(Instant now);
  RolloutView rolloutView(const ModelName& model, Instant now) const;
  void applyRollout(const ModelName& model, const RolloutEffects& rolloutEffects, Instant now);
  // Names this run of the daemon as the holder of a fence.
  std::string fenceOwner() const;
  // `decidedAt` is when the lease was last checked to outlast the order.
  awaitable<void> sendWeightsOrder(ModelName model, WeightsOrder order, Instant decidedAt);
  awaitable<void> requestWeightsReport(ModelName model, ReportRequest request);
  // Adopts the newest configuration that the register confirmed, if this build can read it.
  void applyConfiguration();

  awaitable<std::optional<HttpResponse>> handle(HttpRequest& request);
  // Handles the call that founds a new register after the loss of a majority of its disks.
  awaitable<HttpResponse> recover(HttpRequest& request);
  awaitable<HttpResponse> changeConfiguration(HttpRequest& request, bool isPatch);
  // Submits a read or a change to the register and waits for its result.
  awaitable<ChangeOutcome> submitChange(ChangeRequest change);
  // Waits until requests that a change of who is isolated crosses have started or been ended.
  awaitable<void> awaitIsolation();
  // True if there are enough register replicas that a change survives the loss of one.
  bool hasReplicasToSpare() const;
  // The server's state as known from all sources. `row.state` must be set.
  ServerState stateOf(const PolledServer& row, Instant now) const;
  // Omits the configuration's body if `knownConfiguration` is the version in force.
  Snapshot snapshot(std::uint64_t knownConfiguration, Instant now) const;
  nlohmann::json membersJson(Instant now) const;
  // Asks all live daemons which build they are, and waits for the answers.
  awaitable<HttpResponse> handleBuilds();
  nlohmann::json serversJson(Instant now) const;
  nlohmann::json configurationJson() const;

  Settings settings_;
  Dialect dialect_;
  asio::io_context io_{1};
  std::optional<AgentCore> core_;
  std::unique_ptr<Disk> disk_;
  std::unique_ptr<PeerLink> link_;
  std::unique_ptr<HttpServer> operatorServer_;
  Counters counters_;
  DecisionLog decisions_{20000};
  std::atomic<std::size_t> openOperatorCalls_{0};
  std::atomic<bool> handingOver_{false};
  std::map<OperationId, Waiter> waiters_;       // one per register operation in progress
  std::map<ServerName, PolledServer> servers_;  // exactly the servers of the latest list
  std::uint64_t lastPollGeneration_ = 0;
  std::optional<Instant> appliedListReadAt_;  // when the list behind servers_ was read
  SnapshotListener snapshotListener_;
  PlaneDigestListener planeDigestListener_;
  std::vector<ServerName> eventSources_;
  Instant nextEventSourcesAt_{};
  std::uint64_t publishedConfigurationVersion_ = 0;
  Instant nextSnapshotAt_{};
  std::shared_ptr<const Configuration> configuration_;  // the one in force, parsed; null: none
  std::uint64_t configurationVersion_ = 0;
  // When this daemon learned of the latest change by which a tenant became isolated.
  std::optional<Instant> isolatedAt_;
  std::uint64_t unreadableVersion_ = 0;  // of the register's value that this build can't parse
  // When configuration_ was last known to be the newest one.
  std::optional<Instant> configurationConfirmedAt_;
  std::map<ModelName, Rollout> rollouts_;  // one per model whose weights the configuration names
  std::map<ModelName, Instant> outdatedSince_;  // models with servers on other weights than named
};

}  // namespace quayrill
