#pragma once
#include "sim/world.h"

namespace quayrill::sim {

struct ScenarioResult {
  std::vector<Violation> violations;
  std::uint64_t traceHash = 0;
  Tally tally;
  bool converged = false;
  Duration convergedAfter{};  // from the last heal
};

// Founds a fleet, then lets operators race while faults of every kind come and go by seed, heals
// all, and checks the whole history.
ScenarioResult runScenario(WorldSettings settings, Duration faultSpan);

struct SteadySettings {
  Duration span = std::chrono::seconds(60);
  std::size_t bodyBytes = 6;  // of the configuration that the changes bring
  std::size_t roles = 0;      // with a lease of its own each, as servers have
  Duration part{};            // two regions lose each other for so long; 0: they don't
};
// Zones 0 to (zones + 1) / 2 - 1 are the first region, which has the majority of the replicas.
struct Parting {
  Duration closedAfter{};  // the smaller side confirms no configuration any more
  std::size_t chosenByLarger = 0, chosenBySmaller = 0, asked = 0;  // asked: on each side
  bool smallerStayedClosed = true;
  Duration agreedAfter{};  // all know all and confirm the newest configuration, from the heal on
};
struct SteadyResult {
  bool founded = false;
  double messagesPerMachineSecond = 0, bytesPerMachineSecond = 0;
  double replicaMessagesPerSecond = 0;        // to the busiest copy
  Duration changeEverywhereAfter{};           // slowest of several changes
  Duration convergedAfterCut{};               // half of the machines cut off for 20 s, then healed
  double replicaBytesPerSecond = 0;           // out of the busiest copy
  double processorPerMachineSecond = 0;       // of logic and wire format, in seconds
  std::map<std::string, double> bytesOfKind;  // by kind of message
  double changeBytes = 0, changeReplicaBytes = 0;  // of one change: by all, by the busiest copy
  Duration zoneMissedAfter{};         // a zone is cut off: all others list themselves alone
  Duration zoneBackAfter{};           // healed: all list all
  std::vector<Violation> violations;  // of the whole run
  bool hasRegions = false;
  Parting parting{};
};
// No faults: what the control plane costs at this size.
SteadyResult runSteady(const WorldSettings& settings, const SteadySettings& steady);

// Waits until the replica set has all disk machines and every daemon agrees.
bool runUntilFounded(World& world, Duration limit);

}  // namespace quayrill::sim
