#pragma once
// Named scenarios: each brings about one kind of trouble on the control side, by seed, and checks
// what was promised about it.
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace quayrill::sim {

struct NamedScenarioResult {
  std::vector<std::string> violations;
  std::size_t confirmed = 0, refused = 0, unclear = 0;  // orders, by their last clear answer
  std::size_t resends = 0;
  std::size_t injectedFaults = 0;  // troubles that were brought about
  Span slowestCatchUp{};           // from the end of a trouble until the newest is confirmed there
  Span slowestVotingRestore{};     // until its replica is a writable member of a settled set
};

struct NamedScenario {
  std::string_view name;
  std::string_view description;
  NamedScenarioResult (*run)(std::uint64_t seed, bool injectDefect);
};
const std::vector<NamedScenario>& namedScenarios();

// `plant` brings in a error that the scenario must find.

// A control machine is cut off for 20 s while changes go on elsewhere and an operator asks it.
// Planted: it vouches for its configuration without asking.
NamedScenarioResult runCutOff(std::uint64_t seed, bool injectDefect);
// Two operators pick one number each time, 7 of 10 answers are lost, and all is sent again.
// Planted: a resend is judged as a new order.
NamedScenarioResult runRacingOperators(std::uint64_t seed, bool injectDefect);
// 600 changes while replicas restart, lose power, are emptied, slow, stalled and failing.
// Planted: an emptied disk comes back under its old identity.
NamedScenarioResult runManyChanges(std::uint64_t seed, bool injectDefect);

}  // namespace quayrill::sim
