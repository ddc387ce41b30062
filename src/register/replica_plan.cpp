#include "register/replica_plan.h"

#include <algorithm>
#include <set>

namespace quayrill {

namespace {
constexpr std::size_t kFewest = 3;
constexpr std::size_t kMost = 9;

std::size_t majorityFor(std::size_t members) { return members / 2 + 1; }

// So many of `places` places are lost, with an even spread of `members` over them.
bool bearsEvenly(std::size_t members, std::size_t lost, std::size_t places) {
  if (lost == 0 || places <= 2 * lost) return true;  // no number of replicas helps
  const std::size_t fullest = (members + places - 1) / places;
  return lost * fullest <= members - majorityFor(members);
}
}  // namespace

std::string Topology::regionOf(const std::string& zone) const {
  const auto row = regionOfZone.find(zone);
  return row == regionOfZone.end() ? zone : row->second;
}

std::size_t replicasWanted(const LossTolerance& losses, const Topology& topology) {
  std::set<std::string> regions;
  for (const auto& [zone, region] : topology.regionOfZone) regions.insert(region);
  std::size_t members = std::clamp(2 * losses.machines + 1, kFewest, kMost);
  while (members < kMost && !(bearsEvenly(members, losses.zones, topology.regionOfZone.size()) &&
                              bearsEvenly(members, losses.regions, regions.size())))
    members += 2;
  return members;
}

int lossesTolerated(std::size_t members, std::size_t live) {
  return static_cast<int>(live) - static_cast<int>(majorityFor(members));
}

}  // namespace quayrill
