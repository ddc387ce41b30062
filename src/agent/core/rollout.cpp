#include "agent/core/rollout.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "base/digest.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Duration kReportInterval = 250ms;
constexpr Duration kMaxFirstReportDelay = 1200ms;
constexpr Duration kMaxReportAge = 600ms;  // the age that a report can have when it arrives
constexpr Duration kOrderRetryDelay = 500ms;
// Limit of the backoff while a server doesn't know the ordered version.
constexpr Duration kMaxUnknownVersionDelay = 4s;
constexpr Duration kNoteInterval = 1s;
// A server that hasn't reported its new weights for this long no longer counts as switching.
constexpr Duration kStuckAfter = 10s;
// Switches are planned to be done within this share of the bound; the rest is a reserve for
// failures.
constexpr double kPlannedShare = 0.75;
// After this share of the bound, up to half of a model's servers may switch at once.
constexpr double kForcedShare = 0.8;

double secondsOf(Duration span) { return std::chrono::duration<double>(span).count(); }
}  // namespace

const char* orderAnswerName(OrderAnswer answer) {
  static constexpr const char* kNames[] = {"taken",   "holds",     "busy",   "fenced",
                                           "refused", "not known", "unclear"};
  return kNames[static_cast<std::size_t>(answer)];
}

WeightsVersion Rollout::knownWeights(const RolloutServer& server) const {
  const auto state = servers_.find(server.name);
  if (state == servers_.end() || state->second.identity != server.identity ||
      !state->second.reached)
    return server.weights;
  return isOlderVersion(server.weights, *state->second.reached) ? *state->second.reached
                                                                : server.weights;
}

bool Rollout::needsOrder(const RolloutServer& server, const WeightsVersion& wanted) const {
  if (!server.usable || !isOlderVersion(knownWeights(server), wanted)) return false;
  const auto state = servers_.find(server.name);
  return state == servers_.end() || state->second.identity != server.identity ||
         state->second.refusedVersion != wanted;
}

bool Rollout::wantsLease(const RolloutView& view) const {
  return std::any_of(view.servers.begin(), view.servers.end(), [&](const RolloutServer& server) {
    return needsOrder(server, view.weights.newest());
  });
}

bool Rollout::isIdle() const { return switchingCount() == 0; }

bool Rollout::hasOpenOrder() const {
  return std::any_of(servers_.begin(), servers_.end(),
                     [](const auto& state) { return state.second.orderPending; });
}

std::size_t Rollout::switchingCount() const {
  return static_cast<std::size_t>(std::count_if(
      servers_.begin(), servers_.end(),
      [](const auto& state) { return state.second.switching || state.second.orderPending; }));
}

Duration Rollout::timeLeft(const RolloutServer& server, const RolloutView& view,
                           Instant now) const {
  const Instant until = view.weights.usableUntil(knownWeights(server), settings_.weightsBound);
  if (until <= now) return Duration{};
  return std::min(until - now, settings_.weightsBound);
}

// Sorted by the time left. Ties are broken by a hash of the name rather than the name: names are
// addresses, which are grouped by zone, and all servers of a zone might switch at once.
std::vector<Rollout::BehindServer> Rollout::behindServers(const RolloutView& view,
                                                          Instant now) const {
  std::vector<BehindServer> behind;
  for (const RolloutServer& server : view.servers) {
    if (needsOrder(server, view.weights.newest()))
      behind.push_back({&server, timeLeft(server, view, now)});
  }
  std::sort(behind.begin(), behind.end(), [](const BehindServer& a, const BehindServer& b) {
    return std::make_tuple(a.remaining, stableHash(a.server->name.value)) <
           std::make_tuple(b.remaining, stableHash(b.server->name.value));
  });
  return behind;
}

// A server that doesn't answer serves no requests either, so it doesn't keep others from switching.
bool Rollout::occupiesSwitchSlot(const ServerState& state) {
  return state.orderPending || (state.switching && !state.isUnresponsive);
}

// The smallest number of concurrent switches such that, for each server in order, this server and
// all before it are done before its time runs out.
std::size_t Rollout::requiredConcurrency(const std::vector<BehindServer>& behind) const {
  const double reserve = secondsOf(settings_.weightsBound) * (1 - kPlannedShare);
  std::size_t concurrency = 1;
  for (std::size_t count = 1; count <= behind.size(); ++count) {
    const double planned = secondsOf(behind[count - 1].remaining) - reserve;
    const double work = static_cast<double>(count) * secondsOf(expectedSwitchTime_);
    const bool needsAllAtOnce = planned * static_cast<double>(count) <= work;
    concurrency = std::max(
        concurrency, needsAllAtOnce ? count : static_cast<std::size_t>(std::ceil(work / planned)));
  }
  return concurrency;
}

// Whether one more server may switch now besides `switching` others. Concurrent loads slow each
// other down, so more than a third of the usable servers switch at once only for a server whose
// time is nearly or entirely used up. It is never more than half, so that the first half serves
// again before the rest stops.
bool Rollout::maySwitch(const BehindServer& next, std::size_t switching, std::size_t concurrency,
                        std::size_t usable, bool mayStart) const {
  const bool isNearlyDue =
      secondsOf(next.remaining) <= secondsOf(settings_.weightsBound) * (1 - kForcedShare);
  if (!isNearlyDue && !mayStart) return false;
  const std::size_t cap = std::max<std::size_t>(1, isNearlyDue ? (usable + 1) / 2 : usable / 3);
  return switching < std::min(concurrency, cap);
}

// A fence that directly follows the last own one means that no other daemon held the lease in
// between.
void Rollout::onFence(const RolloutView& view, Instant now) {
  if (!view.fence || view.fence == lastFence_) return;
  const bool isOwnSuccessor = lastFence_ && view.fence->value == lastFence_->value + 1;
  if (!isOwnSuccessor) mayOrderAt_ = now + settings_.takeoverWait;
  lastFence_ = view.fence;
}

bool Rollout::mayOrder(const RolloutView& view, Instant now) const {
  return view.fence && now >= mayOrderAt_ && !isFencedOff(*view.fence);
}

void Rollout::publishNote(const ServerName& server, ServerState& state,
                          const WeightsVersion& reached, Instant now, RolloutEffects* effects) {
  state.lastNoteAt = now;
  effects->notes.push_back(
      {server, state.identity, model_, reached, state.switching, state.fence, ++noteSequence_});
}

void Rollout::completeSwitch(const ServerName& server, ServerState& state,
                             const WeightsVersion& weights, Instant now, RolloutEffects* effects) {
  if (state.switching)
    expectedSwitchTime_ = (expectedSwitchTime_ * 7 + (now - state.switchStartedAt) * 3) / 10;
  state.switching = state.retryOrder = false;
  state.reached = weights;
  publishNote(server, state, weights, now, effects);
}

void Rollout::sendOrder(const RolloutServer& server, const RolloutView& view, Instant now,
                        RolloutEffects* effects) {
  ServerState& state = servers_[server.name];
  state.identity = server.identity;
  if (!state.switching) state.switchStartedAt = now;
  state.switching = state.orderPending = true;
  state.retryOrder = false;
  state.orderedAt = now;
  state.ordered = view.weights.newest();
  state.fence = *view.fence;
  effects->orders.push_back({server.name, server.identity, state.ordered, *view.fence});
  publishNote(server.name, state, {}, now, effects);
}

// Continues an order that was sent before: retries it, requests a report and repeats the note.
void Rollout::continueOrder(const RolloutServer& server, const RolloutView& view,
                            ServerState& state, Instant now, RolloutEffects* effects) {
  if (!state.switching) return;
  if (!state.orderPending && now - state.orderedAt > kStuckAfter) {
    state.switching = false;
    state.nextOrder = now + kOrderRetryDelay;
    publishNote(server.name, state, {}, now, effects);
    return;
  }
  if (!state.orderPending && state.retryOrder && now >= state.nextOrder && server.usable &&
      mayOrder(view, now))
    sendOrder(server, view, now, effects);
  if (!view.fence) return;
  if (now - state.lastNoteAt >= kNoteInterval) publishNote(server.name, state, {}, now, effects);
  if (!state.orderPending && !state.reportPending && !state.retryOrder &&
      now >= state.nextReportRequest) {
    state.reportPending = true;
    state.nextReportRequest = now + kReportInterval;
    effects->reportRequests.push_back({server.name, state.identity});
  }
}

// Sends orders to as many servers that are behind as may switch besides `switching` others.
void Rollout::startOrders(const RolloutView& view, std::size_t switching, Instant now,
                          RolloutEffects* effects) {
  const std::vector<BehindServer> behind = behindServers(view, now);
  const std::size_t concurrency = requiredConcurrency(behind);
  const auto usable = static_cast<std::size_t>(
      std::count_if(view.servers.begin(), view.servers.end(),
                    [](const RolloutServer& server) { return server.usable; }));
  // This daemon may fail, and its successor would start late, so the first orders are sent at once.
  const bool isFirst = !hasStarted_;
  for (const BehindServer& next : behind) {
    if (!maySwitch(next, switching, concurrency, usable, isFirst || now >= nextStart_)) break;
    const RolloutServer& server = *next.server;
    const auto state = servers_.find(server.name);
    const bool hasState = state != servers_.end();
    if (hasState &&
        (state->second.switching || state->second.orderPending || now < state->second.nextOrder))
      continue;
    // If another holder's order is in progress, this order replaces it and the count is unchanged.
    if (!server.switching) ++switching;
    sendOrder(server, view, now, effects);
    nextStart_ = now + expectedSwitchTime_ / static_cast<Duration::rep>(concurrency);
    hasStarted_ = true;
  }
  if (behind.empty()) hasStarted_ = false;
}

void Rollout::onTick(const RolloutView& view, Instant now, RolloutEffects* effects) {
  onFence(view, now);
  std::erase_if(servers_, [&](const auto& state) {
    return std::none_of(view.servers.begin(), view.servers.end(), [&](const RolloutServer& server) {
      return server.name == state.first && server.identity == state.second.identity;
    });
  });
  std::size_t switching = 0;
  for (const RolloutServer& server : view.servers) {
    const auto entry = servers_.find(server.name);
    if (entry != servers_.end()) continueOrder(server, view, entry->second, now, effects);
    // For this daemon's own orders its state is at least as new as its notes.
    const bool isOwnOrder =
        entry != servers_.end() && (entry->second.switching || entry->second.orderPending);
    const bool counts = isOwnOrder ? occupiesSwitchSlot(entry->second) : server.switching;
    switching += counts ? 1 : 0;
  }
  if (mayOrder(view, now)) startOrders(view, switching, now, effects);
}

void Rollout::onOrderAnswer(const WeightsOrder& order, OrderAnswer answer, Instant now,
                            RolloutEffects* effects) {
  if (answer == OrderAnswer::Fenced)
    highestRejectedFence_ = std::max(highestRejectedFence_, order.fence);
  const auto entry = servers_.find(order.server);
  if (entry == servers_.end() || entry->second.identity != order.identity ||
      !entry->second.orderPending)
    return;
  ServerState& state = entry->second;
  state.orderPending = false;
  state.isUnresponsive = answer == OrderAnswer::Unclear;
  state.answeredAt = now;
  state.nextReportRequest = now + kReportInterval;
  if (answer != OrderAnswer::UnknownVersion) state.unknownVersionCount = 0;
  switch (answer) {
    case OrderAnswer::Taken:
      // Reports cost calls, so the first is requested only when the switch may be complete.
      state.nextReportRequest = now + std::min(expectedSwitchTime_ / 2, kMaxFirstReportDelay);
      return;
    case OrderAnswer::Unclear:
      return;  // a report will show the result
    case OrderAnswer::AlreadyHolds:
      state.switching = false;  // no switch took place, so its duration must not be averaged
      nextStart_ = std::min(nextStart_, now);
      return completeSwitch(order.server, state, order.weights, now, effects);
    case OrderAnswer::Busy:
      return;  // a report will show the result; the server may still be behind afterwards
    case OrderAnswer::Refused:
      state.refusedVersion = order.weights;
      break;
    case OrderAnswer::UnknownVersion:
      state.nextOrder =
          now + std::min(kMaxUnknownVersionDelay,
                         kOrderRetryDelay * (1 << std::min(state.unknownVersionCount, 8U)));
      ++state.unknownVersionCount;
      break;
    case OrderAnswer::Fenced:
      state.nextOrder = now + kOrderRetryDelay;
      break;
  }
  state.switching = false;
  nextStart_ = std::min(nextStart_, now);  // no switch was started
  publishNote(order.server, state, {}, now, effects);
}

void Rollout::onReport(const ReportRequest& request, const std::optional<WeightsReport>& report,
                       Instant askedAt, Instant now, RolloutEffects* effects) {
  const auto entry = servers_.find(request.server);
  if (entry == servers_.end() || entry->second.identity != request.identity) return;
  ServerState& state = entry->second;
  state.reportPending = false;
  if (report) state.isUnresponsive = false;
  if (!report || !state.switching || state.orderPending || report->busy) return;
  // Even if newer weights have been named since, the server first serves with these until it is
  // selected again. If it continued at once, it might never serve, and it would delay servers with
  // less time left.
  if (!isOlderVersion(report->weights, state.ordered))
    return completeSwitch(request.server, state, report->weights, now, effects);
  if (askedAt >= state.answeredAt + kMaxReportAge) {
    state.retryOrder = true;  // the order was not accepted, or it failed
    state.nextOrder = now;
  }
}

}  // namespace quayrill
