// Queries on the state of the simulated fleet: convergence, confirmation and membership.
#include <algorithm>

#include "sim/world.h"

namespace quayrill::sim {

using namespace std::chrono_literals;

bool World::isConverged() const {
  std::optional<std::uint64_t> version;
  for (const Machine& machine : machines_) {
    if (!machine.core) continue;
    const auto confirmedAt = machine.core->freshness().confirmedAt();
    if (!confirmedAt || localTime(machine) - *confirmedAt > 1s) return false;
    const std::uint64_t localVersion = machine.core->freshness().configuration().value.version;
    if (version && *version != localVersion) return false;
    version = localVersion;
  }
  return version.has_value();
}

bool World::isConfirmed(std::size_t machine, Duration maxAge) const {
  const Machine& queried = machines_[machine];
  if (!queried.core) return false;
  const auto confirmedAt = queried.core->freshness().confirmedAt();
  return confirmedAt && localTime(queried) - *confirmedAt <= maxAge;
}

std::size_t World::liveMachinesSeenBy(std::size_t machine) const {
  const Machine& queried = machines_[machine];
  return queried.core ? queried.core->live(localTime(queried)).size() : 0;
}

bool World::isInForce(std::uint64_t version) const {
  return std::all_of(machines_.begin(), machines_.end(), [&](const Machine& machine) {
    return !machine.core || machine.core->freshness().configuration().value.version >= version;
  });
}

bool World::isMembershipComplete() const {
  const auto running = static_cast<std::size_t>(
      std::count_if(machines_.begin(), machines_.end(),
                    [](const Machine& machine) { return machine.core != nullptr; }));
  return std::all_of(machines_.begin(), machines_.end(), [&](const Machine& machine) {
    return !machine.core || machine.core->live(localTime(machine)).size() >= running;
  });
}

}  // namespace quayrill::sim
