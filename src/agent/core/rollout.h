#pragma once
// Brings one model's servers to the weights that were named last, each before the first naming that
// superseded its own weights is too long ago: the server with the least time left goes first. It
// orders only under a lease, and no more servers at a time than the time left for the rest makes
// necessary, for a server that switches serves nobody.
#include <map>
#include <optional>
#include <vector>

#include "agent/core/server_notes.h"
#include "base/clock.h"
#include "base/types.h"
#include "base/weights_version.h"

namespace quayrill {

// What became of an order, as far as its answer tells.
enum class OrderAnswer {
  Taken,           // it is being done
  AlreadyHolds,    // the version was there before
  Busy,            // another is under way
  Fenced,          // a higher fence was seen there
  Refused,         // it will not be done: another server is there
  UnknownVersion,  // the server knows no such version now; it may learn of it
  Unclear,         // no answer; it may have been taken
};
const char* orderAnswerName(OrderAnswer answer);

// What a server says when it is asked about its weights.
struct WeightsReport {
  ModelName model;
  WeightsVersion weights;
  bool busy = false;  // an order is under way there
};

struct RolloutSettings {
  Span due{};           // of a naming: by then no server is to begin on weights older than it
  Span takeoverWait{};  // after a lease was taken over, before the first order under it
};

struct RolloutServer {
  ServerName name;
  ServerIdentity identity;
  WeightsVersion weights;
  bool usable = false;     // it may be ordered: it is up and does not leave
  bool switching = false;  // an order of some holder is known to be under way there
};

struct RolloutView {
  WeightsHistory weights;              // of the model
  std::vector<RolloutServer> servers;  // all of the model that are listed
  std::optional<Fence> fence;          // while the lease is sure to outlast an order
};

struct WeightsOrder {
  ServerName server;
  ServerIdentity identity;
  WeightsVersion weights;
  Fence fence;
};

struct ReportRequest {
  ServerName server;
  ServerIdentity identity;
};

struct RolloutEffects {
  std::vector<WeightsOrder> orders;           // each is answered through onOrderAnswer, in any time
  std::vector<ReportRequest> reportRequests;  // each is answered through onReport
  std::vector<ServerNote> notes;              // for all daemons, this one among them
};

class Rollout {
 public:
  Rollout(ModelName model, RolloutSettings settings)
      : model_(std::move(model)), settings_(settings) {}

  void onTick(const RolloutView& view, Instant now, RolloutEffects* effects);
  void onOrderAnswer(const WeightsOrder& order, OrderAnswer answer, Instant now,
                     RolloutEffects* effects);
  // nullopt: the server gave none.
  void onReport(const ReportRequest& asked, const std::optional<WeightsReport>& report,
                Instant askedAt, Instant now, RolloutEffects* effects);

  // Servers are behind that may be ordered.
  bool wantsLease(const RolloutView& view) const;
  // No order of this daemon is open or being done, so the lease may go.
  bool isIdle() const;
  // This fence is of no more use: a server has seen a higher one.
  bool isFencedOff(Fence fence) const { return fence <= fencedOff_; }
  std::size_t switchingCount() const;
  // An order of this daemon may still be sent, or be on its way.
  bool hasOpenOrder() const;

 private:
  // One life of a server. `switching` lasts from the first order until the new weights are seen
  // there; `open` is true while an order's answer is awaited, so orders to one server are serial.
  struct Row {
    ServerIdentity identity;
    WeightsVersion ordered;                 // by the last order
    std::optional<WeightsVersion> reached;  // seen there after an order
    Fence fence;
    bool switching = false, open = false, asking = false;
    bool isUnclear = false;  // neither the last order was answered nor a question since
    bool again = false;      // the last order was not taken
    std::optional<WeightsVersion> refused;  // not ordered again in this life
    std::uint32_t notKnown = 0;             // answers of that kind in a row
    Instant begunAt, orderedAt, answeredAt, nextOrder, nextQuestion, notedAt;
  };
  // A server that is behind, and how long requests may still begin on its weights.
  struct Waiting {
    const RolloutServer* server;
    Span left;
  };
  WeightsVersion weightsOf(const RolloutServer& server) const;
  bool isBehindHere(const RolloutServer& server, const WeightsVersion& wanted) const;
  bool mayOrder(const RolloutView& view, Instant now) const;
  // Zero where none is left.
  Span timeLeft(const RolloutServer& server, const RolloutView& view, Instant now) const;
  // One of those that may switch at once.
  static bool holdsPlace(const Row& row);
  std::vector<Waiting> waitingServers(const RolloutView& view, Instant now) const;
  std::size_t mostAtOnce(const std::vector<Waiting>& waiting) const;
  bool maySwitch(const Waiting& next, std::size_t switching, std::size_t most, std::size_t usable,
                 bool mayStart) const;
  void meetFence(const RolloutView& view, Instant now);
  void follow(const RolloutServer& server, const RolloutView& view, Row& row, Instant now,
              RolloutEffects* effects);
  void begin(const RolloutView& view, std::size_t switching, Instant now, RolloutEffects* effects);
  void order(const RolloutServer& server, const RolloutView& view, Instant now,
             RolloutEffects* effects);
  void finish(const ServerName& server, Row& row, const WeightsVersion& weights, Instant now,
              RolloutEffects* effects);
  // `reached`: the weights seen there after an order; empty where that is not known now.
  void note(const ServerName& server, Row& row, const WeightsVersion& reached, Instant now,
            RolloutEffects* effects);

  ModelName model_;
  RolloutSettings settings_;
  std::map<ServerName, Row> rows_;  // of listed servers only
  std::optional<Fence> lastFence_;
  Fence fencedOff_;
  Instant mayOrderAt_{};
  Span switchSpan_ = std::chrono::milliseconds(2500);  // from order to new weights, by experience
  // Starts are spread over the time that one switch takes: servers in step would all wait for
  // their streams at the same time, and then share the loading.
  Instant nextStart_{};
  bool hasBegun_ = false;  // since all servers had the newest weights last
  std::uint64_t noteSequence_ = 0;
};

}  // namespace quayrill
