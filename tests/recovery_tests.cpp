// First starts and losses of machines in the simulator, by seed: three replicas on four core
// machines, one of which is a spare.
#include <catch2/catch.hpp>

#include "sim/scenario.h"

using namespace quayrill;
using namespace quayrill::sim;
using namespace std::chrono_literals;

namespace {
WorldSettings fourCoreMachines(std::uint64_t seed) {
  WorldSettings settings;
  settings.seed = seed;
  settings.replicasWanted = 3;
  settings.bootstrap = true;
  settings.leaseSpan = 3s;
  return settings;
}
// The time until `isTrue` holds, checked every 10 ms; about `limit` if it never does.
template <class Condition>
Duration timeUntil(World& world, Duration limit, Condition isTrue) {
  const Duration start = world.elapsed();
  while (world.elapsed() - start < limit && !isTrue()) world.run(10ms);
  return world.elapsed() - start;
}
bool isChosen(World& world, std::uint64_t id) {
  return id != 0 && world.operationById(id).done &&
         world.operationById(id).done->result == ChangeResult::Chosen;
}
// Changes the configuration from `machine` until a change is acknowledged, and returns its version.
std::uint64_t changeAcknowledged(World& world, std::size_t machine, const std::string& body) {
  for (int i = 0; i < 10; ++i) {
    const std::uint64_t known = world.core(machine).freshness().configuration().value.version;
    const std::uint64_t id = world.change(machine, known, body);
    timeUntil(world, 4s, [&] { return world.operationById(id).done.has_value(); });
    if (isChosen(world, id)) return world.operationById(id).done->value.version;
  }
  return 0;
}
// The number of live members in the replica set that `witness` knows; 0 if it isn't settled with
// three members.
std::size_t healthyMembers(World& world, std::size_t witness) {
  const ReplicaSet& replicas = world.core(witness).freshness().replicas();
  std::size_t healthy = 0;
  for (std::size_t i = 0; i < world.diskMachines(); ++i) {
    healthy += std::any_of(
        replicas.members.begin(), replicas.members.end(),
        [&](const auto& member) { return world.isUp(i) && world.core(i).store() == member.store; });
  }
  return replicas.settled && replicas.members.size() == 3 ? healthy : 0;
}
void checkAll(World& world) {
  world.checkHistory();
  for (const auto& violation : world.violations()) FAIL_CHECK(violation.what);
}
}  // namespace

TEST_CASE("sim: a first start founds the replicas of all seeds at once") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    World world(fourCoreMachines(seed));
    CHECK(timeUntil(world, 20s, [&] { return world.isConverged(); }) < 2s);
    const std::uint64_t fleet = world.core(0).freshness().replicas().fleet;
    for (std::size_t i = 0; i < world.size(); ++i) {
      const ReplicaSet& replicas = world.core(i).freshness().replicas();
      CHECK(replicas.fleet == fleet);
      CHECK(replicas.epoch == Epoch{1});
      CHECK(replicas.settled);
      CHECK(replicas.members.size() == 3);
    }
    checkAll(world);
  }
}

TEST_CASE("sim: seeds that die while they found, with or without their disk, found one fleet") {
  std::size_t founded = 0;
  for (std::uint64_t seed = 1; seed <= 120; ++seed) {
    INFO("seed " << seed);
    WorldSettings settings = fourCoreMachines(seed);
    settings.messageLossRate = settings.messageDuplicationRate = 0.15;
    settings.maxMessageDelay = seed % 2 ? 60ms : 8ms;
    World world(settings);
    auto& random = world.random();
    for (std::size_t deaths = 0; deaths < 1 + seed % 3; ++deaths) {
      const std::size_t machine = deaths == 0 ? 0 : random() % 3;
      world.run(std::chrono::milliseconds(random() % 250));
      world.crash(machine, random() % 2 == 0);
      if (random() % 2) world.run(std::chrono::milliseconds(random() % 400));
      // At most one disk is lost, which is what the settings tolerate.
      if (deaths == 0 && seed % 4 < 2) world.wipeDisk(machine);
      world.start(machine);
    }
    timeUntil(world, 40s, [&] { return world.isConverged() && healthyMembers(world, 5) == 3; });
    CHECK(world.isConverged());
    const std::uint64_t fleet = world.core(5).freshness().replicas().fleet;
    for (std::size_t i = 0; i < world.size(); ++i) {
      CHECK(world.core(i).freshness().replicas().fleet == fleet);
    }
    founded += changeAcknowledged(world, 6, "first") > 0;
    checkAll(world);
  }
  CHECK(founded == 120);
}

TEST_CASE("sim: an empty system that was not told that it may found waits to join") {
  WorldSettings settings = fourCoreMachines(7);
  World world(settings);
  for (std::size_t i = 0; i < 4; ++i) {
    world.crash(i, true);
    world.wipeDisk(i);
    world.start(i);
  }
  world.run(30s);
  for (std::size_t i = 0; i < world.size(); ++i)
    CHECK(world.core(i).freshness().replicas().epoch == Epoch{0});
}

TEST_CASE("sim: disks lost one after the other, 4 s after each return, lose nothing") {
  Duration slowest{};
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    World world(fourCoreMachines(seed));
    timeUntil(world, 20s, [&] { return world.isConverged(); });
    world.run(2s);
    for (std::size_t round = 0; round < 6; ++round) {
      const std::string body = "round " + std::to_string(round);
      const std::uint64_t version = changeAcknowledged(world, 5 + round, body);
      REQUIRE(version > 0);
      const std::size_t machine = (seed + round * (seed % 2 ? 1 : 3)) % 4;
      world.crash(machine, true);
      world.wipeDisk(machine);
      world.run(round % 2 ? 3s : 300ms);
      world.start(machine);
      const Duration span = timeUntil(world, 4s, [&] { return healthyMembers(world, 4) == 3; });
      slowest = std::max(slowest, span);
      world.run(4s - span);
      CHECK(world.core(12).freshness().configuration().value.body == body);
    }
    CHECK(world.isConverged());
    checkAll(world);
  }
  INFO("slowest replacement " << std::chrono::duration<double>(slowest).count() << " s");
  CHECK(slowest < 3s);
}

TEST_CASE("sim: all core machines killed at once serve again soon, and so after a power loss") {
  Duration slowest{};
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    World world(fourCoreMachines(seed));
    timeUntil(world, 20s, [&] { return world.isConverged(); });
    world.run(2s);
    REQUIRE(changeAcknowledged(world, 9, "kept") > 0);
    for (std::size_t i = 0; i < 4; ++i) world.crash(i, seed % 3 == 0);
    world.run(900ms);
    for (std::size_t i = 0; i < 4; ++i) world.start(i);
    slowest = std::max(slowest, timeUntil(world, 20s, [&] { return world.isConverged(); }));
    const Duration start = world.elapsed();
    CHECK(changeAcknowledged(world, 8, "after") > 0);
    CHECK(world.elapsed() - start < 1s);
    CHECK(world.core(7).freshness().replicas().members.size() == 3);
    checkAll(world);
  }
  INFO("slowest return " << std::chrono::duration<double>(slowest).count() << " s");
  CHECK(slowest < 2s);
}

TEST_CASE("sim: three of four core machines removed for good, one by one, are replaced") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    World world(fourCoreMachines(seed));
    timeUntil(world, 20s, [&] { return world.isConverged(); });
    world.run(2s);
    for (std::size_t machine = 0; machine < 4; ++machine) {
      const std::string body = "round " + std::to_string(machine);
      REQUIRE(changeAcknowledged(world, 6, body) > 0);
      world.replace(machine);
      CHECK(timeUntil(world, 20s, [&] { return healthyMembers(world, 4) == 3; }) < 9s);
      world.run(4s);
      CHECK(world.core(11).freshness().configuration().value.body == body);
    }
    CHECK(world.isConverged());
    checkAll(world);
  }
}

TEST_CASE("sim: leader roles fall to machines with a store, and a new holder lets the lease pass") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    World world(fourCoreMachines(seed));
    timeUntil(world, 20s, [&] { return world.isConverged(); });
    world.addLeaderRole("orders/x");
    timeUntil(world, 20s, [&] {
      bool held = false;
      for (std::size_t i = 0; i < 4; ++i)
        held = held ||
               world.core(i).heldFence(RegisterKey{"hold/orders/x"}, Duration{}, world.localNow(i));
      return held;
    });
    world.run(2s);
    const RegisterKey role{"hold/orders/x"};
    const auto holder = [&]() -> std::size_t {
      for (std::size_t i = 0; i < world.size(); ++i) {
        if (world.isUp(i) && world.core(i).heldFence(role, Duration{}, world.localNow(i))) return i;
      }
      return world.size();
    };
    const std::size_t first = holder();
    REQUIRE(first < 4);
    for (std::size_t edge = 4; edge < world.size(); ++edge) {
      CHECK_FALSE(world.core(edge).ownsRole("orders/x", world.localNow(edge)));
      CHECK_FALSE(world.core(edge).mayTakeOverRole("orders/x", 60s, world.localNow(edge)));
    }
    for (std::size_t edge = 4; edge < 10; ++edge) {
      world.crash(edge, false);
      world.run(1s);
      CHECK(holder() == first);
      world.start(edge);
    }
    if (seed % 2)
      world.freeze(first, 25s);
    else
      world.crash(first, false);
    const Duration lastHeld = [&] {
      Duration last = world.elapsed();
      while (holder() == first) {
        world.run(10ms);
        last = world.elapsed();
      }
      return last;
    }();
    timeUntil(world, 30s, [&] { return holder() < world.size(); });
    CHECK(holder() < 4);
    CHECK(holder() != first);
    if (seed % 2) CHECK(world.elapsed() - lastHeld >= 3s);
    world.run(25s);  // a frozen machine resumes
    checkAll(world);
  }
}
