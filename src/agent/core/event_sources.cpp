#include "agent/core/event_sources.h"

#include <map>

#include "agent/core/leader_roles.h"

namespace quayrill {

std::vector<ServerName> assignedEventSources(const Address& self,
                                             const std::vector<GossipItem>& live,
                                             const std::vector<EventSource>& sources) {
  std::map<std::string, std::vector<Address>> readersOfZone;
  std::vector<Address> readers;
  for (const GossipItem& item : live) {
    if (item.proxyAddress.empty() || item.leaving) continue;
    readersOfZone[item.zone].push_back(item.source);
    readers.push_back(item.source);
  }
  std::vector<ServerName> own;
  for (const EventSource& source : sources) {
    const auto readersNearby = readersOfZone.find(source.zone);
    const auto& candidates = readersNearby == readersOfZone.end() ? readers : readersNearby->second;
    if (rendezvousOwner("events/" + source.name.value, candidates) == self)
      own.push_back(source.name);
  }
  return own;
}

std::vector<ServerName> namesOf(const std::vector<EventSource>& sources) {
  std::vector<ServerName> names;
  for (const EventSource& source : sources) names.push_back(source.name);
  return names;
}

}  // namespace quayrill
