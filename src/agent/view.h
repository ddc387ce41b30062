#pragma once
// What a data plane acts by: the last word of its agent, with its ages turned into instants.
#include <functional>
#include <map>
#include <memory>
#include <set>

#include "agent/core/weights_histories.h"
#include "agent/snapshot.h"
#include "configuration/configuration.h"

namespace quayrill {

// Immutable once handed on; replaced whole by each answer of the agent.
struct ProxyView {
  std::shared_ptr<const Configuration> configuration;
  std::uint64_t configurationVersion = 0;
  Instant
      confirmedAt{};   // the latest instant for which the configuration is known to be the newest
  Instant listedAt{};  // the same for the server list
  std::vector<ServerState> servers;
  std::set<ServerName> eventSources;  // whose cache events this daemon reads
  WeightsHistories weights;

  // Until when requests may begin on that server's weights: `bound` after the first newer ones
  // were named.
  Instant usableUntil(const ServerState& server, Span bound) const {
    return weights.usableUntil(server.model, server.weights, bound);
  }
};

// The view that follows `before` by a snapshot asked for at `requestedAt`. A configuration that
// can't be read leaves the one before in place, unconfirmed.
ProxyView nextView(
    const ProxyView& before, const Snapshot& snapshot, Instant requestedAt,
    const std::function<absl::StatusOr<Configuration>(const std::string&)>& readConfiguration);

}  // namespace quayrill
