#pragma once
// The observations of a run, recorded by the stand-ins and the load generator on one clock, and the
// checker that verifies the fleet's guarantees on them. The checker uses no state of the daemons
// other than what they answer to callers and operators.
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"

namespace quayrill::fleet {

// One execution of a request by a model server.
struct RunRow {
  std::string nonce;  // the load generator's unique name for the request
  std::string run;    // unique id of this execution
  std::string server;
  std::string salt;
  std::string weights;
  Instant at;
  std::size_t promptTokens = 0, cachedTokens = 0;
  bool foreignWeights = false;  // some cached block was computed under other weights
  bool foreignSalt = false;     // some cached block was stored under another salt
};

// One request of the load generator and the answer to it. `path` is the path below /v1/, `daemon`
// the daemon's address for callers.
struct CallRow {
  std::string nonce, tenant, path, daemon;
  bool repeatable = false, isolated = false;
  Instant begun, ended, firstPiece{};
  int status = 0;  // 0: no answer at all
  std::string outcome;
  bool hasRetryAfter = false;
  bool complete = false;  // the body is complete according to HTTP
  bool endMark = false;   // the stream's last line was received
  // The daemon accepted the connection, and the whole request was written to it.
  bool accepted = false;
  // The pieces are in order, none is missing or repeated, and all belong to one run of this
  // request.
  bool piecesValid = true;
  std::string error;
  std::string requestId;
};

// One request of a client that uses its connection until the daemon closes it.
struct KeptCallRow {
  std::string daemon;
  Instant begun, ended;
  bool hasBegun = false;  // some byte of the answer was received
  bool complete = false;
};

// A request that arrived at a model server, whether or not it was then run.
struct ArrivalRow {
  std::string nonce;
  Instant at;
};

// A planned restart of a daemon, from SIGTERM until its process has exited.
struct PlannedRestartRow {
  std::string daemon;
  Instant begun, ended;
};

// An order to a server to switch weights; it is open from its arrival (`at`) until its answer
// (`ended`).
struct OrderRow {
  std::string server, weights;
  std::uint64_t fence = 0;
  bool accepted = false;
  Instant at, ended;
  std::string from{};  // IP address of the daemon that sent the order
};

// A period in which a daemon is not required to serve: killed, frozen or partitioned. The name ""
// stands for all daemons.
struct DisruptionRow {
  std::string daemon;
  Instant begun, ended;
};

// An operator's configuration change that adds one path, and the answer to it.
struct ConfigurationChangeRow {
  std::string path, daemon;
  int status = 0;  // 0: no answer
  std::uint64_t version = 0;
  Instant begun, ended;
};

// The configuration version that a ready daemon reported to a readiness check sent at `at`.
struct ServedVersionRow {
  std::string daemon;
  std::uint64_t version = 0;
  Instant at;
};

// All observations of a run. Servers, daemons, tenants, paths and weights are identified by name or
// address.
struct Ledger {
  std::mutex mutex;
  std::vector<RunRow> runs;
  std::vector<CallRow> calls;
  std::vector<OrderRow> orders;
  std::vector<ArrivalRow> arrivals;
  std::vector<PlannedRestartRow> plannedRestarts;
  std::vector<KeptCallRow> keptCalls;
  std::set<std::string> abortedByServer;  // nonces of runs that a server aborted
  std::vector<DisruptionRow> disruptions;
  std::vector<ConfigurationChangeRow> configurationChanges;
  std::vector<ServedVersionRow> servedVersions;
  std::set<std::string> daemons;     // all daemons, by their address for callers
  std::set<std::string> finalPaths;  // of the register's configuration after the traffic
  std::uint64_t finalVersion = 0;    // of that configuration; 0: could not be read
  std::vector<std::pair<Instant, std::uint64_t>> acknowledged;  // configuration versions
  Instant trafficStart{};
  std::map<std::string, Instant> leavingAt;  // when a server was first listed as leaving
  // While servers that a release replaced were leaving; `daemon` is the server.
  std::vector<DisruptionRow> leavingSpans;
  // When the removal of a tenant's keys was acknowledged.
  std::map<std::string, Instant> keyRevokedAt;
  // When a change to these weights was acknowledged.
  std::map<std::string, Instant> weightsConfiguredAt;
  std::map<std::string, std::map<std::string, Instant>> weightsLoadedAt;  // by weights, then server
  std::vector<std::pair<Instant, std::string>>
      stepNotes;  // faults and operator steps, for the report
  // By server: its weights at the end. Only servers that are then up and listed as live.
  std::map<std::string, std::string> finalServers;
  std::map<std::string, Instant> restartedAt;  // when a server last restarted

  // Calls `change` with the ledger while the mutex is held.
  template <class Change>
  void withLock(Change change) {
    std::lock_guard lock(mutex);
    change(*this);
  }
};

// A violation of a rule.
struct Finding {
  std::string rule;
  std::string what;  // the offending request, server or daemon, and what it did
};

// Checks all rules and returns every violation. `trafficEnd` is the time at which the traffic
// ended.
std::vector<Finding> checkLedger(const Ledger& ledger, Instant trafficEnd);

// Statistics of a run: outcomes of calls, the share of prompt tokens found in the servers' caches,
// and latencies.
struct RunStatistics {
  std::size_t calls = 0, done = 0, rejected = 0, unknown = 0, cut = 0, noAnswer = 0,
              badRequests = 0;
  std::size_t runs = 0;
  double cachedShare = 0;
  double longestSilenceMs = 0;  // longest time between two completed answers
  double firstPieceMedianMs = 0, firstPiece95thMs = 0;
  double longestDaemonSilenceMs = 0;  // of a single daemon, outside its disruptions
  double longestStaleServingMs = 0;   // longest use of a version after a newer one was acknowledged
};
// Computes the statistics of the run.
RunStatistics statisticsOf(const Ledger& ledger, Instant trafficEnd);

// Checks the rules on configuration changes; part of checkLedger().
void checkConfigurationChanges(const Ledger& ledger, std::vector<Finding>* findings);
// The longest time for which a daemon served by a configuration after a newer one was acknowledged.
Duration longestStaleServing(const Ledger& ledger);

}  // namespace quayrill::fleet
