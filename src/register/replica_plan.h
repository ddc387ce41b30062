#pragma once
// How many replicas the register needs for the losses that it must bear, and where they may stand.
// Pure functions: machines, zones and regions are known by name only.
#include <cstddef>
#include <map>
#include <string>

namespace quayrill {

// What may be lost at once while a majority of the replicas must live: so many machines, or whole
// zones, or whole regions.
struct LossTolerance {
  std::size_t machines = 1;
  std::size_t zones = 0;
  std::size_t regions = 0;
};

// Where machines can stand. Zones that are not named here are regions of their own.
struct Topology {
  std::map<std::string, std::string> regionOfZone;
  std::string regionOf(const std::string& zone) const;
};

// Where one replica stands.
struct Site {
  std::string zone;
  std::string region;
};

// The least odd number of replicas, from 3 to 9, that bears the losses if they are spread evenly
// over the zones and regions of `topology`. Losses of zones or regions that no number can bear
// there (half of them or more) add nothing.
std::size_t replicasWanted(const LossTolerance& losses, const Topology& topology);

// How many of `live` members may still be lost before a set of `members` has no majority; negative
// where it has none.
int lossesTolerated(std::size_t members, std::size_t live);

}  // namespace quayrill
