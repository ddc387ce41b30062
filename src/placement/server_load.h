#pragma once
// Estimates the work outstanding at one model server. Combines the requests that this daemon placed
// there with the latest fleet-wide report, which is slightly out of date.
#include <cstdint>
#include <deque>
#include <utility>

#include "base/clock.h"

namespace quayrill {

// Requests in progress at a server, and the prompt tokens that it still has to prefill for them.
struct Outstanding {
  std::uint32_t requests = 0;
  std::uint64_t pendingPrefillTokens = 0;
  bool operator==(const Outstanding&) const = default;
};

// The outstanding work of one server, as seen by one daemon.
class ServerLoad {
 public:
  // A request was placed that needs `pendingPrefillTokens` tokens of prefill.
  void onRequestPlaced(std::uint64_t pendingPrefillTokens, Instant now);
  // The prefill of a request has finished. Called at most once per request.
  void onPrefillDone(std::uint64_t pendingPrefillTokens, Instant now);
  // A request has ended. `pendingPrefillTokens`: the part that onPrefillDone has not subtracted.
  void onRequestDone(std::uint64_t pendingPrefillTokens, Instant now);
  // The outstanding work of all daemons together, including this one, as of `at`.
  void onFleetReport(const Outstanding& fleet, Instant at);

  // Requests of this daemon only.
  const Outstanding& own() const { return own_; }
  // The value of own() at `at`. For an instant before the recorded history, the oldest recorded
  // value.
  Outstanding ownAt(Instant at) const;
  // Estimated prompt tokens that the server still has to prefill: the fleet report while it is
  // recent, adjusted by what this daemon changed since then, and at least this daemon's own part.
  double pendingPrefillTokens(Instant now) const;

 private:
  void recordHistory(Instant now);

  Outstanding own_;
  // Values of own_, each with the instant until which it was current, oldest first. Covers
  // kHistorySpan and at most one older entry.
  std::deque<std::pair<Instant, Outstanding>> history_;
  Outstanding fleet_;
  Instant fleetAt_{};
};

}  // namespace quayrill
