#pragma once
// The agent's shell: one control thread round the control logic, with its sockets and its disk.
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

// The lease under which a model's servers are ordered.
RegisterKey rolloutLeaseKey(const ModelName& model);

class Agent {
 public:
  Agent(Settings settings, Dialect dialect);
  absl::Status start();
  void run();  // on the calling thread, until stop
  void beginLeaving();
  // Takes up what of changed settings can change while it runs: `withLiveSettings` in
  // daemon/settings_watch.h names them. May be called on any thread.
  void applySettings(const Settings& changed);
  void stop();
  // Leaving, and the register replica's vote is about to pass to another machine: the process is
  // still needed. From any thread; known a tick after beginLeaving.
  bool isHandingOver() const { return handingOver_; }
  // Operator calls that were taken and not yet answered.
  // The data plane in this process, told each time that something changed and every 100 ms. Set it
  // before start; it is called on the control thread.
  using SnapshotListener = std::function<void(Snapshot, Instant)>;
  void setSnapshotListener(SnapshotListener publishSnapshot) {
    snapshotListener_ = std::move(publishSnapshot);
  }
  // The data plane in this process, told what those of the fleet observe. As setSnapshotListener.
  using PlaneDigestListener = std::function<void(PlaneDigest, Instant)>;
  void setPlaneDigestListener(PlaneDigestListener publishSnapshot) {
    planeDigestListener_ = std::move(publishSnapshot);
  }
  // What the data plane in this process observed. May be called on any thread.
  void takePlaneReport(PlaneReport report);
  std::size_t openOperatorCalls() const { return openOperatorCalls_; }

  // For calls of operators, on the control thread. A register that is not heard can't be changed.
  bool isRegisterReachable() const;
  // Reads, updates and proposes until it is known what became of it, or its time is over.
  awaitable<UpdateDone> updateConfiguration(Update change);
  // A read of the configuration through the register itself, which also settles it.
  awaitable<ChangeDone> linearizableRead(Span timeout);

 private:
  struct PolledServer {
    ListRow listed;
    std::optional<ServerState> state;
    Instant healthyAt{};  // start of the last poll that was answered
    std::uint64_t generation = 0;
  };
  using Waiter = std::function<void(const ChangeDone&)>;

  void apply(AgentEffects effects);
  void onDiskReopened(Disk::Rows rows);
  void publishSnapshot(Instant now);
  void updateEventSources(Instant now);
  void publishPlaneDigests(Instant now);
  awaitable<void> tickLoop();
  awaitable<void> readList();
  void takeList();
  awaitable<void> pollLoop(ServerName server, std::uint64_t generation);
  void applyListedState(PolledServer& row, Instant readAt) const;
  void tickRollouts(Instant now);
  RolloutView rolloutView(const ModelName& model, Instant now) const;
  void applyRollout(const ModelName& model, const RolloutEffects& made, Instant now);
  std::string fenceOwner() const;
  // `decidedAt` is when the lease was last seen to outlast the order.
  awaitable<void> sendWeightsOrder(ModelName model, WeightsOrder order, Instant decidedAt);
  awaitable<void> requestWeightsReport(ModelName model, ReportAsk asked);
  void applyConfiguration();

  awaitable<std::optional<HttpResponse>> handle(HttpRequest& request);
  awaitable<HttpResponse> recover(HttpRequest& request);
  awaitable<HttpResponse> changeConfiguration(HttpRequest& request, bool isPatch);
  awaitable<ChangeDone> submitChange(ChangeAsked change);
  // Enough register replicas that a change survives the loss of one.
  bool hasReplicasToSpare() const;
  ServerState stateOf(const PolledServer& row, Instant now) const;
  Snapshot snapshot(std::uint64_t knownConfiguration, Instant now) const;
  nlohmann::json membersJson(Instant now) const;
  nlohmann::json serversJson(Instant now) const;
  nlohmann::json configurationJson() const;

  Settings settings_;
  Dialect dialect_;
  asio::io_context io_{1};
  std::optional<AgentCore> core_;
  std::unique_ptr<Disk> disk_;
  std::unique_ptr<PeerLink> link_;
  std::unique_ptr<HttpServer> operators_;
  Counters counters_;
  DecisionLog decisions_{20000};
  std::atomic<std::size_t> openOperatorCalls_{0};
  std::atomic<bool> handingOver_{false};
  std::map<OperationId, Waiter> waiters_;  // one for each operator call under way
  // servers_ holds exactly what the platform listed last.
  std::map<ServerName, PolledServer> servers_;
  std::uint64_t lastPollGeneration_ = 0;
  std::optional<Instant> appliedListReadAt_;  // the reading that servers_ stands for
  SnapshotListener snapshotListener_;
  PlaneDigestListener planeDigestListener_;
  std::vector<ServerName> eventSources_;
  Instant nextEventSourcesAt_{};
  std::uint64_t publishedConfigurationVersion_ = 0;
  Instant nextSnapshotAt_{};
  std::optional<Configuration> configuration_;  // the configuration in force, parsed
  std::uint64_t configurationVersion_ = 0;
  // When the configuration in force here was last known to be the newest.
  std::optional<Instant> configurationConfirmedAt_;
  std::map<ModelName, Rollout> rollouts_;  // of models that the configuration names weights for
  std::map<ModelName, Instant> outdatedSince_;  // of those, where a server has other weights
};

}  // namespace quayrill
