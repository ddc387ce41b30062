#pragma once
// What the stand-ins and callers saw, on one clock. The checker joins these rows; it knows nothing
// of what daemons believe.
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"

namespace quayrill::fleet {

struct RunRow {
  std::string nonce;  // the caller's own name of the request
  std::string run;
  std::string server;
  std::string salt;
  std::string weights;
  Instant at;
  std::size_t promptTokens = 0, cachedTokens = 0;
  bool foreignWeights = false;  // some cached block was made under other weights
  bool foreignSalt = false;     // some cached block was made under another salt
};

struct CallRow {
  std::string nonce, tenant, path, daemon;
  bool repeatable = false, isolated = false;
  Instant begun, ended, firstPiece{};
  int status = 0;  // 0: no answer at all
  std::string outcome;
  bool hasRetryAfter = false;
  bool complete = false;  // HTTP says that the body is whole
  bool endMark = false;
  bool accepted = false;    // the daemon took the connection and the whole request
  bool piecesValid = true;  // in order, none lost or twice, one run, mine
  std::string error;
  std::string requestId;
};

// A request that reached a server, whether or not it then ran.
struct ArrivalRow {
  std::string nonce;
  Instant at;
};

// From the warning of a planned restart until the daemon serves again.
struct PlannedRestartRow {
  std::string daemon;
  Instant begun, ended;
};

// A weight order at a server, open from its arrival until it was answered.
struct OrderRow {
  std::string server, weights;
  std::uint64_t fence = 0;
  bool accepted = false;
  Instant at, ended;
  std::string from{};  // the ordering daemon's ip
};

// A time in which a daemon can't be asked to serve: killed, frozen or cut off. "" is all of them.
struct DisruptionRow {
  std::string daemon;
  Instant begun, ended;
};

// One operator's change that adds one way, and what the operator was told.
struct ConfigurationChangeRow {
  std::string path, daemon;
  int status = 0;  // 0: no answer
  std::uint64_t version = 0;
  Instant begun, ended;
};

// What a ready daemon said that it serves by, asked at `at`.
struct ServedVersionRow {
  std::string daemon;
  std::uint64_t version = 0;
  Instant at;
};

struct Ledger {
  std::mutex mutex;
  std::vector<RunRow> runs;
  std::vector<CallRow> calls;
  std::vector<OrderRow> orders;
  std::vector<ArrivalRow> arrivals;
  std::vector<PlannedRestartRow> planned;
  std::set<std::string> abortedByServer;  // nonces of runs that a server broke off
  std::vector<DisruptionRow> disruptions;
  std::vector<ConfigurationChangeRow> operators;
  std::vector<ServedVersionRow> served;
  std::set<std::string> daemons;     // all of the run, by callers' address
  std::set<std::string> finalPaths;  // of the settled configuration after the traffic
  std::uint64_t finalVersion = 0;    // 0: not read
  std::vector<std::pair<Instant, std::uint64_t>> acknowledged;  // configuration versions
  Instant trafficStart{};
  std::map<std::string, Instant> leavingAt;     // servers, by when they showed it
  std::vector<DisruptionRow> leavingSpans;      // servers replaced in a release, while leaving
  std::map<std::string, Instant> keyRevokedAt;  // tenants whose key was withdrawn
  std::map<std::string, Instant> weightsConfiguredAt;  // weights, by when they were acknowledged
  std::map<std::string, std::map<std::string, Instant>> weightsLoadedAt;  // weights, server
  std::vector<std::pair<Instant, std::string>> notes;  // faults and operator steps
  std::map<std::string, std::string> finalServers;     // up, listed, not leaving: their weights
  std::map<std::string, Instant> restartedAt;          // servers, by when they last came back

  template <class Change>
  void withLock(Change change) {
    std::lock_guard lock(mutex);
    change(*this);
  }
};

struct Finding {
  std::string rule;
  std::string what;
};

// Every broken rule, by name.
std::vector<Finding> checkLedger(const Ledger& ledger, Instant trafficEnd);

// RunStatistics of a run: the share of prompt tokens served from cache, times to first piece,
// outcomes.
struct RunStatistics {
  std::size_t calls = 0, done = 0, rejected = 0, unknown = 0, cut = 0, noAnswer = 0,
              badRequests = 0;
  std::size_t runs = 0;
  double cachedShare = 0;
  double longestSilenceMs = 0;  // between one finished answer and the next
  double firstPieceMedianMs = 0, firstPiece95thMs = 0;
  double longestDaemonSilenceMs = 0;  // of one daemon that nothing hinders
  double longestStaleServingMs = 0;   // a version served after a newer one was acknowledged
};
RunStatistics statisticsOf(const Ledger& ledger, Instant trafficEnd);

// The rules on what operators change, in checker_configuration.cpp.
void checkConfigurationChanges(const Ledger& ledger, std::vector<Finding>* findings);
Duration longestStaleServing(const Ledger& ledger);

}  // namespace quayrill::fleet
