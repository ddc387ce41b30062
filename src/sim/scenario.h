#pragma once
#include "sim/world.h"

namespace quayrill::sim {

struct ScenarioResult {
  std::vector<Violation> violations;
  std::uint64_t traceHash = 0;
  Tally tally;
  bool converged = false;
  Span convergedAfter{};  // from the last heal
};

// Founds a fleet, then lets operators race while faults of every kind come and go by seed, heals
// all, and checks the whole history.
ScenarioResult runScenario(WorldBoot boot, Span faultSpan);

struct SteadyResult {
  bool founded = false;
  double messagesPerMachineSecond = 0, bytesPerMachineSecond = 0;
  double copyMessagesPerSecond = 0;  // to the busiest copy
  Span changeEverywhereAfter{};      // slowest of several changes
  Span convergedAfterCut{};          // half of the machines cut off for 20 s, then healed
};
// No faults: what the control plane costs at this size.
SteadyResult runSteady(const WorldBoot& boot, Span span);

// Waits until the copy set has all disk machines and every daemon agrees.
bool runUntilFounded(World& world, Span limit);

}  // namespace quayrill::sim
