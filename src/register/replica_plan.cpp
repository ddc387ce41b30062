#include "register/replica_plan.h"

#include <algorithm>
#include <set>

namespace quayrill {

namespace {
constexpr std::size_t kMinReplicas = 3;
constexpr std::size_t kMaxReplicas = 9;

std::size_t majorityCount(std::size_t members) { return members / 2 + 1; }

// Whether a majority survives the loss of `lost` out of `places` zones or regions if `members` are
// spread evenly over them.
bool toleratesLosses(std::size_t members, std::size_t lost, std::size_t places) {
  if (lost == 0 || places <= 2 * lost) return true;  // not tolerable with any number of replicas
  const std::size_t largestShare = (members + places - 1) / places;
  return lost * largestShare <= members - majorityCount(members);
}
}  // namespace

std::string Topology::regionOf(const std::string& zone) const {
  const auto row = regionOfZone.find(zone);
  return row == regionOfZone.end() ? zone : row->second;
}

std::size_t replicasWanted(const LossTolerance& losses, const Topology& topology) {
  std::set<std::string> regions;
  for (const auto& [zone, region] : topology.regionOfZone) regions.insert(region);
  std::size_t members = std::clamp(2 * losses.machines + 1, kMinReplicas, kMaxReplicas);
  while (members < kMaxReplicas &&
         !(toleratesLosses(members, losses.zones, topology.regionOfZone.size()) &&
           toleratesLosses(members, losses.regions, regions.size())))
    members += 2;
  return members;
}

int lossesTolerated(std::size_t members, std::size_t live) {
  return static_cast<int>(live) - static_cast<int>(majorityCount(members));
}

}  // namespace quayrill
