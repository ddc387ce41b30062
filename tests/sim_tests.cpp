// Tests of the control plane in the simulator: consistency, recovery and convergence under faults,
// and that the checkers detect injected defects.
#include <catch2/catch.hpp>

#include "sim/scenario.h"

using namespace quayrill;
using namespace quayrill::sim;
using namespace std::chrono_literals;

TEST_CASE("sim: the same seed gives the same trace, another seed another") {
  WorldSettings settings;
  settings.seed = 42;
  const auto first = runScenario(settings, 10s);
  CHECK(runScenario(settings, 10s).traceHash == first.traceHash);
  settings.seed = 43;
  CHECK(runScenario(settings, 10s).traceHash != first.traceHash);
}

TEST_CASE("sim: faults of every kind by seed break no rule and heal", "[seeds]") {
  for (std::uint64_t seed = 1; seed <= 24; ++seed) {
    WorldSettings settings;
    settings.seed = seed;
    const auto result = runScenario(settings, 25s);
    INFO("replay: quayrill-sim --seconds=25 --seed=" << seed);
    for (const auto& violation : result.violations) FAIL_CHECK(violation.what);
    CHECK(result.converged);
    CHECK(result.counters.chosen > 0);
  }
}

// Guards against: two configurations in force under one version, as a daemon learned of a smaller
// replica set.
TEST_CASE("sim: each seed that broke a rule once breaks none any more") {
  for (const std::uint64_t seed : {60307, 62032}) {
    WorldSettings settings;
    settings.seed = seed;
    const auto result = runScenario(settings, 60s);
    INFO("replay: quayrill-sim --seed=" << seed);
    for (const auto& violation : result.violations) FAIL_CHECK(violation.what);
    CHECK(result.converged);
  }
}

TEST_CASE("sim: an empty machine joins the fleet its seeds know and never founds another") {
  WorldSettings settings;
  settings.seed = 9;
  World world(settings);
  REQUIRE(runUntilFounded(world, 60s));
  const std::uint64_t fleet = world.core(5).freshness().replicas().fleet;
  // Machine 0, which may found a fleet, restarts with an empty disk.
  world.crash(0, true);
  world.wipeDisk(0);
  world.start(0);
  const StoreId newStore = world.core(0).store();
  world.run(40s);
  CHECK(world.core(0).freshness().replicas().fleet == fleet);
  CHECK(world.core(0).freshness().replicas().members.size() == 4);
  CHECK(world.core(0).store() == newStore);
  CHECK(world.core(0).isVoting());
  CHECK(world.violations().empty());
}

TEST_CASE("sim: an acknowledged change survives a power loss and the loss of one disk") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    WorldSettings settings;
    settings.seed = seed;
    World world(settings);
    REQUIRE(runUntilFounded(world, 60s));
    const std::uint64_t id = world.change(6, 0, "kept");
    for (int i = 0; i < 400 && !world.operationById(id).done; ++i) world.run(5ms);
    REQUIRE(world.operationById(id).done->result == ChangeResult::Chosen);
    // Immediately after the acknowledgement all replicas lose power, and one its disk.
    for (std::size_t i = 0; i < world.diskMachines(); ++i) world.crash(i, true);
    world.wipeDisk(seed % 4);
    for (std::size_t i = 0; i < world.diskMachines(); ++i) world.start(i);
    world.run(20s);
    CHECK(world.core(8).freshness().configuration().value.body == "kept");
    CHECK(world.isConverged());
    CHECK(world.violations().empty());
  }
}

TEST_CASE("sim: the unsynced answer and the reused store are tripped by the same history") {
  const auto seedsWithViolations = [](bool unsynced, bool reused) {
    std::size_t failedSeeds = 0;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
      WorldSettings settings;
      settings.seed = seed;
      World world(settings);
      runUntilFounded(world, 60s);
      // One replica does not receive the change; then others fail according to the defect.
      world.setPartitioned({3}, true);
      world.injectDefects(unsynced, reused);
      const std::uint64_t id = world.change(0, 0, "kept");
      for (int i = 0; i < 400 && !world.operationById(id).done; ++i) world.run(2ms);
      if (!world.operationById(id).done ||
          world.operationById(id).done->result != ChangeResult::Chosen)
        continue;
      for (std::size_t i = 0; i < (unsynced ? 3U : 2U); ++i) {
        world.crash(i, true);
        if (reused) world.wipeDisk(i);
        world.start(i);
      }
      world.healAll();
      if (reused) world.crash(2, false);
      world.run(20s);
      world.checkHistory();
      failedSeeds += world.violations().empty() ? 0 : 1;
    }
    return failedSeeds;
  };
  CHECK(seedsWithViolations(true, false) > 0);
  CHECK(seedsWithViolations(false, true) > 0);
}

TEST_CASE("sim: a cut-off daemon stops vouching, and a frozen one wakes unconfirmed") {
  WorldSettings settings;
  settings.seed = 4;
  World world(settings);
  REQUIRE(runUntilFounded(world, 60s));
  const auto confirmationAge = [&](std::size_t machine) {
    return world.localNow(machine) - *world.core(machine).freshness().confirmedAt();
  };
  world.setPartitioned({7}, true);
  world.freeze(8, 6s);
  const std::uint64_t id = world.change(5, 0, "newer");
  world.run(4s);
  REQUIRE(world.operationById(id).done->result == ChangeResult::Chosen);
  CHECK(confirmationAge(7) > 3s);
  CHECK(world.core(7).freshness().configuration().value.version == 0);
  CHECK(confirmationAge(8) > 3s);
  CHECK(confirmationAge(9) < 1s);
  CHECK(world.core(9).freshness().configuration().value.body == "newer");
  world.healAll();
  world.run(5s);
  CHECK(world.core(7).freshness().configuration().value.body == "newer");
  CHECK(world.core(8).freshness().configuration().value.body == "newer");
}

TEST_CASE("sim: a leader role changes hands under a rising fence and never has two holders") {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    WorldSettings settings;
    settings.seed = seed;
    World world(settings);
    REQUIRE(runUntilFounded(world, 60s));
    world.addLeaderRole("orders/x");
    world.run(3s);
    const RegisterKey role{"hold/orders/x"};
    const auto holder = [&]() -> std::size_t {
      for (std::size_t i = 0; i < world.size(); ++i) {
        if (world.isUp(i) && world.core(i).heldFence(role, Duration{}, world.localNow(i))) return i;
      }
      return world.size();
    };
    const std::size_t first = holder();
    REQUIRE(first < world.size());
    world.freeze(first, 25s);
    world.run(20s);
    const std::size_t second = holder();
    CHECK(second < world.size());
    CHECK(second != first);
    world.run(10s);  // the first holder resumes
    CHECK(world.violations().empty());
  }
}

TEST_CASE("sim: each planted error trips its checker") {
  const auto seedsWithViolations = [](auto injectDefect) {
    std::size_t failedSeeds = 0;
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
      WorldSettings settings;
      settings.seed = seed;
      injectDefect(settings);
      failedSeeds += runScenario(settings, 40s).violations.empty() ? 0 : 1;
    }
    return failedSeeds;
  };
  CHECK(seedsWithViolations([](WorldSettings& settings) { settings.injectStaleConfirm = true; }) >
        0);
  CHECK(seedsWithViolations([](WorldSettings&) {}) == 0);
}

TEST_CASE("sim: a rival whose clock runs six times too fast takes a lease before it ended") {
  const auto seedsWithViolations = [](bool fastClocks) {
    std::size_t failedSeeds = 0;
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
      WorldSettings settings;
      settings.seed = seed;
      settings.diskMachines = 5;  // three of them are a majority
      settings.injectFastClocks = fastClocks;
      World world(settings);
      runUntilFounded(world, 60s);
      // The machines with fast clocks are isolated until others hold all leader roles.
      std::set<std::size_t> fastMachines;
      for (std::size_t i = 1; i < world.size(); i += 2) fastMachines.insert(i);
      world.setPartitioned(fastMachines, true);
      world.run(8s);
      // Some of these roles are assigned to a fast machine as soon as it is back.
      for (const char* role : {"orders/x", "orders/y", "orders/z", "orders/u", "orders/v"})
        world.addLeaderRole(role);
      world.run(8s);
      world.healAll();
      world.run(10s);
      failedSeeds += world.violations().empty() ? 0 : 1;
    }
    return failedSeeds;
  };
  CHECK(seedsWithViolations(true) > 0);
  CHECK(seedsWithViolations(false) == 0);
}

TEST_CASE("sim: the replica set never shrinks below three while it replaces what was lost") {
  WorldSettings settings;
  settings.seed = 21;
  World world(settings);
  REQUIRE(runUntilFounded(world, 60s));
  world.crash(3, true);  // temporarily
  world.run(20s);
  REQUIRE(world.core(0).freshness().replicas().members.size() == 3);
  // One of the three is lost as well, and some time later an empty machine replaces it.
  world.crash(2, true);
  world.run(12s);
  world.wipeDisk(2);
  world.start(2);
  std::size_t fewestMembers = 9;
  for (int i = 0; i < 400; ++i) {
    world.run(100ms);
    fewestMembers = std::min(fewestMembers, world.core(0).freshness().replicas().members.size());
  }
  CHECK(fewestMembers == 3);
  CHECK(world.core(2).isVoting());
  world.start(3);
  world.run(30s);
  CHECK(world.core(0).freshness().replicas().members.size() == 4);
  CHECK(world.isConverged());
}

TEST_CASE("sim: core machines move to new addresses one by one, seeds included") {
  WorldSettings settings;
  settings.seed = 31;
  World world(settings);
  REQUIRE(runUntilFounded(world, 60s));
  const std::uint64_t fleet = world.core(6).freshness().replicas().fleet;
  std::uint64_t version = 0;
  const auto change = [&](std::size_t machine) {
    const std::uint64_t id = world.change(machine, version, "body");
    for (int i = 0; i < 600 && !world.operationById(id).done; ++i) world.run(10ms);
    REQUIRE(world.operationById(id).done->result == ChangeResult::Chosen);
    ++version;
  };
  for (std::size_t machine = 0; machine < 4; ++machine) {
    world.replace(machine);
    change(8);
    // An edge machine restarts in between, with its original seeds.
    world.crash(9, false);
    if (machine < 2) world.start(9);
    world.run(45s);
    const ReplicaSet& replicas = world.core(10).freshness().replicas();
    CHECK(replicas.fleet == fleet);
    CHECK(replicas.members.size() == 4);
    CHECK(replicas.settled);
    CHECK(world.core(machine).isVoting());
  }
  change(10);
  world.run(5s);
  CHECK(world.core(11).freshness().configuration().value.version == version);
  CHECK(world.isConverged());
  world.checkHistory();
  CHECK(world.violations().empty());
}

TEST_CASE("sim: disks that fail and are mended vote again under the same process") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    WorldSettings settings;
    settings.seed = seed;
    World world(settings);
    REQUIRE(runUntilFounded(world, 60s));
    const std::uint64_t first = world.change(6, 0, "before");
    world.run(2s);
    REQUIRE(world.operationById(first).done->result == ChangeResult::Chosen);
    for (std::size_t i = 0; i < world.diskMachines(); ++i) world.setDiskFailing(i, true);
    const std::uint64_t failing = world.change(7, 1, "while full");
    world.run(5s);
    REQUIRE(world.operationById(failing).done);
    CHECK(world.operationById(failing).done->result != ChangeResult::Chosen);
    for (std::size_t i = 0; i < world.diskMachines(); ++i) CHECK_FALSE(world.core(i).isVoting());
    for (std::size_t i = 0; i < world.diskMachines(); ++i) world.repairDisk(i);
    world.run(10s);
    CHECK(world.isConverged());
    for (std::size_t i = 0; i < world.diskMachines(); ++i) CHECK(world.core(i).isVoting());
    const std::uint64_t version = world.core(9).freshness().configuration().value.version;
    CHECK(version >= 1);
    const std::uint64_t after = world.change(8, version, "after");
    world.run(3s);
    CHECK(world.operationById(after).done->result == ChangeResult::Chosen);
    world.checkHistory();
    for (const auto& violation : world.violations()) FAIL_CHECK(violation.what);
  }
}

namespace {
// A fleet with one acknowledged change, in which a majority of the disks is then lost and the
// register is founded again.
struct RecoveryFleet {
  WorldSettings settings;
  World world;
  std::uint64_t oldFleet = 0;
  explicit RecoveryFleet(std::uint64_t seed) : settings{seed}, world(settings) {
    REQUIRE(runUntilFounded(world, 60s));
    oldFleet = world.core(6).freshness().replicas().fleet;
    const std::uint64_t id = world.change(6, 0, "kept");
    world.run(2s);
    REQUIRE(world.operationById(id).done->result == ChangeResult::Chosen);
  }
  AgentCore::RecoveryResult recover(std::size_t survivor, const std::string& given,
                                    std::uint64_t version) {
    return world.recover(survivor, given, version);
  }
  void replaceDisk(std::size_t machine) {
    world.crash(machine, true);
    world.wipeDisk(machine);
    world.start(machine);
  }
};
}  // namespace

TEST_CASE("sim: with a majority of disks lost the fleet stays closed until it is founded again") {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    RecoveryFleet fleet(seed);
    World& world = fleet.world;
    CHECK(fleet.recover(0, "", 0).rejection.find("majority answered") != std::string::npos);
    CHECK(fleet.recover(8, "", 0).rejection.find("no sound register replica") != std::string::npos);
    for (std::size_t i : {1U, 2U, 3U}) fleet.replaceDisk(i);
    world.run(30s);
    CHECK_FALSE(world.isConverged());
    CHECK(world.core(8).freshness().replicas().fleet == fleet.oldFleet);
    const auto recovered = fleet.recover(0, "", 0);
    REQUIRE(recovered.rejection.empty());
    world.run(60s);
    CHECK(world.isConverged());
    for (std::size_t i = 0; i < world.size(); ++i) {
      CHECK(world.core(i).freshness().replicas().fleet == recovered.replicas.fleet);
      CHECK(world.core(i).freshness().configuration().value.body == "kept");
      CHECK(world.core(i).freshness().configuration().value.version ==
            recovered.configurationVersion);
    }
    CHECK(world.core(8).freshness().replicas().members.size() == 4);
    const std::uint64_t id = world.change(9, recovered.configurationVersion, "new");
    world.run(3s);
    CHECK(world.operationById(id).done->result == ChangeResult::Chosen);
    CHECK(world.core(12).freshness().configuration().value.body == "new");
    for (const auto& violation : world.violations()) FAIL_CHECK(violation.what);
  }
}

TEST_CASE(
    "sim: all disks lost, a saved configuration founds again; a replica of the old fleet never "
    "votes") {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    RecoveryFleet fleet(seed);
    World& world = fleet.world;
    world.crash(3, false);  // down, with its disk intact
    world.run(1s);
    for (std::size_t i : {0U, 1U, 2U}) fleet.replaceDisk(i);
    world.run(30s);
    CHECK_FALSE(world.isConverged());
    // The empty machine knows no configuration, while the edge machines still have one.
    CHECK(fleet.recover(1, "", 0).rejection.find("saved") != std::string::npos);
    const auto recovered = fleet.recover(1, "saved", 1);
    REQUIRE(recovered.rejection.empty());
    world.run(60s);
    CHECK(world.isConverged());
    CHECK(world.core(10).freshness().configuration().value.body == "saved");
    CHECK(world.core(10).freshness().replicas().members.size() == 3);
    world.start(3);
    world.run(30s);
    CHECK_FALSE(world.core(3).isWritable());
    CHECK(world.core(10).freshness().replicas().members.size() == 3);
    CHECK(world.core(3).freshness().replicas().fleet == recovered.replicas.fleet);
    CHECK(world.core(3).freshness().configuration().value.body == "saved");
    // After another restart it still knows that its store is disowned, even while it is isolated
    // from the new fleet.
    world.crash(3, false);
    world.setPartitioned({3}, true);
    world.start(3);
    CHECK_FALSE(world.core(3).isWritable());
    for (const auto& violation : world.violations()) FAIL_CHECK(violation.what);
  }
}

TEST_CASE(
    "sim: regions that part for a minute: the smaller closes, the larger goes on, all agree") {
  WorldSettings settings;
  settings.diskMachines = 5;
  settings.edgeMachines = 5;
  settings.zones = 5;
  SteadySettings steady;
  steady.span = 1s;
  steady.partitionSpan = 60s;
  const SteadyResult result = runSteady(settings, steady);
  REQUIRE(result.founded);
  CHECK(result.regionPartition.minorityClosedAfter < 3s);
  CHECK(result.regionPartition.minorityStayedClosed);
  CHECK(result.regionPartition.chosenByMajority == result.regionPartition.changesPerSide);
  CHECK(result.regionPartition.chosenByMinority == 0);
  CHECK(result.regionPartition.reconvergedAfter < 20s);
  CHECK(result.zoneLossDetectedAfter < 20s);
  CHECK(result.zoneRejoinedAfter < 20s);
  CHECK(result.violations.empty());
}
