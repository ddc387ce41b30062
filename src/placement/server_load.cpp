#include "placement/server_load.h"

#include <algorithm>

namespace quayrill {

namespace {
constexpr Span kPast = std::chrono::seconds(3);  // ours: how far back polls and reports look
// Ours: what the fleet told longer ago says nothing of now.
constexpr Span kToldSpan = std::chrono::seconds(2);
}  // namespace

void ServerLoad::keep(Instant now) {
  past_.emplace_back(now, own_);
  while (past_.size() > 1 && past_.front().first + kPast < now) past_.pop_front();
}

void ServerLoad::onRequestPlaced(std::uint64_t pendingPrefillTokens, Instant now) {
  keep(now);
  ++own_.requests;
  own_.pendingPrefillTokens += pendingPrefillTokens;
}

void ServerLoad::onPrefillDone(std::uint64_t pendingPrefillTokens, Instant now) {
  keep(now);
  own_.pendingPrefillTokens -= std::min(own_.pendingPrefillTokens, pendingPrefillTokens);
}

void ServerLoad::onRequestDone(std::uint64_t pendingPrefillTokens, Instant now) {
  keep(now);
  if (own_.requests > 0) --own_.requests;
  own_.pendingPrefillTokens -= std::min(own_.pendingPrefillTokens, pendingPrefillTokens);
}

void ServerLoad::onFleetReport(const Outstanding& fleet, Instant at) {
  told_ = fleet;
  toldAt_ = at;
}

Outstanding ServerLoad::ownAt(Instant at) const {
  const auto later = std::upper_bound(
      past_.begin(), past_.end(), at,
      [](const Instant& sought, const auto& entry) { return sought < entry.first; });
  return later == past_.end() ? own_ : later->second;
}

double ServerLoad::pendingPrefillTokens(Instant now) const {
  const auto own = static_cast<double>(own_.pendingPrefillTokens);
  if (toldAt_ == Instant{} || now - toldAt_ > kToldSpan) return own;
  const double then = static_cast<double>(ownAt(toldAt_).pendingPrefillTokens);
  return std::max(own, static_cast<double>(told_.pendingPrefillTokens) + own - then);
}

}  // namespace quayrill
