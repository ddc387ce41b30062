// quayrill-sim: runs the deterministic simulator from the command line. A failing seed can be
// replayed exactly.
#include <docopt/docopt.h>

#include <algorithm>
#include <iostream>

#include "base/build_identity.h"
#include "sim/scenario.h"
#include "sim/scenarios.h"

namespace {
constexpr char kUsage[] =
    R"(quayrill-sim: runs the control logic on simulated clocks, networks and disks.

Usage:
  quayrill-sim [--seed=N] [--seeds=COUNT] [--seconds=S] [--disks=N] [--edges=N] [--plant=DEFECT]
  quayrill-sim --steady [--seed=N] [--seconds=S] [--disks=N] [--edges=N] [--zones=N] [--body=BYTES]
         [--duties=N] [--part=S]
  quayrill-sim --scenario=NAME [--seed=N] [--seeds=COUNT] [--plant=DEFECT]
  quayrill-sim --help | --version

Options:
  --seed=N        First seed [default: 1].
  --seeds=COUNT   Number of consecutive seeds to run [default: 1].
  --seconds=S     Simulated seconds of faults for each seed [default: 60].
  --disks=N       Machines with a disk [default: 4].
  --edges=N       Machines without a disk [default: 9].
  --steady        Measure the cost of the control plane at this size, without random faults.
  --zones=N       Zones, to which machines are assigned round-robin [default: 4].
  --body=BYTES    Size of the configuration that each change writes [default: 6].
  --duties=N      Leader roles, each with its own lease [default: 0].
  --part=S        Partition two regions at the end for this many seconds [default: 0].
  --scenario=NAME  One kind of fault: cut-off, racing-operators or many-changes.
  --plant=DEFECT  Inject a defect that a checker must find: unsynced, reused, clocks or stale.
  -h --help       Show this text.
  --version       Show the version.

Exit codes: 0 no invariant was violated, 1 some were (the seeds are named), 2 invalid usage.
)";

void printSteadyReport(const quayrill::sim::WorldSettings& settings,
                       const quayrill::sim::SteadyResult& steady) {
  using Millis = std::chrono::duration<double, std::milli>;
  std::cout << "machines " << settings.diskMachines + settings.edgeMachines << " founded "
            << steady.founded << " messages/machine/s " << steady.messagesPerMachineSecond
            << " bytes/machine/s " << steady.bytesPerMachineSecond << " messages/s at a replica "
            << steady.replicaMessagesPerSecond << " change everywhere after ms "
            << Millis(steady.changePropagatedAfter).count() << " converged after cut ms "
            << Millis(steady.reconvergedAfterPartition).count() << "\n"
            << "bytes/s out of a replica " << steady.replicaBytesPerSecond
            << " processor us/machine/s " << steady.cpuSecondsPerMachineSecond * 1e6
            << " bytes of a change " << steady.bytesPerChange << " of them out of a replica "
            << steady.replicaBytesPerChange << "\n"
            << "a zone cut off is missed by all after ms "
            << Millis(steady.zoneLossDetectedAfter).count() << " and back with all after ms "
            << Millis(steady.zoneRejoinedAfter).count() << "\n"
            << "bytes/machine/s by kind";
  for (const auto& [kind, bytes] : steady.bytesByKind) {
    if (bytes >= 1) std::cout << " " << kind << " " << bytes;
  }
  std::cout << "\nbroken " << steady.violations.size() << "\n";
  if (!steady.hasRegions) return;
  const auto& regionPartition = steady.regionPartition;
  std::cout << "regions parted: the smaller side closed after ms "
            << Millis(regionPartition.minorityClosedAfter).count()
            << (regionPartition.minorityStayedClosed ? "" : " NOT") << " until the heal; of "
            << regionPartition.changesPerSide << " changes asked on each side, chosen "
            << regionPartition.chosenByMajority << " on the larger, "
            << regionPartition.chosenByMinority << " on the smaller; all agreed after ms "
            << Millis(regionPartition.reconvergedAfter).count() << "\n";
}
}  // namespace

namespace {
// Runs a scenario with `count` seeds and prints the violations of each. Returns the number of seeds
// with violations.
std::size_t runNamed(const quayrill::sim::NamedScenario& scenario, std::uint64_t first,
                     std::uint64_t count, bool injectDefect) {
  using Millis = std::chrono::duration<double, std::milli>;
  quayrill::sim::NamedScenarioResult total;
  std::size_t failedSeeds = 0;
  for (auto seed = first; seed < first + count; ++seed) {
    const quayrill::sim::NamedScenarioResult result = scenario.run(seed, injectDefect);
    total.confirmed += result.confirmed;
    total.refused += result.refused;
    total.unclear += result.unclear;
    total.resends += result.resends;
    total.injectedFaults += result.injectedFaults;
    total.slowestCatchUp = std::max(total.slowestCatchUp, result.slowestCatchUp);
    total.slowestVotingRestore = std::max(total.slowestVotingRestore, result.slowestVotingRestore);
    failedSeeds += result.violations.empty() ? 0 : 1;
    for (const std::string& what : result.violations)
      std::cout << "seed " << seed << ": " << what << "\n";
  }
  std::cout << scenario.name << ": seeds " << count << " troubles " << total.injectedFaults
            << "; orders confirmed " << total.confirmed << " refused " << total.refused
            << " unclear " << total.unclear << " resent " << total.resends
            << "; slowest to catch up ms " << Millis(total.slowestCatchUp).count()
            << ", to vote again ms " << Millis(total.slowestVotingRestore).count()
            << "; seeds broken " << failedSeeds << "\n";
  return failedSeeds;
}
}  // namespace

int main(int argc, char** argv) {
  using namespace quayrill::sim;
  auto flags = docopt::docopt(kUsage, {argv + 1, argv + argc}, true,
                              "quayrill-sim " + quayrill::buildIdentity());
  WorldSettings settings;
  const std::string defect = flags["--plant"] ? flags["--plant"].asString() : "";
  settings.injectUnsyncedDisk = defect == "unsynced";
  settings.injectReusedStore = defect == "reused";
  settings.injectFastClocks = defect == "clocks";
  settings.injectStaleConfirm = defect == "stale";
  std::size_t failedSeeds = 0;
  RunCounters total;
  try {
    settings.diskMachines = static_cast<std::size_t>(std::stoul(flags["--disks"].asString()));
    settings.edgeMachines = static_cast<std::size_t>(std::stoul(flags["--edges"].asString()));
    const auto first = std::stoull(flags["--seed"].asString());
    const auto count = std::stoull(flags["--seeds"].asString());
    const std::chrono::seconds span(std::stoul(flags["--seconds"].asString()));
    if (flags["--scenario"]) {
      for (const NamedScenario& scenario : namedScenarios()) {
        if (scenario.name == flags["--scenario"].asString())
          return runNamed(scenario, first, count, !defect.empty()) == 0 ? 0 : 1;
      }
      throw std::invalid_argument("--scenario: no scenario of that name");
    }
    if (flags["--steady"].asBool()) {
      settings.seed = first;
      settings.zones = static_cast<std::size_t>(std::stoul(flags["--zones"].asString()));
      if (settings.zones == 0) throw std::invalid_argument("--zones is 0");
      const SteadySettings steadySettings{
          span, std::stoul(flags["--body"].asString()), std::stoul(flags["--duties"].asString()),
          std::chrono::seconds(std::stoul(flags["--part"].asString()))};
      const SteadyResult steady = runSteady(settings, steadySettings);
      printSteadyReport(settings, steady);
      return steady.founded && steady.violations.empty() ? 0 : 1;
    }
    for (auto seed = first; seed < first + count; ++seed) {
      settings.seed = seed;
      const ScenarioResult result = runScenario(settings, span);
      total.chosen += result.counters.chosen;
      total.conflicts += result.counters.conflicts;
      total.notTried += result.counters.notTried;
      total.unknown += result.counters.unknown;
      total.leaseObservations += result.counters.leaseObservations;
      if (count == 1)
        std::cout << "seed " << seed << " trace " << std::hex << result.traceHash << std::dec
                  << " messages " << result.counters.messages << " converged after "
                  << std::chrono::duration_cast<std::chrono::milliseconds>(
                         result.reconvergedAfterHeal)
                         .count()
                  << " ms\n";
      if (result.violations.empty() && result.converged) continue;
      ++failedSeeds;
      std::cout << "seed " << seed << ": " << result.violations.size() << " broken"
                << (result.converged ? "" : ", not converged") << "\n";
      for (std::size_t i = 0; i < std::min<std::size_t>(3, result.violations.size()); ++i)
        std::cout << "  at "
                  << std::chrono::duration_cast<std::chrono::milliseconds>(result.violations[i].at)
                         .count()
                  << " ms: " << result.violations[i].what << "\n";
    }
  } catch (const std::exception& error) {
    std::cerr << "quayrill-sim: invalid option (" << error.what()
              << "); numeric options need whole numbers\n";
    return 2;
  }
  std::cout << "changes chosen " << total.chosen << " conflict " << total.conflicts << " not tried "
            << total.notTried << " unknown " << total.unknown << "; holds seen "
            << total.leaseObservations << "; seeds broken " << failedSeeds << "\n";
  return failedSeeds == 0 ? 0 : 1;
}
