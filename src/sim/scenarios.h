#pragma once
// Named scenarios. Each injects one kind of control-plane fault, varied by a seed, and checks the
// guarantees that must hold under it.
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace quayrill::sim {

// The outcome of one scenario under one seed.
struct NamedScenarioResult {
  std::vector<std::string> violations;
  // Submitted changes by outcome; unclear: neither confirmed nor refused for good.
  std::size_t confirmed = 0, refused = 0, unclear = 0;
  std::size_t resends = 0;
  std::size_t injectedFaults = 0;
  // The longest time from the end of a fault until the affected machine has confirmed the newest
  // configuration, and until its replica is a writable member of a settled set.
  Duration slowestCatchUp{};
  Duration slowestVotingRestore{};
};

// A scenario that quayrill-sim can run by name. With `injectDefect`, it runs with a known defect
// that its checks must detect.
struct NamedScenario {
  std::string_view name;
  std::string_view description;
  NamedScenarioResult (*run)(std::uint64_t seed, bool injectDefect);
};
const std::vector<NamedScenario>& namedScenarios();

// A machine with a disk is isolated for 20 s while changes continue elsewhere and an operator
// submits changes to it. Defect: it confirms its configuration without asking any replica.
NamedScenarioResult runCutOff(std::uint64_t seed, bool injectDefect);
// Two operators submit changes under the same number, 7 of 10 answers are lost, and every change is
// sent again. Defect: a resent change is treated as a new one.
NamedScenarioResult runRacingOperators(std::uint64_t seed, bool injectDefect);
// 600 changes while replicas restart, lose power, have their disks wiped, or have slow, stalled or
// failing disks. Defect: a wiped disk keeps its old store id.
NamedScenarioResult runManyChanges(std::uint64_t seed, bool injectDefect);

}  // namespace quayrill::sim
