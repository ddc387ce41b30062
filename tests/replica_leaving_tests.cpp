// Members of the replica set that are told to end, restart in turn, or are slow for a while.
#include <catch2/catch.hpp>

#include <algorithm>

#include "sim/scenario.h"

using namespace quayrill;
using namespace quayrill::sim;
using namespace std::chrono_literals;

namespace {
constexpr Span kAckBound = 4s;

WorldSettings small(std::uint64_t seed, std::size_t disks, std::size_t wanted) {
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

// Operators at the edges ask for one change after the other.
struct Busy {
  World& world;
  std::uint64_t asked = 0, newest = 0;
  std::size_t acknowledged = 0, fewest = 99;
  Span lastAck{}, longestGap{};

  explicit Busy(World& asking) : world(asking), lastAck(asking.elapsed()) {}
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
    fewest = std::min(fewest, replicas().members.size());
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
  void run(Span span) {
    const Span until = world.elapsed() + span;
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

std::size_t someMember(Busy& busy) {
  for (std::size_t i = 0; i < busy.world.diskMachines(); ++i) {
    if (busy.isMember(i)) return i;
  }
  return 0;
}
}  // namespace

TEST_CASE("sim leaving: a member hands its vote to the machine that waits while it still runs") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    INFO("seed " << seed);
    World world(small(seed, 4, 3));
    REQUIRE(runUntilFounded(world, 20s));
    Busy busy(world);
    busy.run(2s);
    const std::size_t leaver = someMember(busy);
    world.leave(leaver);
    const Span told = world.elapsed();
    while (busy.isMember(leaver) && world.elapsed() - told < 6s) busy.step();
    CHECK(world.elapsed() - told < 3s);  // as long as the process stays at the least
    busy.run(1s);
    CHECK_FALSE(world.core(leaver).isHandingOver(world.localNow(leaver)));
    CHECK(busy.fewest == 3);
    // It never comes back, and another member's disk is lost at once.
    world.crash(leaver, false);
    const std::size_t other = someMember(busy);
    world.crash(other, true);
    world.wipeDisk(other);
    world.run(200ms);
    world.start(other);
    busy.run(6s);
    CHECK(busy.longestGap < kAckBound);
    busy.check();
  }
}

TEST_CASE("sim leaving: where no machine waits a member stays unless the rest bears as much") {
  for (const std::size_t members : {3U, 4U, 5U}) {
    INFO(members << " members");
    WorldSettings settings = small(7, members, members);
    settings.reserveMachines = 0;
    World world(settings);
    REQUIRE(runUntilFounded(world, 20s));
    Busy busy(world);
    busy.run(2s);
    world.leave(1);
    busy.run(3s);
    CHECK(busy.isMember(1) == (members % 2 == 1));
    CHECK_FALSE(world.core(1).isHandingOver(world.localNow(1)));
    const Epoch epoch = busy.replicas().epoch;
    world.crash(1, false);
    world.run(700ms);
    world.start(1);
    busy.run(5s);
    CHECK(busy.isMember(1));
    CHECK(busy.replicas().members.size() == members);
    if (members % 2 == 1) CHECK(busy.replicas().epoch == epoch);
    busy.check();
  }
}

TEST_CASE("sim leaving: all machines restarted in turn, 1.3 s apart, while changes come") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    INFO("seed " << seed);
    World world(small(seed, 4, 3));
    REQUIRE(runUntilFounded(world, 20s));
    Busy busy(world);
    busy.run(2s);
    const Span begun = world.elapsed();
    std::vector<std::optional<Span>> told(4), ended(4);
    std::size_t restarted = 0;
    while (restarted < 4 && world.elapsed() - begun < 40s) {
      busy.step();
      const Span now = world.elapsed();
      for (std::size_t i = 0; i < 4; ++i) {
        if (!told[i] && now - begun >= i * 1300ms) {
          world.leave(i);
          told[i] = now;
        } else if (told[i] && !ended[i]) {
          const bool handing = world.core(i).isHandingOver(world.localNow(i));
          if (now - *told[i] < 3s || (handing && now - *told[i] < 6s)) continue;
          world.crash(i, false);
          ended[i] = now;
        } else if (ended[i] && !world.isUp(i) && now - *ended[i] >= 700ms) {
          world.start(i);
          ++restarted;
        }
      }
    }
    CHECK(restarted == 4);
    busy.run(10s);
    CHECK(busy.acknowledged > 20);
    CHECK(busy.longestGap < kAckBound);
    CHECK(busy.fewest >= 3);
    CHECK(busy.replicas().members.size() == 3);
    busy.check();
  }
}

TEST_CASE("sim leaving: a machine whose disk stalls again and again costs a few steps only") {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    INFO("seed " << seed);
    World world(small(seed, 4, 3));
    REQUIRE(runUntilFounded(world, 20s));
    Busy busy(world);
    busy.run(2s);
    const std::size_t stalled = someMember(busy);
    const Epoch before = busy.replicas().epoch;
    for (int stall = 0; stall < 8; ++stall) {
      world.setDiskDelay(stalled, 3500ms);
      busy.run(100ms);
      world.setDiskDelay(stalled, Span{});
      busy.run(6s);
    }
    CHECK(busy.replicas().epoch.value - before.value <= 4);
    CHECK(busy.fewest >= 3);
    CHECK(busy.longestGap < kAckBound);
    busy.check();
  }
}

TEST_CASE("sim leaving: a disk thirty times slower costs no step") {
  World world(small(3, 4, 3));
  REQUIRE(runUntilFounded(world, 20s));
  Busy busy(world);
  busy.run(2s);
  const Epoch before = busy.replicas().epoch;
  world.setDiskDelay(someMember(busy), 150ms);
  busy.run(20s);
  CHECK(busy.replicas().epoch == before);
  CHECK(busy.longestGap < kAckBound);
  busy.check();
}
