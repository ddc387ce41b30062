#pragma once
// Assigns the sources of cache events to daemons: the events of each server and of the store are
// read by one daemon of the fleet, which passes them on to the others.
#include <string>
#include <vector>

#include "peers/messages.h"

namespace quayrill {

// A server or store that publishes cache events.
struct EventSource {
  ServerName name;
  std::string zone;
};

// The sources that rendezvous hashing assigns to `self`. The candidates for a source are the live
// daemons with a data plane in its zone, or in all zones if there is none; leaving daemons are
// excluded. While two daemons disagree on which daemons are live, both of them may read a source,
// or neither.
std::vector<ServerName> assignedEventSources(const Address& self,
                                             const std::vector<GossipItem>& live,
                                             const std::vector<EventSource>& sources);
// The names of all sources, for daemons that read every source themselves.
std::vector<ServerName> namesOf(const std::vector<EventSource>& sources);

}  // namespace quayrill
