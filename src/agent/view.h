#pragma once
// The data plane's view of the fleet: the latest snapshot from its agent, with ages converted back
// to instants.
#include <functional>
#include <map>
#include <memory>
#include <set>

#include "agent/core/weights_histories.h"
#include "agent/snapshot.h"
#include "configuration/configuration.h"

namespace quayrill {

// Immutable once published; each snapshot from the agent replaces it as a whole.
struct ProxyView {
  std::shared_ptr<const Configuration> configuration;  // null until one was read
  std::uint64_t configurationVersion = 0;
  Instant confirmedAt{};  // latest time at which the configuration was known to be the newest
  Instant listedAt{};     // when the server list was read
  std::vector<ServerState> servers;
  std::set<ServerName> eventSources;  // servers whose cache events this daemon reads
  WeightsHistories weights;

  // The time until which requests may start on the server's weights: `bound` after the first newer
  // version was named in the configuration.
  Instant usableUntil(const ServerState& server, Duration bound) const {
    return weights.usableUntil(server.model, server.weights, bound);
  }
};

// Returns the view that follows `before` after a snapshot requested at `requestedAt`. If the
// configuration can't be parsed, the previous one stays, unconfirmed.
ProxyView nextView(
    const ProxyView& before, const Snapshot& snapshot, Instant requestedAt,
    const std::function<absl::StatusOr<Configuration>(const std::string&)>& readConfiguration);

}  // namespace quayrill
