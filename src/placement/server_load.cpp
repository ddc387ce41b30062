#include "placement/server_load.h"

#include <algorithm>

namespace quayrill {

namespace {
constexpr Duration kHistorySpan =
    std::chrono::seconds(3);  // covers the age of polls and fleet reports
// An older fleet report says nothing about the present load.
constexpr Duration kFleetReportTtl = std::chrono::seconds(2);
}  // namespace

void ServerLoad::recordHistory(Instant now) {
  history_.emplace_back(now, own_);
  while (history_.size() > 1 && history_.front().first + kHistorySpan < now) history_.pop_front();
}

void ServerLoad::onRequestPlaced(std::uint64_t pendingPrefillTokens, Instant now) {
  recordHistory(now);
  ++own_.requests;
  own_.pendingPrefillTokens += pendingPrefillTokens;
}

void ServerLoad::onPrefillDone(std::uint64_t pendingPrefillTokens, Instant now) {
  recordHistory(now);
  own_.pendingPrefillTokens -= std::min(own_.pendingPrefillTokens, pendingPrefillTokens);
}

void ServerLoad::onRequestDone(std::uint64_t pendingPrefillTokens, Instant now) {
  recordHistory(now);
  if (own_.requests > 0) --own_.requests;
  own_.pendingPrefillTokens -= std::min(own_.pendingPrefillTokens, pendingPrefillTokens);
}

void ServerLoad::onFleetReport(const Outstanding& fleet, Instant at) {
  fleet_ = fleet;
  fleetAt_ = at;
}

Outstanding ServerLoad::ownAt(Instant at) const {
  const auto later = std::upper_bound(
      history_.begin(), history_.end(), at,
      [](const Instant& sought, const auto& entry) { return sought < entry.first; });
  return later == history_.end() ? own_ : later->second;
}

double ServerLoad::pendingPrefillTokens(Instant now) const {
  const auto own = static_cast<double>(own_.pendingPrefillTokens);
  if (fleetAt_ == Instant{} || now - fleetAt_ > kFleetReportTtl) return own;
  const double ownAtReport = static_cast<double>(ownAt(fleetAt_).pendingPrefillTokens);
  return std::max(own, static_cast<double>(fleet_.pendingPrefillTokens) + own - ownAtReport);
}

}  // namespace quayrill
