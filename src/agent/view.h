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

// Covers the time from a server's first token until it arrives here, and from a close here until
// the server notices it.
inline constexpr Duration kStartDeadlineMargin = std::chrono::milliseconds(200);

// How old the last confirmation of a configuration may be for requests to be served by it.
struct StalenessLimits {
  Duration inTouch{};
  Duration outOfTouch{};
};

// Immutable once published; each snapshot from the agent replaces it as a whole.
struct ProxyView {
  std::shared_ptr<const Configuration> configuration;  // null until one was read
  std::uint64_t configurationVersion = 0;
  Instant confirmedAt{};        // latest time at which the configuration was known to be the newest
  Instant listedAt{};           // when the server list was read
  Instant updatedAt{};          // when the snapshot was requested
  bool registerSilent = false;  // see Snapshot
  std::vector<ServerState> servers;
  std::set<ServerName> eventSources;  // servers whose cache events this daemon reads
  WeightsHistories weights;
  // For each isolated tenant, the latest time at which it was known not to be isolated.
  std::map<TenantName, Instant> isolatedSince;

  // Whether requests may be served by this configuration. `limits.inTouch` holds as long as a newer
  // one could have been learned, `limits.outOfTouch` while the register does not answer.
  bool isUsable(Instant now, const StalenessLimits& limits) const;
  // The time until which requests may start on the server's weights: `bound` after the first newer
  // version was named in the configuration.
  Instant usableUntil(const ServerState& server, Duration bound) const {
    return weights.usableUntil(server.model, server.weights, bound);
  }
  // The cache scope of the tenants that are not isolated.
  CacheSalt sharedScope() const { return configuration ? configuration->sharedScope : CacheSalt{}; }
  // The time until which a request of `tenant` that was sent under the cache scope of `sentUnder`
  // may start: `bound` after the first tenant that shared this scope became isolated. A tenant that
  // was isolated then shares with nobody, and one that ceases to be isolated takes nothing back.
  Instant scopeUsableUntil(const Configuration& sentUnder, const TenantName& tenant,
                           Duration bound) const;
};

// Parses the configuration in the snapshot. Null if the snapshot has no newer one than `before`, or
// one that can't be parsed.
std::shared_ptr<const Configuration> readConfigurationOf(
    const Snapshot& snapshot, const ProxyView& before,
    const std::function<absl::StatusOr<Configuration>(const std::string&)>& read);

// Returns the view that follows `before` after a snapshot requested at `requestedAt`.
// `configuration` is that of the snapshot; if it is null, the previous one stays, unconfirmed
// unless it has the snapshot's version.
ProxyView nextView(const ProxyView& before, const Snapshot& snapshot, Instant requestedAt,
                   std::shared_ptr<const Configuration> configuration);

}  // namespace quayrill
