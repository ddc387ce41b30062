#pragma once
// What an agent tells its proxy. Ages, not instants: the proxy counts them from before it asked, so
// that time spent frozen anywhere only makes a snapshot older.
#include <string>
#include <vector>

#include "peers/messages.h"
#include "placement/placement.h"

namespace quayrill {

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
  std::int64_t polledAgoMicros = 0;  // running and queued are of then
  QUAYRILL_FIELDS(name, service, identity, model, weights, zone, healthy, leaving, switching,
                  running, queued, slots, cacheTokens, polledAgoMicros)
};

struct Snapshot {
  std::uint64_t configurationVersion = 0;
  std::string configurationBody;         // "" where the proxy said it has this version
  std::int64_t confirmedAgoMicros = -1;  // -1: never confirmed
  std::int64_t listedAgoMicros = -1;     // -1: never read from the platform
  std::vector<SnapshotServer> servers;
  // A version without a row was superseded any time ago.
  std::vector<SupersededWeights> superseded;
  // Servers, and the store, whose cache events this daemon reads for the fleet.
  std::vector<ServerName> eventSources;
  std::uint32_t proxies = 0;  // live daemons that take requests, as far as is known; this one too
  QUAYRILL_FIELDS(configurationVersion, configurationBody, confirmedAgoMicros, listedAgoMicros,
                  servers, superseded, eventSources, proxies)
};

SnapshotServer toSnapshot(const ServerState& state, Instant now);
ServerState fromSnapshot(const SnapshotServer& row, Instant askedAt);

}  // namespace quayrill
