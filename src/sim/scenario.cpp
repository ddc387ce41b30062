#include "sim/scenario.h"

namespace quayrill::sim {

using namespace std::chrono_literals;

bool runUntilFounded(World& world, Duration limit) {
  const Duration until = world.elapsed() + limit;
  while (world.elapsed() < until) {
    world.run(250ms);
    bool isComplete = true;
    for (std::size_t i = 0; i < world.size(); ++i) {
      if (!world.isUp(i)) continue;
      const ReplicaSet& replicas = world.core(i).freshness().replicas();
      isComplete =
          isComplete && replicas.members.size() == world.replicasWanted() && replicas.settled;
    }
    if (isComplete && world.isConverged()) return true;
  }
  return false;
}

namespace {

// Injects or ends one fault. At most one disk is wiped per minute, since the fleet need not survive
// more permanent losses than that; crashes and partitions are not limited.
void injectRandomFault(World& world, Duration* nextWipeAllowedAt) {
  auto& random = world.random();
  const std::size_t machine = random() % world.size();
  const std::size_t diskMachine = random() % world.diskMachines();
  switch (random() % 14) {
    case 0:
      world.crash(machine, random() % 2 == 0);
      break;
    case 1:
      world.crash(diskMachine, true);
      break;
    case 2:
      if (world.elapsed() < *nextWipeAllowedAt) break;
      *nextWipeAllowedAt = world.elapsed() + 60s;
      world.crash(diskMachine, true);
      world.wipeDisk(diskMachine);
      world.start(diskMachine);
      break;
    case 3:
      world.freeze(machine, std::chrono::milliseconds(500 + random() % 9000));
      break;
    case 4:
      world.freeze(diskMachine, std::chrono::milliseconds(500 + random() % 9000));
      break;
    case 5:
      world.setLinkBlocked(machine, random() % world.size(), true);
      break;
    case 6:
      world.setPartitioned({machine}, true);
      break;
    case 7: {
      std::set<std::size_t> side;
      for (std::size_t i = 0; i < world.diskMachines(); ++i) {
        if (random() % 2) side.insert(i);
      }
      world.setPartitioned(side, true);
      break;
    }
    case 8:
      world.setDiskDelay(diskMachine, std::chrono::milliseconds(random() % 1500));
      break;
    case 9:
      for (std::size_t i = 0; i < world.size(); ++i) {
        if (random() % 3 == 0) world.crash(i, false);
      }
      break;
    case 10:
      world.setDiskFailing(diskMachine, true);
      break;
    case 11:
      world.repairDisk(diskMachine);
      break;
    default:
      world.healAll();
      break;
  }
}

}  // namespace

ScenarioResult runScenario(WorldSettings settings, Duration faultSpan) {
  World world(settings);
  world.addLeaderRole("orders/a");
  world.addLeaderRole("orders/b");
  ScenarioResult result;
  runUntilFounded(world, 60s);
  auto& random = world.random();
  Duration nextWipeAllowedAt{};
  const Duration until = world.elapsed() + faultSpan;
  while (world.elapsed() < until) {
    if (random() % 6 == 0) injectRandomFault(world, &nextWipeAllowedAt);
    for (int operatorIndex = 0; operatorIndex < 2; ++operatorIndex) {
      const std::size_t machine = random() % world.size();
      if (!world.isUp(machine)) continue;
      const std::uint64_t known = world.core(machine).freshness().configuration().value.version;
      if (random() % 4 == 0)
        world.read(machine);
      else
        world.change(machine, known, "body " + std::to_string(random() % 1000));
    }
    world.run(std::chrono::milliseconds(20 + random() % 400));
  }
  world.healAll();
  const Duration healedAt = world.elapsed();
  for (int i = 0; i < 240 && !result.converged; ++i) {
    world.run(250ms);
    result.converged = world.isConverged();
  }
  result.reconvergedAfterHeal = world.elapsed() - healedAt;
  world.read(0);
  world.run(4s);
  world.checkHistory();
  result.violations = world.violations();
  result.traceHash = world.traceHash();
  result.counters = world.counters();
  return result;
}

}  // namespace quayrill::sim
