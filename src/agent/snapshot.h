#pragma once
// The state that an agent publishes to its proxy. Times are sent as ages, not as instants: the
// proxy subtracts them from the time just before its request, so a process that was suspended
// anywhere on the way only makes a snapshot look older, never fresher.
#include <string>
#include <vector>

#include "peers/messages.h"
#include "placement/placement.h"

namespace quayrill {

// One model server in a snapshot.
struct SnapshotServer {
  ServerName name;
  ServiceName service;
  ServerIdentity identity;
  ModelName model;
  WeightsVersion weights;
  std::string zone;
  bool healthy = false, leaving = false, switching = false;
  std::uint32_t running = 0, queued = 0, slots = 1;
  std::uint64_t cacheTokens = 0;
  std::int64_t polledAgoMicros = 0;  // age of `running` and `queued`
  QUAYRILL_FIELDS(name, service, identity, model, weights, zone, healthy, leaving, switching,
                  running, queued, slots, cacheTokens, polledAgoMicros)
};

// Everything that a proxy needs to route requests.
struct Snapshot {
  std::uint64_t configurationVersion = 0;
  std::string configurationBody;         // empty if the proxy already has this version
  std::int64_t confirmedAgoMicros = -1;  // -1: the configuration was never confirmed
  std::int64_t listedAgoMicros = -1;     // -1: the server list was never read
  std::vector<SnapshotServer> servers;
  // A version without a row was superseded at an unknown time, possibly long ago.
  std::vector<SupersededWeights> superseded;
  // Servers, and possibly the store, whose cache events this daemon reads for the fleet.
  std::vector<ServerName> eventSources;
  std::uint32_t proxies = 0;  // live daemons known to accept requests, including this one
  // The agent asks for confirmation, and too few replicas answer to show anything newer.
  bool registerSilent = false;
  QUAYRILL_FIELDS(configurationVersion, configurationBody, confirmedAgoMicros, listedAgoMicros,
                  servers, superseded, eventSources, proxies, registerSilent)
};

// Converts a server's state for a snapshot taken at `now`.
SnapshotServer toSnapshot(const ServerState& state, Instant now);
// The reverse. `requestedAt` is the time just before the snapshot was requested.
ServerState fromSnapshot(const SnapshotServer& row, Instant requestedAt);

}  // namespace quayrill
