// Members of the replica set that leave, restart one after the other, or are slow for a while.
#include <catch2/catch.hpp>

#include <algorithm>

#include "sim/scenario.h"

using namespace quayrill;
using namespace quayrill::sim;
using namespace std::chrono_literals;

namespace {
constexpr Duration kAckBound = 4s;

WorldSettings smallDeployment(std::uint64_t seed, std::size_t disks, std::size_t wanted) {
  WorldSettings settings;
  settings.seed = seed;
  settings.bootstrap = true;
  settings.diskMachines = disks;
  settings.edgeMachines = 4;
  settings.reserveMachines = 2;
  settings.replicasWanted = wanted;
  settings.catchUpSpan = 4s;
  return settings;
}

// A continuous load of configuration changes from operators at edge machines, one at a time.
struct ChangeLoad {
  World& world;
  std::uint64_t asked = 0, newest = 0;
  std::size_t acknowledged = 0, minMembers = 99;
  Duration lastAck{}, longestGap{};

  explicit ChangeLoad(World& loadedWorld) : world(loadedWorld), lastAck(loadedWorld.elapsed()) {}
  std::size_t edge() const { return world.diskMachines(); }
  const ReplicaSet& replicas() { return world.core(edge()).freshness().replicas(); }
  bool isMember(std::size_t machine) {
    if (!world.isUp(machine)) return false;
    const StoreId store = world.core(machine).store();
    return std::any_of(replicas().members.begin(), replicas().members.end(),
                       [&](const ReplicaMember& member) { return member.store == store; });
  }
  void step() {
    world.run(25ms);
    minMembers = std::min(minMembers, replicas().members.size());
    longestGap = std::max(longestGap, world.elapsed() - lastAck);
    if (asked != 0 && !world.operationById(asked).done) return;
    if (asked != 0 && world.operationById(asked).done->result == ChangeResult::Chosen) {
      newest = world.operationById(asked).done->value.version;
      lastAck = world.elapsed();
      ++acknowledged;
    }
    const std::size_t machine = edge() + world.random()() % 4;
    const std::uint64_t known = world.core(machine).freshness().configuration().value.version;
    asked = world.change(machine, std::max(known, newest), "body");
  }
  void run(Duration span) {
    const Duration until = world.elapsed() + span;
    while (world.elapsed() < until) step();
  }
  void check() {
    const std::uint64_t read = world.read(edge());
    world.run(4s);
    REQUIRE(world.operationById(read).done);
    CHECK(world.operationById(read).done->result == ChangeResult::Chosen);
    CHECK(world.operationById(read).done->value.version >= newest);
    world.checkHistory();
    for (const auto& violation : world.violations()) FAIL_CHECK(violation.what);
  }
};

std::size_t someMember(ChangeLoad& load) {
  for (std::size_t i = 0; i < load.world.diskMachines(); ++i) {
    if (load.isMember(i)) return i;
  }
  return 0;
}
}  // namespace

TEST_CASE("sim leaving: a member hands its vote to the machine that waits while it still runs") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    INFO("seed " << seed);
    World world(smallDeployment(seed, 4, 3));
    REQUIRE(runUntilFounded(world, 20s));
    ChangeLoad load(world);
    load.run(2s);
    const std::size_t leaver = someMember(load);
    world.leave(leaver);
    const Duration leaveStartedAt = world.elapsed();
    while (load.isMember(leaver) && world.elapsed() - leaveStartedAt < 6s) load.step();
    CHECK(world.elapsed() - leaveStartedAt < 3s);  // the process runs at least that long
    load.run(1s);
    CHECK_FALSE(world.core(leaver).isHandingOver(world.localNow(leaver)));
    CHECK(load.minMembers == 3);
    // The machine never comes back, and at the same time another member loses its disk.
    world.crash(leaver, false);
    const std::size_t other = someMember(load);
    world.crash(other, true);
    world.wipeDisk(other);
    world.run(200ms);
    world.start(other);
    load.run(6s);
    CHECK(load.longestGap < kAckBound);
    load.check();
  }
}

TEST_CASE("sim leaving: where no machine waits a member stays unless the rest bears as much") {
  for (const std::size_t members : {3U, 4U, 5U}) {
    INFO(members << " members");
    WorldSettings settings = smallDeployment(7, members, members);
    settings.reserveMachines = 0;
    World world(settings);
    REQUIRE(runUntilFounded(world, 20s));
    ChangeLoad load(world);
    load.run(2s);
    world.leave(1);
    load.run(3s);
    CHECK(load.isMember(1) == (members % 2 == 1));
    CHECK_FALSE(world.core(1).isHandingOver(world.localNow(1)));
    const Epoch epoch = load.replicas().epoch;
    world.crash(1, false);
    world.run(700ms);
    world.start(1);
    load.run(5s);
    CHECK(load.isMember(1));
    CHECK(load.replicas().members.size() == members);
    if (members % 2 == 1) CHECK(load.replicas().epoch == epoch);
    load.check();
  }
}

TEST_CASE("sim leaving: all machines restarted in turn, 1.3 s apart, while changes come") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    INFO("seed " << seed);
    World world(smallDeployment(seed, 4, 3));
    REQUIRE(runUntilFounded(world, 20s));
    ChangeLoad load(world);
    load.run(2s);
    const Duration startedAt = world.elapsed();
    std::vector<std::optional<Duration>> leaveStartedAt(4), ended(4);
    std::size_t restarted = 0;
    while (restarted < 4 && world.elapsed() - startedAt < 40s) {
      load.step();
      const Duration now = world.elapsed();
      for (std::size_t i = 0; i < 4; ++i) {
        if (!leaveStartedAt[i] && now - startedAt >= i * 1300ms) {
          world.leave(i);
          leaveStartedAt[i] = now;
        } else if (leaveStartedAt[i] && !ended[i]) {
          const bool isHandingOver = world.core(i).isHandingOver(world.localNow(i));
          if (now - *leaveStartedAt[i] < 3s || (isHandingOver && now - *leaveStartedAt[i] < 6s))
            continue;
          world.crash(i, false);
          ended[i] = now;
        } else if (ended[i] && !world.isUp(i) && now - *ended[i] >= 700ms) {
          world.start(i);
          ++restarted;
        }
      }
    }
    CHECK(restarted == 4);
    load.run(10s);
    CHECK(load.acknowledged > 20);
    CHECK(load.longestGap < kAckBound);
    CHECK(load.minMembers >= 3);
    CHECK(load.replicas().members.size() == 3);
    load.check();
  }
}

TEST_CASE("sim leaving: a machine whose disk stalls again and again costs a few steps only") {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    INFO("seed " << seed);
    World world(smallDeployment(seed, 4, 3));
    REQUIRE(runUntilFounded(world, 20s));
    ChangeLoad load(world);
    load.run(2s);
    const std::size_t stalled = someMember(load);
    const Epoch before = load.replicas().epoch;
    for (int stall = 0; stall < 8; ++stall) {
      world.setDiskDelay(stalled, 3500ms);
      load.run(100ms);
      world.setDiskDelay(stalled, Duration{});
      load.run(6s);
    }
    CHECK(load.replicas().epoch.value - before.value <= 4);
    CHECK(load.minMembers >= 3);
    CHECK(load.longestGap < kAckBound);
    load.check();
  }
}

TEST_CASE("sim leaving: a disk thirty times slower costs no step") {
  World world(smallDeployment(3, 4, 3));
  REQUIRE(runUntilFounded(world, 20s));
  ChangeLoad load(world);
  load.run(2s);
  const Epoch before = load.replicas().epoch;
  world.setDiskDelay(someMember(load), 150ms);
  load.run(20s);
  CHECK(load.replicas().epoch == before);
  CHECK(load.longestGap < kAckBound);
  load.check();
}
