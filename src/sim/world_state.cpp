// What a test asks of the simulated world: who agrees, who knows whom.
#include <algorithm>

#include "sim/world.h"

namespace quayrill::sim {

using namespace std::chrono_literals;

bool World::isConverged() const {
  std::optional<std::uint64_t> version;
  for (const Machine& machine : machines_) {
    if (!machine.core) continue;
    const auto confirmed = machine.core->freshness().confirmedAt();
    if (!confirmed || localTime(machine) - *confirmed > 1s) return false;
    const std::uint64_t held = machine.core->freshness().configuration().value.version;
    if (version && *version != held) return false;
    version = held;
  }
  return version.has_value();
}

bool World::isConfirmed(std::size_t machine, Span lately) const {
  const Machine& asked = machines_[machine];
  if (!asked.core) return false;
  const auto confirmed = asked.core->freshness().confirmedAt();
  return confirmed && localTime(asked) - *confirmed <= lately;
}

std::size_t World::liveMachinesSeenBy(std::size_t machine) const {
  const Machine& asked = machines_[machine];
  return asked.core ? asked.core->live(localTime(asked)).size() : 0;
}

bool World::isInForce(std::uint64_t version) const {
  return std::all_of(machines_.begin(), machines_.end(), [&](const Machine& machine) {
    return !machine.core || machine.core->freshness().configuration().value.version >= version;
  });
}

bool World::isMembershipComplete() const {
  const auto up = static_cast<std::size_t>(
      std::count_if(machines_.begin(), machines_.end(),
                    [](const Machine& machine) { return machine.core != nullptr; }));
  return std::all_of(machines_.begin(), machines_.end(), [&](const Machine& machine) {
    return !machine.core || machine.core->live(localTime(machine)).size() >= up;
  });
}

}  // namespace quayrill::sim
