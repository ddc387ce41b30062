#pragma once
// Which daemon reads whose cache events: each server's, and the store's, by one daemon of the
// fleet, which tells the others.
#include <string>
#include <vector>

#include "peers/messages.h"

namespace quayrill {

// A server or store that tells cache events.
struct EventSource {
  ServerName name;
  std::string zone;
};

// Those that fall to `self` by rendezvous over the live daemons with a data plane: the ones in the
// source's zone, else all. Daemons that leave read nothing. Two daemons that know different live
// ones may both read a source, or neither, until they agree.
std::vector<ServerName> assignedEventSources(const Address& self, const std::vector<NewsItem>& live,
                                             const std::vector<EventSource>& sources);
std::vector<ServerName> namesOf(const std::vector<EventSource>& sources);

}  // namespace quayrill
