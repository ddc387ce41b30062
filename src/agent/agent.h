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
RegisterKey orderLease(const ModelName& model);

class Agent {
 public:
  Agent(Settings settings, Dialect dialect);
  absl::Status start();
  void run();  // on the calling thread, until stop
  void beginLeaving();
  // Takes up what of changed settings can change while it runs: `takenLive` in
  // daemon/settings_watch.h names them. May be called on any thread.
  void takeSettings(const Settings& changed);
  void stop();
  // Leaving, and the register replica's vote is about to pass to another machine: the process is
  // still needed. From any thread; known a tick after beginLeaving.
  bool isHandingOver() const { return handingOver_; }
  // Operator calls that were taken and not yet answered.
  // The data plane in this process, told each time that something changed and every 100 ms. Set it
  // before start; it is called on the control thread.
  using Feed = std::function<void(Snapshot, Instant)>;
  void setFeed(Feed feed) { feed_ = std::move(feed); }
  // The data plane in this process, told what those of the fleet observe. As setFeed.
  using PlaneFeed = std::function<void(DataPlaneDigest, Instant)>;
  void setPlaneFeed(PlaneFeed feed) { planeFeed_ = std::move(feed); }
  // What the data plane in this process observed. May be called on any thread.
  void takePlaneReport(DataPlaneReport report);
  std::size_t callsOpen() const { return callsOpen_; }

  // For calls of operators, on the control thread. A register that is not heard can't be changed.
  bool hearsRegister() const;
  // Reads, updates and proposes until it is known what became of it, or its time is over.
  awaitable<UpdateOutcome> updateConfiguration(Update change);
  // A read of the configuration through the register itself, which also settles it.
  awaitable<ChangeOutcome> readSettled(Duration due);

 private:
  struct Polled {
    ListedServer listed;
    std::optional<ServerState> state;
    Instant healthyAt{};  // start of the last poll that was answered
    std::uint64_t life = 0;
  };
  using Waiter = std::function<void(const ChangeOutcome&)>;

  void apply(AgentEffects effects);
  void takeDisk(Disk::Rows rows);
  void feed(Instant now);
  void shareEventSources(Instant now);
  void feedPlane(Instant now);
  awaitable<void> tickLoop();
  awaitable<void> readList();
  void takeList();
  awaitable<void> pollLoop(ServerName server, std::uint64_t life);
  void takeTold(Polled& row, Instant readAt) const;
  void tickOrders(Instant now);
  RolloutView rolloutView(const ModelName& model, Instant now) const;
  void applyRollout(const ModelName& model, const RolloutEffects& made, Instant now);
  std::string orderOwner() const;
  // `decidedAt` is when the lease was last seen to outlast the order.
  awaitable<void> orderServer(ModelName model, WeightsOrder order, Instant decidedAt);
  awaitable<void> askReport(ModelName model, ReportRequest asked);
  void takeConfiguration();

  awaitable<std::optional<HttpResponse>> handle(HttpRequest& request);
  awaitable<HttpResponse> recover(HttpRequest& request);
  awaitable<HttpResponse> changeConfiguration(HttpRequest& request, bool isPatch);
  awaitable<ChangeOutcome> ask(ChangeRequest change);
  // Enough register replicas that a change survives the loss of one.
  bool hasReplicasToSpare() const;
  ServerState stateOf(const Polled& row, Instant now) const;
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
  std::atomic<std::size_t> callsOpen_{0};
  std::atomic<bool> handingOver_{false};
  std::map<OperationId, Waiter> waiters_;  // one for each operator call under way
  // servers_ holds exactly what the platform listed last.
  std::map<ServerName, Polled> servers_;
  std::uint64_t pollLife_ = 0;
  std::optional<Instant> takenList_;  // the reading that servers_ stands for
  Feed feed_;
  PlaneFeed planeFeed_;
  std::vector<ServerName> eventSources_;
  Instant nextEventSources_{};
  std::uint64_t fedConfiguration_ = 0;
  Instant nextFeed_{};
  std::optional<Configuration> configuration_;  // the configuration in force, parsed
  std::uint64_t configurationVersion_ = 0;
  // When the configuration in force here was last known to be the newest.
  std::optional<Instant> confirmedThen_;
  std::map<ModelName, Rollout> rollouts_;     // of models that the configuration names weights for
  std::map<ModelName, Instant> behindSince_;  // of those, where a server has other weights
};

}  // namespace quayrill
