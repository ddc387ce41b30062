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
    CHECK(result.tally.chosen > 0);
  }
}

TEST_CASE("sim: an empty machine joins the fleet its seeds know and never founds another") {
  WorldSettings settings;
  settings.seed = 9;
  World world(settings);
  REQUIRE(runUntilFounded(world, 60s));
  const std::uint64_t fleet = world.core(5).freshness().replicas().fleet;
  // Machine 0 is the one that may found. It comes back empty.
  world.crash(0, true);
  world.wipeDisk(0);
  world.start(0);
  const StoreId fresh = world.core(0).store();
  world.run(40s);
  CHECK(world.core(0).freshness().replicas().fleet == fleet);
  CHECK(world.core(0).freshness().replicas().members.size() == 4);
  CHECK(world.core(0).store() == fresh);
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
    for (int i = 0; i < 400 && !world.asked(id).done; ++i) world.run(5ms);
    REQUIRE(world.asked(id).done->result == ChangeResult::Chosen);
    // Right after the yes: all lose power, and one its disk.
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
  const auto lostWith = [](bool unsynced, bool reused) {
    std::size_t lost = 0;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
      WorldSettings settings;
      settings.seed = seed;
      World world(settings);
      runUntilFounded(world, 60s);
      // One replica hears nothing of the change; then others fail as planted.
      world.cut({3}, true);
      world.plant(unsynced, reused);
      const std::uint64_t id = world.change(0, 0, "kept");
      for (int i = 0; i < 400 && !world.asked(id).done; ++i) world.run(2ms);
      if (!world.asked(id).done || world.asked(id).done->result != ChangeResult::Chosen) continue;
      for (std::size_t i = 0; i < (unsynced ? 3U : 2U); ++i) {
        world.crash(i, true);
        if (reused) world.wipeDisk(i);
        world.start(i);
      }
      world.healAll();
      if (reused) world.crash(2, false);
      world.run(20s);
      world.checkHistory();
      lost += world.violations().empty() ? 0 : 1;
    }
    return lost;
  };
  CHECK(lostWith(true, false) > 0);
  CHECK(lostWith(false, true) > 0);
}

TEST_CASE("sim: a cut-off daemon stops vouching, and a frozen one wakes unconfirmed") {
  WorldSettings settings;
  settings.seed = 4;
  World world(settings);
  REQUIRE(runUntilFounded(world, 60s));
  const auto age = [&](std::size_t machine) {
    return world.localNow(machine) - *world.core(machine).freshness().confirmedAt();
  };
  world.cut({7}, true);
  world.freeze(8, 6s);
  const std::uint64_t id = world.change(5, 0, "newer");
  world.run(4s);
  REQUIRE(world.asked(id).done->result == ChangeResult::Chosen);
  CHECK(age(7) > 3s);
  CHECK(world.core(7).freshness().configuration().value.version == 0);
  CHECK(age(8) > 3s);
  CHECK(age(9) < 1s);
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
    world.wantRole("orders/x");
    world.run(3s);
    const RegisterKey role{"hold/orders/x"};
    const auto holder = [&]() -> std::size_t {
      for (std::size_t i = 0; i < world.size(); ++i) {
        if (world.isUp(i) && world.core(i).heldFence(role, Span{}, world.localNow(i))) return i;
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
    world.run(10s);  // the first wakes
    CHECK(world.violations().empty());
  }
}

TEST_CASE("sim: each planted error trips its checker") {
  const auto brokenWith = [](auto plant) {
    std::size_t broken = 0;
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
      WorldSettings settings;
      settings.seed = seed;
      plant(settings);
      broken += runScenario(settings, 40s).violations.empty() ? 0 : 1;
    }
    return broken;
  };
  CHECK(brokenWith([](WorldSettings& settings) { settings.plantStaleConfirm = true; }) > 0);
  CHECK(brokenWith([](WorldSettings&) {}) == 0);
}

TEST_CASE("sim: a rival whose clock runs six times too fast takes a lease before it ended") {
  const auto overlaps = [](bool fast) {
    std::size_t broken = 0;
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
      WorldSettings settings;
      settings.seed = seed;
      settings.diskMachines = 5;  // three of them are a majority
      settings.plantFastClocks = fast;
      World world(settings);
      runUntilFounded(world, 60s);
      // Every other machine, the fast ones, is away until a sound one holds the leader role.
      std::set<std::size_t> everyOther;
      for (std::size_t i = 1; i < world.size(); i += 2) everyOther.insert(i);
      world.cut(everyOther, true);
      world.run(8s);
      // Some of them fall to a fast one as soon as it is back.
      for (const char* role : {"orders/x", "orders/y", "orders/z", "orders/u", "orders/v"})
        world.wantRole(role);
      world.run(8s);
      world.healAll();
      world.run(10s);
      broken += world.violations().empty() ? 0 : 1;
    }
    return broken;
  };
  CHECK(overlaps(true) > 0);
  CHECK(overlaps(false) == 0);
}

TEST_CASE("sim: the replica set never shrinks below three while it replaces what was lost") {
  WorldSettings settings;
  settings.seed = 21;
  World world(settings);
  REQUIRE(runUntilFounded(world, 60s));
  world.crash(3, true);  // for a while
  world.run(20s);
  REQUIRE(world.core(0).freshness().replicas().members.size() == 3);
  // One of the three is lost as well, and has been gone for long when an empty machine comes.
  world.crash(2, true);
  world.run(12s);
  world.wipeDisk(2);
  world.start(2);
  std::size_t fewest = 9;
  for (int i = 0; i < 400; ++i) {
    world.run(100ms);
    fewest = std::min(fewest, world.core(0).freshness().replicas().members.size());
  }
  CHECK(fewest == 3);
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
    for (int i = 0; i < 600 && !world.asked(id).done; ++i) world.run(10ms);
    REQUIRE(world.asked(id).done->result == ChangeResult::Chosen);
    ++version;
  };
  for (std::size_t machine = 0; machine < 4; ++machine) {
    world.replace(machine);
    change(8);
    // Edges restart in between, with the seeds they were first given.
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
    REQUIRE(world.asked(first).done->result == ChangeResult::Chosen);
    for (std::size_t i = 0; i < world.diskMachines(); ++i) world.failDisk(i, true);
    const std::uint64_t refused = world.change(7, 1, "while full");
    world.run(5s);
    REQUIRE(world.asked(refused).done);
    CHECK(world.asked(refused).done->result != ChangeResult::Chosen);
    for (std::size_t i = 0; i < world.diskMachines(); ++i) CHECK_FALSE(world.core(i).isVoting());
    for (std::size_t i = 0; i < world.diskMachines(); ++i) world.mendDisk(i);
    world.run(10s);
    CHECK(world.isConverged());
    for (std::size_t i = 0; i < world.diskMachines(); ++i) CHECK(world.core(i).isVoting());
    const std::uint64_t version = world.core(9).freshness().configuration().value.version;
    CHECK(version >= 1);
    const std::uint64_t after = world.change(8, version, "after");
    world.run(3s);
    CHECK(world.asked(after).done->result == ChangeResult::Chosen);
    world.checkHistory();
    for (const auto& violation : world.violations()) FAIL_CHECK(violation.what);
  }
}

namespace {
// The majority's disks are lost, and the register is founded again on machine `survivor`.
struct Recovered {
  WorldSettings settings;
  World world;
  std::uint64_t oldFleet = 0;
  explicit Recovered(std::uint64_t seed) : settings{seed}, world(settings) {
    REQUIRE(runUntilFounded(world, 60s));
    oldFleet = world.core(6).freshness().replicas().fleet;
    const std::uint64_t id = world.change(6, 0, "kept");
    world.run(2s);
    REQUIRE(world.asked(id).done->result == ChangeResult::Chosen);
  }
  AgentCore::RecoveryResult recover(std::size_t survivor, const std::string& given,
                                    std::uint64_t version) {
    return world.recover(survivor, given, version);
  }
  void lose(std::size_t machine) {
    world.crash(machine, true);
    world.wipeDisk(machine);
    world.start(machine);
  }
};
}  // namespace

TEST_CASE("sim: with a majority of disks lost the fleet stays closed until it is founded again") {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    Recovered fleet(seed);
    World& world = fleet.world;
    CHECK(fleet.recover(0, "", 0).rejection.find("majority answered") != std::string::npos);
    CHECK(fleet.recover(8, "", 0).rejection.find("no sound register replica") != std::string::npos);
    for (std::size_t i : {1U, 2U, 3U}) fleet.lose(i);
    world.run(30s);
    CHECK_FALSE(world.isConverged());
    CHECK(world.core(8).freshness().replicas().fleet == fleet.oldFleet);
    const auto made = fleet.recover(0, "", 0);
    REQUIRE(made.rejection.empty());
    world.run(60s);
    CHECK(world.isConverged());
    for (std::size_t i = 0; i < world.size(); ++i) {
      CHECK(world.core(i).freshness().replicas().fleet == made.replicas.fleet);
      CHECK(world.core(i).freshness().configuration().value.body == "kept");
      CHECK(world.core(i).freshness().configuration().value.version == made.configurationVersion);
    }
    CHECK(world.core(8).freshness().replicas().members.size() == 4);
    const std::uint64_t id = world.change(9, made.configurationVersion, "new");
    world.run(3s);
    CHECK(world.asked(id).done->result == ChangeResult::Chosen);
    CHECK(world.core(12).freshness().configuration().value.body == "new");
    for (const auto& violation : world.violations()) FAIL_CHECK(violation.what);
  }
}

TEST_CASE(
    "sim: all disks lost, a saved configuration founds again; a replica of the old fleet never "
    "votes") {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    Recovered fleet(seed);
    World& world = fleet.world;
    world.crash(3, false);  // away, with its disk
    world.run(1s);
    for (std::size_t i : {0U, 1U, 2U}) fleet.lose(i);
    world.run(30s);
    CHECK_FALSE(world.isConverged());
    // The empty machine knows no configuration, and the edges serve by one.
    CHECK(fleet.recover(1, "", 0).rejection.find("saved") != std::string::npos);
    const auto made = fleet.recover(1, "saved", 1);
    REQUIRE(made.rejection.empty());
    world.run(60s);
    CHECK(world.isConverged());
    CHECK(world.core(10).freshness().configuration().value.body == "saved");
    CHECK(world.core(10).freshness().replicas().members.size() == 3);
    world.start(3);
    world.run(30s);
    CHECK_FALSE(world.core(3).isWritable());
    CHECK(world.core(10).freshness().replicas().members.size() == 3);
    CHECK(world.core(3).freshness().replicas().fleet == made.replicas.fleet);
    CHECK(world.core(3).freshness().configuration().value.body == "saved");
    // Started again, it still knows that it is disowned, even alone with its old kind.
    world.crash(3, false);
    world.cut({3}, true);
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
  steady.part = 60s;
  const SteadyResult result = runSteady(settings, steady);
  REQUIRE(result.founded);
  CHECK(result.parting.closedAfter < 3s);
  CHECK(result.parting.smallerStayedClosed);
  CHECK(result.parting.chosenByLarger == result.parting.asked);
  CHECK(result.parting.chosenBySmaller == 0);
  CHECK(result.parting.agreedAfter < 20s);
  CHECK(result.zoneMissedAfter < 20s);
  CHECK(result.zoneBackAfter < 20s);
  CHECK(result.violations.empty());
}
