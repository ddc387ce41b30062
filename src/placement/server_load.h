#pragma once
// What one model server has to do for the fleet, as far as this daemon can tell: its own requests
// there, and what all daemons told of theirs a moment ago.
#include <cstdint>
#include <deque>
#include <utility>

#include "base/clock.h"

namespace quayrill {

// Requests at a server, and the prompt tokens that it has still to read for them.
struct Outstanding {
  std::uint32_t requests = 0;
  std::uint64_t pendingPrefillTokens = 0;
  bool operator==(const Outstanding&) const = default;
};

class ServerLoad {
 public:
  // A request was placed, whose prompt has so many tokens to be read.
  void onRequestPlaced(std::uint64_t pendingPrefillTokens, Instant now);
  // Its prompt was read; once for each request.
  void onPrefillDone(std::uint64_t pendingPrefillTokens, Instant now);
  // It ended. `pendingPrefillTokens`: what onPrefillDone did not take off.
  void onRequestDone(std::uint64_t pendingPrefillTokens, Instant now);
  // What all daemons together, this one too, had there at `at`.
  void onFleetReport(const Outstanding& fleet, Instant at);

  const Outstanding& own() const { return own_; }
  // The own part as it stood at `at`; as now where that is longer ago than is kept.
  Outstanding ownAt(Instant at) const;
  // Tokens that the server has still to read: as the fleet told, while that is fresh, with what
  // changed here since; the own part at least.
  double pendingPrefillTokens(Instant now) const;

 private:
  void recordHistory(Instant now);

  Outstanding own_;
  // own_ as it was until each instant, oldest first; no longer ago than kHistorySpan but for one
  // entry.
  std::deque<std::pair<Instant, Outstanding>> history_;
  Outstanding fleet_;
  Instant fleetAt_{};
};

}  // namespace quayrill
