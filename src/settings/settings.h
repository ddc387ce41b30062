#pragma once
// The local settings of a process: its addresses, its data folder, the seeds by which it joins a
// fleet, and bounds. Everything else comes from the configuration of the fleet.
#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/mechanisms.h"
#include "base/types.h"
#include "register/replica_plan.h"

namespace quayrill {

// The settings of one process, with their defaults.
struct Settings {
  std::string role = "both";  // proxy, agent or both
  Address peerAddress;        // agent: listens for other daemons here
  Address operatorAddress;    // agent: serves the operator API and the feed of its proxy here
  Address callerAddress;      // proxy: listens for requests of callers here
  std::string zone;
  std::vector<Address> seeds;  // peer addresses of three daemons
  std::string dataFolder;      // "": this machine keeps no register replica
  std::string syncDelayFile;  // file with the milliseconds by which to prolong each sync; for tests
  Address platformAddress;    // where the platform serves its list of servers
  Address storeAddress;       // of the store of prompt parts; may be empty
  Address peerRelay;          // relay for connections to peers, with which quayrill-local cuts them
  std::string placement = "prefix";  // prefix; least-burden and round-robin for comparisons
  bool fetch = true;                 // let servers fetch missing prefixes from peers and the store
  std::size_t replicasWanted = 4;    // of the register; enough to bear `losses`
  LossTolerance losses;              // simultaneous losses that the register must survive
  Topology topology;                 // zones and their regions; needed to bear the loss of one
  // The time within which a lost machine or its successor has recovered, so that the next loss may
  // follow. Repairs of the register must be finished by then. 0: no such bound is promised.
  std::chrono::milliseconds catchUp{0};
  std::size_t blockTokens = 16;  // tokens of one cache block
  std::size_t trafficThreads = 2;
  // The proxy rejects requests when the configuration has not been confirmed for this long.
  std::chrono::milliseconds stalenessLimit{2000};
  // The same while enough of the register answers: a change has to be in force by then.
  std::chrono::milliseconds applyLimit{2000};
  std::chrono::milliseconds shutdownGrace{10000};  // for open streams to finish after SIGTERM
  Address readinessAddress;  // where the platform checks readiness, if at an address of its own
  std::string nodeName;      // this machine's name in logs and orders; "": the peer address is used
  bool mayFound = true;      // false: a daemon with an empty disk only joins a fleet
  // How long a founder waits to hear of an existing fleet. 0 only if the platform guarantees that
  // there is none.
  std::chrono::milliseconds foundingWait{3000};
  // The age at which the platform's list is read again, and the rate of calls for it that all
  // daemons together must not exceed.
  std::chrono::milliseconds listInterval{400};
  double listCallsPerSecond = 50;
  // No request is sent to a server that has been leaving for this long; 0: the built-in bound.
  std::chrono::milliseconds drainTimeout{3000};
  // Orders of two successive holders of a leader role are at least this far apart.
  std::chrono::milliseconds leaseSpan{3000};
  // No request starts on older weights later than this after newer ones were configured.
  std::chrono::milliseconds rolloutTimeLimit{20000};
  // The budget for retries of all daemons: in any window at most
  // retryShare * first attempts + retryHeadroom.
  double retryShare = 0.2;
  std::chrono::milliseconds retryWindow{10000};
  std::size_t retryHeadroom = 0;
  // Bytes that the process may use before its platform ends it; 0: half of the machine's memory.
  std::size_t memoryLimit = 0;
  Mechanisms mechanisms;  // all enabled, except in measurements
};

// The bytes that the process may use.
std::size_t memoryLimitOf(const Settings& settings);

// What the command line says about settings.
struct SettingsArguments {
  std::string settingsFile;                  // "": none
  std::map<std::string, std::string> flags;  // by setting; they override the file
};

// Reads the file and checks all settings. An error names the field and the remedy.
absl::StatusOr<Settings> loadSettings(const SettingsArguments& arguments);

// The same for the text of a settings file (JSON), overridden by the flags.
absl::StatusOr<Settings> readSettings(const std::string& settingsText,
                                      const std::map<std::string, std::string>& flags);

// Checks that `text` is "ip:port" with a numeric IPv4 address. The error for a host name says that
// names are not resolved.
absl::Status checkAddress(const std::string& field, const std::string& text);

}  // namespace quayrill
