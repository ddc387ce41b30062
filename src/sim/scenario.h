#pragma once
#include "sim/world.h"

namespace quayrill::sim {

struct ScenarioResult {
  std::vector<Violation> violations;
  std::uint64_t traceHash = 0;
  RunCounters counters;
  bool converged = false;
  Span reconvergedAfterHeal{};  // from the last heal
};

// Founds a fleet, then lets operators race while faults of every kind come and go by seed, heals
// all, and checks the whole history.
ScenarioResult runScenario(WorldSettings settings, Span faultSpan);

struct SteadySettings {
  Span span = std::chrono::seconds(60);
  std::size_t bodyBytes = 6;    // of the configuration that the changes bring
  std::size_t leaderRoles = 0;  // with a lease of its own each, as servers have
  Span partitionSpan{};         // two regions lose each other for so long; 0: they don't
};
// Zones 0 to (zones + 1) / 2 - 1 are the first region, which has the majority of the replicas.
struct RegionPartition {
  Span minorityClosedAfter{};  // the smaller side confirms no configuration any more
  std::size_t chosenByMajority = 0, chosenByMinority = 0,
              changesPerSide = 0;  // asked: on each side
  bool minorityStayedClosed = true;
  Span reconvergedAfter{};  // all know all and confirm the newest configuration, from the heal on
};
struct SteadyResult {
  bool founded = false;
  double messagesPerMachineSecond = 0, bytesPerMachineSecond = 0;
  double replicaMessagesPerSecond = 0;        // to the busiest copy
  Span changePropagatedAfter{};               // slowest of several changes
  Span reconvergedAfterPartition{};           // half of the machines cut off for 20 s, then healed
  double replicaBytesPerSecond = 0;           // out of the busiest copy
  double cpuSecondsPerMachineSecond = 0;      // of logic and wire format, in seconds
  std::map<std::string, double> bytesByKind;  // by kind of message
  double bytesPerChange = 0,
         replicaBytesPerChange = 0;   // of one change: by all, by the busiest copy
  Span zoneLossDetectedAfter{};       // a zone is cut off: all others list themselves alone
  Span zoneRejoinedAfter{};           // healed: all list all
  std::vector<Violation> violations;  // of the whole run
  bool hasRegions = false;
  RegionPartition regionPartition{};
};
// No faults: what the control plane costs at this size.
SteadyResult runSteady(const WorldSettings& settings, const SteadySettings& steady);

// Waits until the replica set has all disk machines and every daemon agrees.
bool runUntilFounded(World& world, Span limit);

}  // namespace quayrill::sim
