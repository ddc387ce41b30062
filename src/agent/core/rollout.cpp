#include "agent/core/rollout.h"

#include <algorithm>
#include <cmath>

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

// Names go by address, and so by zone; hashes mix them, so that no zone loses all its servers.
std::vector<RolloutServer> inTurn(std::vector<RolloutServer> servers) {
  std::sort(servers.begin(), servers.end(), [](const auto& a, const auto& b) {
    return stableHash(a.name.value) < stableHash(b.name.value);
  });
  return servers;
}
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
  return std::any_of(view.servers.begin(), view.servers.end(),
                     [&](const RolloutServer& s) { return isBehindHere(s, view.wanted); });
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

// As many as the time left for those that are behind makes necessary. More than a third only when
// the bound is near; past it no request begins on old weights any more, so nothing is spared.
std::size_t Rollout::mostAtOnce(const RolloutView& view) const {
  const auto usable = static_cast<std::size_t>(std::count_if(
      view.servers.begin(), view.servers.end(), [](const RolloutServer& s) { return s.usable; }));
  const auto behind = static_cast<std::size_t>(
      std::count_if(view.servers.begin(), view.servers.end(),
                    [&](const RolloutServer& s) { return isBehindHere(s, view.wanted); }));
  const double ago = std::chrono::duration<double>(view.namedAgo).count();
  const double due = std::chrono::duration<double>(settings_.due).count();
  if (ago >= due) return std::max<std::size_t>(1, usable);
  std::size_t cap = std::max<std::size_t>(1, usable / 3);
  if (ago >= due * kForced) cap = std::max(cap, (usable + 1) / 2);
  const double left = due * kPlanned - ago;
  if (left <= 0) return cap;
  const double work =
      static_cast<double>(behind) * std::chrono::duration<double>(switchSpan_).count();
  return std::clamp<std::size_t>(static_cast<std::size_t>(std::ceil(work / left)), 1, cap);
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
  row.ordered = view.wanted;
  row.fence = *view.fence;
  effects->orders.push_back({server.name, server.identity, view.wanted, *view.fence});
  note(server.name, row, {}, now, effects);
}

void Rollout::onTick(const RolloutView& view, Instant now, RolloutEffects* effects) {
  meetFence(view, now);
  wanted_ = view.wanted;
  std::erase_if(rows_, [&](const auto& row) {
    return std::none_of(view.servers.begin(), view.servers.end(), [&](const RolloutServer& s) {
      return s.name == row.first && s.identity == row.second.identity;
    });
  });
  std::size_t switching = 0;
  for (const RolloutServer& server : view.servers) {
    const auto entry = rows_.find(server.name);
    if (entry == rows_.end()) {
      switching += server.switching ? 1 : 0;
      continue;
    }
    Row& row = entry->second;
    if (row.switching && !row.open && now - row.orderedAt > kStuckSpan) {
      row.switching = false;
      row.nextOrder = now + kOrderAgain;
      note(server.name, row, {}, now, effects);
    }
    if (row.switching && !row.open && row.again && now >= row.nextOrder && server.usable &&
        mayOrder(view, now))
      order(server, view, now, effects);
    if (row.switching && now - row.notedAt >= kNoteEvery && view.fence)
      note(server.name, row, {}, now, effects);
    if (row.switching && !row.open && !row.asking && !row.again && view.fence &&
        now >= row.nextQuestion) {
      row.asking = true;
      row.nextQuestion = now + kQuestionEvery;
      effects->questions.push_back({server.name, row.identity});
    }
    switching += row.switching || row.open || server.switching ? 1 : 0;
  }
  if (!mayOrder(view, now)) return;
  const std::size_t most = mostAtOnce(view);
  for (const RolloutServer& server : inTurn(view.servers)) {
    if (switching >= most) break;
    if (!isBehindHere(server, view.wanted)) continue;
    const auto row = rows_.find(server.name);
    const bool ours = row != rows_.end();
    if (ours && (row->second.switching || row->second.open || now < row->second.nextOrder))
      continue;
    // Where another holder's order is being done, ours takes its place and no further one.
    if (ours || !server.switching) ++switching;
    order(server, view, now, effects);
  }
}

void Rollout::onOrderAnswer(const WeightsOrder& order, OrderAnswer answer, Instant now,
                            RolloutEffects* effects) {
  if (answer == OrderAnswer::Fenced) fencedOff_ = std::max(fencedOff_, order.fence);
  const auto entry = rows_.find(order.server);
  if (entry == rows_.end() || entry->second.identity != order.identity || !entry->second.open)
    return;
  Row& row = entry->second;
  row.open = false;
  row.answeredAt = now;
  row.nextQuestion = now + kQuestionEvery;
  if (answer != OrderAnswer::NotKnown) row.notKnown = 0;
  switch (answer) {
    case OrderAnswer::Taken:
      // Questions are priced: the first comes no sooner than the new weights could be there.
      row.nextQuestion = now + std::min(switchSpan_ / 2, kFirstQuestion);
      return;
    case OrderAnswer::Unclear:
      return;  // its report will tell
    case OrderAnswer::AlreadyHolds:
      row.switching = false;  // it did not switch now, so this tells nothing of how long that takes
      return finish(order.server, row, order.weights, now, effects);
    case OrderAnswer::Busy:
      return;  // the same: once it is busy no more, it may still be behind
    case OrderAnswer::Refused:
      row.refused = order.weights;
      break;
    case OrderAnswer::NotKnown:
      row.nextOrder =
          now + std::min(kNotKnownLongest, kOrderAgain * (1 << std::min(row.notKnown, 8U)));
      ++row.notKnown;
      break;
    case OrderAnswer::Fenced:
      row.nextOrder = now + kOrderAgain;
      break;
  }
  row.switching = false;
  note(order.server, row, {}, now, effects);
}

void Rollout::onReport(const ReportAsk& asked, const std::optional<WeightsReport>& report,
                       Instant askedAt, Instant now, RolloutEffects* effects) {
  const auto entry = rows_.find(asked.server);
  if (entry == rows_.end() || entry->second.identity != asked.identity) return;
  Row& row = entry->second;
  row.asking = false;
  if (!report || !row.switching || row.open || report->busy) return;
  if (!isBehind(report->weights, row.ordered)) {
    if (!isBehind(report->weights, wanted_))
      return finish(asked.server, row, report->weights, now, effects);
    row.again = true;  // newer weights were named meanwhile
    row.nextOrder = now;
  } else if (askedAt >= row.answeredAt + kReportLag) {
    row.again = true;  // the order was not taken, or has come to nothing
    row.nextOrder = now;
  }
}

}  // namespace quayrill
