#pragma once
// Sizing of the replica set: how many replicas the register needs to tolerate given losses, and how
// many further losses a set tolerates. Pure functions; zones and regions are known by name only.
#include <cstddef>
#include <map>
#include <string>

namespace quayrill {

// The simultaneous losses that must leave a majority of the replicas alive: this many machines, or
// this many whole zones, or this many whole regions.
struct LossTolerance {
  std::size_t machines = 1;
  std::size_t zones = 0;
  std::size_t regions = 0;
};

// The zones and regions that replicas can be placed in. A zone without an entry is a region of its
// own.
struct Topology {
  std::map<std::string, std::string> regionOfZone;
  std::string regionOf(const std::string& zone) const;
};

// The location of one replica.
struct Site {
  std::string zone;
  std::string region;
};

// The smallest odd number of replicas, from 3 to 9, that tolerates `losses` if the replicas are
// spread evenly over the zones and regions of `topology`. Losing half or more of the zones or
// regions can't be tolerated by any number of replicas, so such a requirement is ignored.
std::size_t replicasWanted(const LossTolerance& losses, const Topology& topology);

// How many of `live` members can still be lost before a set of `members` loses its majority;
// negative if the majority is lost already.
int lossesTolerated(std::size_t members, std::size_t live);

}  // namespace quayrill
