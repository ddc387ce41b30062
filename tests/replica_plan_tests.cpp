// The number and placement of register replicas: the calculation, the settings and the simulated
// fleet.
#include <catch2/catch.hpp>

#include <map>

#include "platform/settings.h"
#include "register/replica_plan.h"
#include "sim/scenario.h"

using namespace quayrill;
using namespace quayrill::sim;
using namespace std::chrono_literals;
using Catch::Matchers::Contains;

namespace {
Topology zonesIn(std::size_t zones, std::size_t regions) {
  Topology topology;
  for (std::size_t i = 0; i < zones; ++i)
    topology.regionOfZone["z" + std::to_string(i)] = "r" + std::to_string(i % regions);
  return topology;
}

std::string settingsWith(const std::string& more) {
  return "ip=10.1.0.14\nportRange=7360,7375\nseeds=10.1.0.17:8683\nprovider.addr=10.2.0.4:80\n" +
         more;
}

absl::StatusOr<Settings> loadedWith(std::map<std::string, std::string> flags) {
  flags.insert({{"role", "agent"},
                {"cohort", "127.0.0.1:7001"},
                {"operators", "127.0.0.1:7002"},
                {"callers", "127.0.0.1:7003"},
                {"platform", "127.0.0.1:7004"},
                {"seeds", "127.0.0.1:7001"}});
  return loadSettings({"", flags});
}

const ReplicaSet& setSeenBy(World& world, std::size_t machine) {
  return world.core(machine).freshness().replicas();
}

std::map<std::size_t, std::size_t> zoneCounts(World& world, std::size_t seenBy) {
  std::map<std::size_t, std::size_t> counts;
  for (std::size_t zone = 0; zone < 4; ++zone) counts[zone] = 0;
  for (const ReplicaMember& member : setSeenBy(world, seenBy).members) {
    for (std::size_t i = 0; i < world.size(); ++i) {
      if (world.isUp(i) && world.core(i).store() == member.store) ++counts[world.zoneOf(i)];
    }
  }
  return counts;
}

// Settings of a large deployment: five replicas, of which two may be lost at once.
WorldSettings largeDeployment(std::uint64_t seed, std::size_t disks) {
  WorldSettings settings;
  settings.seed = seed;
  settings.bootstrap = true;
  settings.diskMachines = disks;
  settings.edgeMachines = 3;
  settings.losses = {2, 0, 0};
  settings.catchUpSpan = 6s;
  settings.replicasWanted = replicasWanted(settings.losses, {});
  return settings;
}
}  // namespace

TEST_CASE("replica plan: the number of replicas follows the losses to bear") {
  CHECK(replicasWanted({0, 0, 0}, zonesIn(4, 1)) == 3);
  CHECK(replicasWanted({1, 0, 0}, zonesIn(4, 1)) == 3);
  CHECK(replicasWanted({2, 0, 0}, zonesIn(4, 1)) == 5);
  CHECK(replicasWanted({3, 0, 0}, zonesIn(4, 1)) == 7);
  CHECK(replicasWanted({1, 1, 0}, zonesIn(3, 1)) == 3);
  CHECK(replicasWanted({1, 2, 0}, zonesIn(5, 1)) == 5);
  CHECK(replicasWanted({1, 2, 0}, zonesIn(4, 1)) == 3);  // losing two of four zones isn't tolerable
  CHECK(replicasWanted({1, 0, 1}, zonesIn(6, 3)) == 3);
  CHECK(replicasWanted({1, 0, 2}, zonesIn(10, 5)) == 5);
  CHECK(replicasWanted({9, 0, 0}, {}) == 9);
  CHECK(lossesTolerated(3, 3) == 1);
  CHECK(lossesTolerated(4, 4) == 1);
  CHECK(lossesTolerated(5, 5) == 2);
  CHECK(lossesTolerated(6, 4) == 0);
  CHECK(lossesTolerated(5, 2) == -1);
}

TEST_CASE("platform settings: tolerate and catchupS give the replicas and the span of a repair") {
  const auto tolerateTwo = platform::readSettings(
      settingsWith("tolerate.nodes=2\ntolerate.zones=0\ntolerate.regions=0\nbounds.catchupS=6\n"
                   "zones.east=north\nzones.west=north\n"));
  REQUIRE(tolerateTwo.ok());
  CHECK(tolerateTwo->replicasWanted == 5);
  CHECK(tolerateTwo->losses.machines == 2);
  CHECK(tolerateTwo->catchUp == 6s);
  CHECK(tolerateTwo->topology.regionOf("east") == "north");
  const auto zones = platform::readSettings(
      settingsWith("tolerate.nodes=1\ntolerate.zones=2\nzones.a=n\nzones.b=n\nzones.c=n\n"
                   "zones.d=n\nzones.e=n\n"));
  REQUIRE(zones.ok());
  CHECK(zones->replicasWanted == 5);
  CHECK(zones->losses.zones == 2);
  const auto plain = platform::readSettings(settingsWith(""));
  REQUIRE(plain.ok());
  CHECK(plain->replicasWanted == 3);
  const auto wrong = platform::readSettings(settingsWith("tolerate.nodes=some\n"));
  REQUIRE_FALSE(wrong.ok());
  CHECK_THAT(std::string(wrong.status().message()), Contains("tolerate.nodes"));
}

TEST_CASE("settings: losses to bear are checked against the number of replicas") {
  const auto plain = loadedWith({});
  REQUIRE(plain.ok());
  CHECK(plain->replicasWanted == 4);
  CHECK(plain->losses.machines == 1);
  const auto tolerateTwo = loadedWith({{"bear_machines", "2"}, {"catch_up_ms", "6000"}});
  REQUIRE(tolerateTwo.ok());
  CHECK(tolerateTwo->replicasWanted == 5);
  CHECK(tolerateTwo->catchUp == 6s);
  const auto tooFew = loadedWith({{"bear_machines", "2"}, {"copies_wanted", "4"}});
  REQUIRE_FALSE(tooFew.ok());
  CHECK_THAT(std::string(tooFew.status().message()), Contains("copies_wanted") && Contains("5"));
  const auto zones = loadedWith({{"bear_zones", "1"}});
  REQUIRE_FALSE(zones.ok());
  CHECK_THAT(std::string(zones.status().message()), Contains("region_of_zone"));
}

TEST_CASE(
    "sim: five replicas stand soon after the start, and two losses at once leave a majority") {
  Duration slowest{};
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    INFO("seed " << seed);
    World world(largeDeployment(seed, seed % 2 == 0 ? 8 : 5));
    const auto isFull = [&] {
      const ReplicaSet& replicas = setSeenBy(world, world.diskMachines());
      return replicas.members.size() == 5 && replicas.settled;
    };
    while (!isFull() && world.elapsed() < 20s) world.run(50ms);
    slowest = std::max(slowest, world.elapsed() - Duration(1s));  // the world's clock starts at 1 s
    REQUIRE(isFull());
    const std::uint64_t first = world.change(5, 0, "kept");
    world.run(1s);
    REQUIRE(world.operationById(first).done);
    REQUIRE(world.operationById(first).done->result == ChangeResult::Chosen);
    // Two members lose their disks at the same time, right after a change was acknowledged.
    for (std::size_t machine : {0U, 1U}) {
      world.crash(machine, true);
      world.wipeDisk(machine);
    }
    const std::size_t edge = world.diskMachines();
    const std::uint64_t second = world.change(edge, 1, "newer");
    world.run(3s);
    REQUIRE(world.operationById(second).done);
    CHECK(world.operationById(second).done->result == ChangeResult::Chosen);
    for (std::size_t machine : {0U, 1U}) world.start(machine);
    world.run(10s);
    CHECK(isFull());
    CHECK(world.isConverged());
    CHECK(world.core(edge).freshness().configuration().value.body == "newer");
    for (const auto& violation : world.violations()) FAIL_CHECK(violation.what);
  }
  CAPTURE(slowest.count());
  CHECK(slowest < 8s);
}

TEST_CASE("sim: while spares wait the replica set never holds fewer than wanted") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    INFO("seed " << seed);
    World world(largeDeployment(seed, 8));
    REQUIRE(runUntilFounded(world, 20s));
    // Two members are lost for good, one after the other, while spare machines are available.
    std::size_t fewest = 9, last = 9;
    for (std::size_t machine : {0U, 1U}) {
      world.crash(machine, true);
      for (int i = 0; i < 160; ++i) {
        world.run(50ms);
        last = setSeenBy(world, world.diskMachines()).members.size();
        fewest = std::min(fewest, last);
      }
      CHECK(last == 5);
    }
    CHECK(fewest == 5);
    for (const auto& violation : world.violations()) FAIL_CHECK(violation.what);
  }
}

TEST_CASE("sim: replicas are spread over the zones as evenly as the machines allow") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    INFO("seed " << seed);
    World world(largeDeployment(seed, 8));  // two machines in each of four zones
    REQUIRE(runUntilFounded(world, 20s));
    world.run(3s);  // time to exchange a member if a zone became known late
    const auto isEven = [&] {
      for (const auto& [zone, count] : zoneCounts(world, 8)) {
        if (count < 1 || count > 2) return false;
      }
      return true;
    };
    CHECK(isEven());
    world.crash(seed % 3, true);  // for good
    world.run(12s);
    CHECK(setSeenBy(world, 8).members.size() == 5);
    CHECK(isEven());
  }
}

TEST_CASE("sim: where the loss of a zone is to be borne no zone keeps a majority's worth") {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    INFO("seed " << seed);
    WorldSettings settings;
    settings.seed = seed;
    settings.bootstrap = true;
    settings.diskMachines = 6;  // zones 0 to 2, two machines each
    settings.edgeMachines = 3;
    settings.zones = 3;
    settings.losses = {1, 1, 0};
    settings.replicasWanted = 3;
    World world(settings);
    REQUIRE(runUntilFounded(world, 20s));
    // Zone 0 is down for long, so that another zone gets a second replica.
    world.crash(0, true);
    world.crash(3, true);
    world.run(20s);
    REQUIRE(setSeenBy(world, 6).members.size() == 3);
    world.start(0);
    world.start(3);
    world.run(10s);
    for (const auto& [zone, count] : zoneCounts(world, 6)) {
      if (zone < 3) CHECK(count == 1);
    }
    // Therefore the loss of any one zone leaves a majority.
    const std::uint64_t version = world.core(6).freshness().configuration().value.version;
    world.setPartitioned({seed % 3, seed % 3 + 3}, true);
    const std::uint64_t id = world.change(6, version, "kept");
    world.run(3s);
    REQUIRE(world.operationById(id).done);
    CHECK(world.operationById(id).done->result == ChangeResult::Chosen);
    for (const auto& violation : world.violations()) FAIL_CHECK(violation.what);
  }
}
