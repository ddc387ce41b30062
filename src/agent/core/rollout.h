#pragma once
// Rolls out the newest weights of one model to its servers. Superseded weights may be used only for
// a bounded time, so the server with the least time left is switched first. Orders are sent only
// under a lease. A server that is switching serves no requests, so no more servers switch at once
// than the time left for the others requires.
#include <map>
#include <optional>
#include <vector>

#include "agent/core/server_notes.h"
#include "base/clock.h"
#include "base/types.h"
#include "base/weights_version.h"

namespace quayrill {

// A server's answer to an order.
enum class OrderAnswer {
  Taken,           // accepted and in progress
  AlreadyHolds,    // the server had these weights before
  Busy,            // another order is in progress
  Fenced,          // the server has seen a higher fence
  Refused,         // rejected for good: another server is at this address
  UnknownVersion,  // the server doesn't know the version at present, but may learn of it
  Unclear,         // no answer; the order may have been accepted
};
// The answer's name in the decision log.
const char* orderAnswerName(OrderAnswer answer);

// A server's report about its weights.
struct WeightsReport {
  ModelName model;
  WeightsVersion weights;
  bool busy = false;  // an order is in progress
};

// Settings of a rollout.
struct RolloutSettings {
  Duration
      weightsBound{};  // how long requests may still start on weights after they were superseded
  Duration takeoverWait{};  // from taking over a lease to the first order under it
};

// A server as the daemon knows it now.
struct RolloutServer {
  ServerName name;
  ServerIdentity identity;
  WeightsVersion weights;
  bool usable = false;     // can take orders: it is up and not leaving
  bool switching = false;  // an order of any lease holder is known to be in progress
};

// What a rollout decides on.
struct RolloutView {
  WeightsHistory weights;              // of the model
  std::vector<RolloutServer> servers;  // all listed servers of the model
  std::optional<FencingToken> fence;   // set while the lease is certain to outlast an order
};

// An order to a server to switch to other weights.
struct WeightsOrder {
  ServerName server;
  ServerIdentity identity;
  WeightsVersion weights;
  FencingToken fence;
};

// A request to a server to report its weights.
struct ReportRequest {
  ServerName server;
  ServerIdentity identity;
};

// What the caller must do after an event.
struct RolloutEffects {
  std::vector<WeightsOrder> orders;  // each must be followed by onOrderAnswer, after any time
  std::vector<ReportRequest> reportRequests;  // each must be followed by onReport
  std::vector<ServerNote> notes;              // to send to all daemons, including this one
};

// The rollout of one model as a state machine.
class Rollout {
 public:
  Rollout(ModelName model, RolloutSettings settings)
      : model_(std::move(model)), settings_(settings) {}

  void onTick(const RolloutView& view, Instant now, RolloutEffects* effects);
  void onOrderAnswer(const WeightsOrder& order, OrderAnswer answer, Instant now,
                     RolloutEffects* effects);
  // `report` is nullopt if the server did not answer.
  void onReport(const ReportRequest& request, const std::optional<WeightsReport>& report,
                Instant askedAt, Instant now, RolloutEffects* effects);

  // Some server is behind and can take an order.
  bool wantsLease(const RolloutView& view) const;
  // No order of this daemon is unanswered or in progress, so the lease can be released.
  bool isIdle() const;
  // A server has seen a higher fence, so orders under `fence` would be rejected.
  bool isFencedOff(FencingToken fence) const { return fence <= highestRejectedFence_; }
  // The number of servers with an order of this daemon that is unanswered or in progress.
  std::size_t switchingCount() const;
  // An order of this daemon is unanswered.
  bool hasOpenOrder() const;

 private:
  // The state of one server process. `switching` lasts from the first order until the new weights
  // are reported. While `orderPending` is set, the answer to an order is awaited; orders to one
  // server are sent one at a time.
  struct ServerState {
    ServerIdentity identity;
    WeightsVersion ordered;                 // the version in the last order
    std::optional<WeightsVersion> reached;  // reported after an order
    FencingToken fence;
    bool switching = false, orderPending = false, reportPending = false;
    bool isUnresponsive = false;  // neither the last order nor a report request since was answered
    bool retryOrder = false;      // the last order was not accepted
    std::optional<WeightsVersion> refusedVersion;  // not ordered again from this process
    std::uint32_t unknownVersionCount = 0;         // consecutive UnknownVersion answers
    Instant switchStartedAt, orderedAt, answeredAt, nextOrder, nextReportRequest, lastNoteAt;
  };
  // A server that is behind, and how long requests may still start on its weights.
  struct BehindServer {
    const RolloutServer* server;
    Duration remaining;
  };
  WeightsVersion knownWeights(const RolloutServer& server) const;
  bool needsOrder(const RolloutServer& server, const WeightsVersion& wanted) const;
  bool mayOrder(const RolloutView& view, Instant now) const;
  // How long requests may still start on the server's weights; zero if that time has passed.
  Duration timeLeft(const RolloutServer& server, const RolloutView& view, Instant now) const;
  // Whether the server counts towards the number that may switch at once.
  static bool occupiesSwitchSlot(const ServerState& state);
  // Sorted so that the server with the least time left comes first.
  std::vector<BehindServer> behindServers(const RolloutView& view, Instant now) const;
  std::size_t requiredConcurrency(const std::vector<BehindServer>& behind) const;
  // Whether one more server may start to switch.
  bool maySwitch(const BehindServer& next, std::size_t switching, std::size_t concurrency,
                 std::size_t usable, bool mayStart) const;
  void onFence(const RolloutView& view, Instant now);
  void continueOrder(const RolloutServer& server, const RolloutView& view, ServerState& state,
                     Instant now, RolloutEffects* effects);
  void startOrders(const RolloutView& view, std::size_t switching, Instant now,
                   RolloutEffects* effects);
  void sendOrder(const RolloutServer& server, const RolloutView& view, Instant now,
                 RolloutEffects* effects);
  void completeSwitch(const ServerName& server, ServerState& state, const WeightsVersion& weights,
                      Instant now, RolloutEffects* effects);
  // `reached` has the weights reported after an order; empty if not known.
  void publishNote(const ServerName& server, ServerState& state, const WeightsVersion& reached,
                   Instant now, RolloutEffects* effects);

  ModelName model_;
  RolloutSettings settings_;
  std::map<ServerName, ServerState> servers_;  // of listed servers only
  std::optional<FencingToken> lastFence_;
  FencingToken highestRejectedFence_;
  Instant mayOrderAt_{};
  // Moving average of the time from an order to the new weights.
  Duration expectedSwitchTime_ = std::chrono::milliseconds(2500);
  // Starts are spread over the duration of one switch. Servers that start together would all wait
  // for their open streams at the same time and then load at the same time, slowing each other.
  Instant nextStart_{};
  bool hasStarted_ = false;  // a server was ordered since all servers last had the newest weights
  std::uint64_t noteSequence_ = 0;
};

}  // namespace quayrill
