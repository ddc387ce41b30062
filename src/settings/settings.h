#pragma once
// A process's settings: where it stands, whom it asks first. Everything else comes from the fleet.
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

struct Settings {
  std::string role = "both";  // proxy, agent or both
  Address peer;               // agent: other daemons connect here
  Address operators;          // agent: operator API, and the feed of its proxy
  Address callers;            // proxy: requests of callers
  std::string zone;
  std::vector<Address> seeds;        // three peer addresses
  std::string dataFolder;            // "" on machines that keep no register replica
  std::string diskDrag;              // file with the milliseconds that each sync is to last longer
  Address platform;                  // the platform's list of servers
  Address store;                     // the store of kept prompt parts; may be absent
  Address peerVia;                   // relay for peer connections, used by quayrill-local's cuts
  std::string placement = "prefix";  // prefix; least-burden and round-robin for comparisons
  bool fetch = true;                 // let servers pull missing prefixes from peers and the store
  std::size_t replicasWanted = 4;
  // Losses to bear: what may be lost at once while the register must go on. replicasWanted is
  // enough for them.
  LossTolerance losses;
  Topology topology;  // zones and their regions; needed where losses of these are to be borne
  // A machine that was lost, or its successor, is whole again after so long, so the next loss may
  // come then: repairs of the register must be done by that time. 0: no such bound is promised.
  std::chrono::milliseconds catchUp{0};
  std::size_t blockTokens = 16;
  std::size_t trafficThreads = 2;
  std::chrono::milliseconds freshLimit{2000};
  std::chrono::milliseconds grace{10000};
  Address ready;         // readiness is told here too, where the platform asks at an own address
  std::string node;      // this machine's name in logs and orders; "" takes the peer address
  bool mayFound = true;  // false: an empty disk joins a fleet and never founds one
  // How long a founder waits for word of a fleet that lives; 0 only where the platform vouches that
  // there is none.
  std::chrono::milliseconds foundingWait{3000};
  // How old the platform's list may grow before this fleet reads it again, and the calls a second
  // that all daemons together may make for it.
  std::chrono::milliseconds listEvery{400};
  double listCallsPerS = 50;
  // A server that shows as leaving gets nothing after this; 0: by the product's own bound.
  std::chrono::milliseconds drainDue{3000};
  // Two holders of one leader role never order within this of each other.
  std::chrono::milliseconds leaseSpan{3000};
  // No request begins on older weights later than this after newer ones were named.
  std::chrono::milliseconds rolloutDue{20000};
  // Extra tries over all daemons: at most share * firsts + slack in any window.
  double extraShare = 0.2;
  std::chrono::milliseconds extraWindow{10000};
  std::size_t extraSlack = 0;
  Mechanisms mechanisms;  // what decides where requests go; all on but for measurements
};

struct SettingsAsked {
  std::string settingsFile;
  std::map<std::string, std::string> flags;  // settings given on the command line win
};

// Reads, checks against the schema and the rules, and names the field and the remedy.
absl::StatusOr<Settings> loadSettings(const SettingsAsked& asked);

// The same from the text of a settings file, JSON, with the flags over it.
absl::StatusOr<Settings> readSettings(const std::string& settingsText,
                                      const std::map<std::string, std::string>& flags);

// "ip:port" with a numeric IPv4 address; a host name is told so.
absl::Status checkAddress(const std::string& field, const std::string& text);

}  // namespace quayrill
