#pragma once
// Complete simulated runs: random faults with competing operators, and measurements of a fleet
// without random faults.
#include "sim/world.h"

namespace quayrill::sim {

// The outcome of a run with random faults.
struct ScenarioResult {
  std::vector<Violation> violations;
  std::uint64_t traceHash = 0;
  RunCounters counters;
  bool converged = false;
  Duration reconvergedAfterHeal{};  // after all faults ended for good
};

// Founds a fleet, lets operators compete while faults of every kind start and end at random for
// `faultSpan`, ends all faults, waits for convergence and checks the recorded history.
ScenarioResult runScenario(WorldSettings settings, Duration faultSpan);

// Parameters of a measurement.
struct SteadySettings {
  Duration span = std::chrono::seconds(60);
  std::size_t bodyBytes = 6;    // size of the configuration that each change writes
  std::size_t leaderRoles = 0;  // each with a lease of its own, as for model servers
  Duration partitionSpan{};     // how long two regions are partitioned at the end; 0: not at all
};

// Measurements of a partition between two regions. Zones 0 to (zones + 1) / 2 - 1 form the larger
// region, which has the majority of the replicas.
struct RegionPartition {
  // From the start until no machine of the smaller region has a recently confirmed configuration.
  Duration minorityClosedAfter{};
  // Changes that took effect in the larger and in the smaller region, of those tried in each.
  std::size_t chosenByMajority = 0, chosenByMinority = 0, changesPerSide = 0;
  bool minorityStayedClosed = true;
  // From the heal until all machines confirm the newest configuration and list all others.
  Duration reconvergedAfter{};
};

// What the control plane costs at a given fleet size, and how fast it converges.
struct SteadyResult {
  bool founded = false;
  double messagesPerMachineSecond = 0, bytesPerMachineSecond = 0;
  double replicaMessagesPerSecond = 0;  // received by the busiest replica
  // From the acknowledgement until every machine has the change; the slowest of several changes.
  Duration changePropagatedAfter{};
  // From the heal of a 20 s partition into two halves until convergence.
  Duration reconvergedAfterPartition{};
  double replicaBytesPerSecond = 0;                      // sent by the busiest replica
  double cpuSecondsPerMachineSecond = 0;                 // control logic and message encoding
  std::map<std::string, double> bytesByKind;             // per machine and second, by message name
  double bytesPerChange = 0, replicaBytesPerChange = 0;  // sent by all, and by machine 0
  // From the isolation of a zone until all other machines list exactly each other, and from its
  // heal until convergence.
  Duration zoneLossDetectedAfter{};
  Duration zoneRejoinedAfter{};
  std::vector<Violation> violations;  // of the whole run
  bool hasRegions = false;            // whether regionPartition was measured
  RegionPartition regionPartition{};
};

// Measures the control plane without random faults.
SteadyResult runSteady(const WorldSettings& settings, const SteadySettings& steady);

// Runs until the replica set is settled with all wanted replicas and all daemons agree; false if
// that takes longer than `limit`.
bool runUntilFounded(World& world, Duration limit);

}  // namespace quayrill::sim
