#include "agent/core/rollout.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "base/digest.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Span kQuestionEvery = 250ms;
constexpr Span kFirstQuestion = 1200ms;
constexpr Span kReportLag = 600ms;  // a report may be as old as that when it comes
constexpr Span kOrderAgain = 500ms;
constexpr Span kNotKnownLongest = 4s;  // ours: between orders of a version that is not known there
constexpr Span kNoteEvery = 1s;
constexpr Span kStuckSpan = 10s;   // no word of its new weights for so long: its place goes on
constexpr double kPlanned = 0.75;  // of the bound: the rest is for what goes wrong
constexpr double kForced = 0.8;  // of the bound: from here on, half of a model's servers may switch

double secondsOf(Span span) { return std::chrono::duration<double>(span).count(); }
}  // namespace

const char* orderAnswerName(OrderAnswer answer) {
  static constexpr const char* kNames[] = {"taken",   "holds",     "busy",   "fenced",
                                           "refused", "not known", "unclear"};
  return kNames[static_cast<std::size_t>(answer)];
}

WeightsVersion Rollout::weightsOf(const RolloutServer& server) const {
  const auto row = rows_.find(server.name);
  if (row == rows_.end() || row->second.identity != server.identity || !row->second.reached)
    return server.weights;
  return isBehind(server.weights, *row->second.reached) ? *row->second.reached : server.weights;
}

bool Rollout::isBehindHere(const RolloutServer& server, const WeightsVersion& wanted) const {
  if (!server.usable || !isBehind(weightsOf(server), wanted)) return false;
  const auto row = rows_.find(server.name);
  return row == rows_.end() || row->second.identity != server.identity ||
         row->second.refused != wanted;
}

bool Rollout::wantsLease(const RolloutView& view) const {
  return std::any_of(view.servers.begin(), view.servers.end(), [&](const RolloutServer& s) {
    return isBehindHere(s, view.weights.newest());
  });
}

bool Rollout::isIdle() const { return switchingCount() == 0; }

bool Rollout::hasOpenOrder() const {
  return std::any_of(rows_.begin(), rows_.end(), [](const auto& row) { return row.second.open; });
}

std::size_t Rollout::switchingCount() const {
  return static_cast<std::size_t>(std::count_if(rows_.begin(), rows_.end(), [](const auto& row) {
    return row.second.switching || row.second.open;
  }));
}

Span Rollout::timeLeft(const RolloutServer& server, const RolloutView& view, Instant now) const {
  const Instant until = view.weights.usableUntil(weightsOf(server), settings_.due);
  if (until <= now) return Span{};
  return std::min(until - now, settings_.due);
}

// Those with the least time left come first. Among equals, names go by address, and so by zone;
// hashes mix them, so that no zone loses all its servers.
std::vector<Rollout::Waiting> Rollout::waitingServers(const RolloutView& view, Instant now) const {
  std::vector<Waiting> waiting;
  for (const RolloutServer& server : view.servers) {
    if (isBehindHere(server, view.weights.newest()))
      waiting.push_back({&server, timeLeft(server, view, now)});
  }
  std::sort(waiting.begin(), waiting.end(), [](const Waiting& a, const Waiting& b) {
    return std::make_tuple(a.left, stableHash(a.server->name.value)) <
           std::make_tuple(b.left, stableHash(b.server->name.value));
  });
  return waiting;
}

// A server that answers nothing serves nobody either: it is no reason to spare another.
bool Rollout::holdsPlace(const Row& row) { return row.open || (row.switching && !row.isUnclear); }

// As many as the time left makes necessary: of the servers up to each one that waits, all have to
// be done before that one is due.
std::size_t Rollout::mostAtOnce(const std::vector<Waiting>& waiting) const {
  const double reserve = secondsOf(settings_.due) * (1 - kPlanned);
  std::size_t most = 1;
  for (std::size_t count = 1; count <= waiting.size(); ++count) {
    const double planned = secondsOf(waiting[count - 1].left) - reserve;
    const double work = static_cast<double>(count) * secondsOf(switchSpan_);
    const bool isAllAtOnce = planned * static_cast<double>(count) <= work;
    most =
        std::max(most, isAllAtOnce ? count : static_cast<std::size_t>(std::ceil(work / planned)));
  }
  return most;
}

// Whether one more server may switch now beside `switching` others. Loads that run at once slow
// each other down, so more than a third of the usable ones do so only for a server whose own bound
// is near or past, and never more than half: the first half then serves again before the rest
// could.
bool Rollout::maySwitch(const Waiting& next, std::size_t switching, std::size_t most,
                        std::size_t usable, bool mayStart) const {
  const bool isNear = secondsOf(next.left) <= secondsOf(settings_.due) * (1 - kForced);
  if (!isNear && !mayStart) return false;
  const std::size_t cap = std::max<std::size_t>(1, isNear ? (usable + 1) / 2 : usable / 3);
  return switching < std::min(most, cap);
}

// A fence that follows the last own one directly was taken from nobody else.
void Rollout::meetFence(const RolloutView& view, Instant now) {
  if (!view.fence || view.fence == lastFence_) return;
  const bool own = lastFence_ && view.fence->value == lastFence_->value + 1;
  if (!own) mayOrderAt_ = now + settings_.takeoverWait;
  lastFence_ = view.fence;
}

bool Rollout::mayOrder(const RolloutView& view, Instant now) const {
  return view.fence && now >= mayOrderAt_ && !isFencedOff(*view.fence);
}

void Rollout::note(const ServerName& server, Row& row, const WeightsVersion& reached, Instant now,
                   RolloutEffects* effects) {
  row.notedAt = now;
  effects->notes.push_back(
      {server, row.identity, model_, reached, row.switching, row.fence, ++noteSequence_});
}

void Rollout::finish(const ServerName& server, Row& row, const WeightsVersion& weights, Instant now,
                     RolloutEffects* effects) {
  if (row.switching) switchSpan_ = (switchSpan_ * 7 + (now - row.begunAt) * 3) / 10;
  row.switching = row.again = false;
  row.reached = weights;
  note(server, row, weights, now, effects);
}

void Rollout::order(const RolloutServer& server, const RolloutView& view, Instant now,
                    RolloutEffects* effects) {
  Row& row = rows_[server.name];
  row.identity = server.identity;
  if (!row.switching) row.begunAt = now;
  row.switching = row.open = true;
  row.again = false;
  row.orderedAt = now;
  row.ordered = view.weights.newest();
  row.fence = *view.fence;
  effects->orders.push_back({server.name, server.identity, row.ordered, *view.fence});
  note(server.name, row, {}, now, effects);
}

// Goes on with an order that was given before.
void Rollout::follow(const RolloutServer& server, const RolloutView& view, Row& row, Instant now,
                     RolloutEffects* effects) {
  if (!row.switching) return;
  if (!row.open && now - row.orderedAt > kStuckSpan) {
    row.switching = false;
    row.nextOrder = now + kOrderAgain;
    note(server.name, row, {}, now, effects);
    return;
  }
  if (!row.open && row.again && now >= row.nextOrder && server.usable && mayOrder(view, now))
    order(server, view, now, effects);
  if (!view.fence) return;
  if (now - row.notedAt >= kNoteEvery) note(server.name, row, {}, now, effects);
  if (!row.open && !row.asking && !row.again && now >= row.nextQuestion) {
    row.asking = true;
    row.nextQuestion = now + kQuestionEvery;
    effects->reportRequests.push_back({server.name, row.identity});
  }
}

// Orders as many of those that wait as may switch beside `switching` others.
void Rollout::begin(const RolloutView& view, std::size_t switching, Instant now,
                    RolloutEffects* effects) {
  const std::vector<Waiting> waiting = waitingServers(view, now);
  const std::size_t most = mostAtOnce(waiting);
  const auto usable = static_cast<std::size_t>(std::count_if(
      view.servers.begin(), view.servers.end(), [](const RolloutServer& s) { return s.usable; }));
  // Who orders may be lost soon, and is followed late: the first ones go out at once.
  const bool isFirst = !hasBegun_;
  for (const Waiting& next : waiting) {
    if (!maySwitch(next, switching, most, usable, isFirst || now >= nextStart_)) break;
    const RolloutServer& server = *next.server;
    const auto row = rows_.find(server.name);
    const bool ours = row != rows_.end();
    if (ours && (row->second.switching || row->second.open || now < row->second.nextOrder))
      continue;
    // Where another holder's order is being done, ours takes its place and no further one.
    if (!server.switching) ++switching;
    order(server, view, now, effects);
    nextStart_ = now + switchSpan_ / static_cast<Span::rep>(most);
    hasBegun_ = true;
  }
  if (waiting.empty()) hasBegun_ = false;
}

void Rollout::onTick(const RolloutView& view, Instant now, RolloutEffects* effects) {
  meetFence(view, now);
  std::erase_if(rows_, [&](const auto& row) {
    return std::none_of(view.servers.begin(), view.servers.end(), [&](const RolloutServer& s) {
      return s.name == row.first && s.identity == row.second.identity;
    });
  });
  std::size_t switching = 0;
  for (const RolloutServer& server : view.servers) {
    const auto entry = rows_.find(server.name);
    if (entry != rows_.end()) follow(server, view, entry->second, now, effects);
    // Notes of our own orders tell nothing beyond our own row.
    const bool isOurs = entry != rows_.end() && (entry->second.switching || entry->second.open);
    const bool counts = isOurs ? holdsPlace(entry->second) : server.switching;
    switching += counts ? 1 : 0;
  }
  if (mayOrder(view, now)) begin(view, switching, now, effects);
}

void Rollout::onOrderAnswer(const WeightsOrder& order, OrderAnswer answer, Instant now,
                            RolloutEffects* effects) {
  if (answer == OrderAnswer::Fenced) fencedOff_ = std::max(fencedOff_, order.fence);
  const auto entry = rows_.find(order.server);
  if (entry == rows_.end() || entry->second.identity != order.identity || !entry->second.open)
    return;
  Row& row = entry->second;
  row.open = false;
  row.isUnclear = answer == OrderAnswer::Unclear;
  row.answeredAt = now;
  row.nextQuestion = now + kQuestionEvery;
  if (answer != OrderAnswer::UnknownVersion) row.notKnown = 0;
  switch (answer) {
    case OrderAnswer::Taken:
      // Questions are priced: the first comes no sooner than the new weights could be there.
      row.nextQuestion = now + std::min(switchSpan_ / 2, kFirstQuestion);
      return;
    case OrderAnswer::Unclear:
      return;  // its report will tell
    case OrderAnswer::AlreadyHolds:
      row.switching = false;  // it did not switch now, so this tells nothing of how long that takes
      nextStart_ = std::min(nextStart_, now);
      return finish(order.server, row, order.weights, now, effects);
    case OrderAnswer::Busy:
      return;  // the same: once it is busy no more, it may still be behind
    case OrderAnswer::Refused:
      row.refused = order.weights;
      break;
    case OrderAnswer::UnknownVersion:
      row.nextOrder =
          now + std::min(kNotKnownLongest, kOrderAgain * (1 << std::min(row.notKnown, 8U)));
      ++row.notKnown;
      break;
    case OrderAnswer::Fenced:
      row.nextOrder = now + kOrderAgain;
      break;
  }
  row.switching = false;
  nextStart_ = std::min(nextStart_, now);  // nothing was begun there
  note(order.server, row, {}, now, effects);
}

void Rollout::onReport(const ReportRequest& asked, const std::optional<WeightsReport>& report,
                       Instant askedAt, Instant now, RolloutEffects* effects) {
  const auto entry = rows_.find(asked.server);
  if (entry == rows_.end() || entry->second.identity != asked.identity) return;
  Row& row = entry->second;
  row.asking = false;
  if (report) row.isUnclear = false;
  if (!report || !row.switching || row.open || report->busy) return;
  // Where newer weights were named meanwhile it serves on these until its turn comes again: one
  // that went on at once might never serve, and keep the place of those with less time left.
  if (!isBehind(report->weights, row.ordered))
    return finish(asked.server, row, report->weights, now, effects);
  if (askedAt >= row.answeredAt + kReportLag) {
    row.again = true;  // the order was not taken, or has come to nothing
    row.nextOrder = now;
  }
}

}  // namespace quayrill
