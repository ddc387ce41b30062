// The orders of a roll-out: lost, refused, fenced off, given again.
#include "rollout_stage.h"

using namespace quayrill;
using namespace quayrill::tests;
using namespace std::chrono_literals;

namespace {
// Version 2 was named at `at`, after version 1.
WeightsHistory secondNamedAt(Instant at) {
  WeightsHistory history;
  history.name(WeightsVersion{"1"}, std::nullopt);
  history.name(WeightsVersion{"2"}, at);
  return history;
}
}  // namespace

TEST_CASE("rollout: a holder whose fence is passed stops and orders under it no more") {
  Bench bench(6, 1800ms, 15s);
  bench.servers[0].highest = bench.servers[1].highest = Fence{9};
  for (Played& server : bench.servers) server.highest = Fence{9};
  bench.holders[0].fence = Fence{8};
  bench.name(2);
  bench.run(2s);
  CHECK(bench.holders[0].rollout.isFencedOff(Fence{8}));
  CHECK(bench.holders[0].rollout.isIdle());
  const std::size_t before = bench.orders;
  CHECK(before <= 2);
  bench.run(5s);
  CHECK(bench.orders == before);
  bench.holders[0].fence = Fence{10};
  bench.untilAllOn(2);
  CHECK(bench.allOn(2));
}

TEST_CASE("rollout: an order that was lost is given again, one whose answer was lost is not") {
  Bench lost(6, 1800ms, 15s);
  lost.losesOrder = 2;
  lost.holders[0].fence = Fence{7};
  lost.name(2);
  CHECK(lost.untilAllOn(2) < 15s);
  CHECK(lost.orders == 6);  // of those that got there
  Bench unclear(6, 1800ms, 15s);
  unclear.losesAnswer = 3;
  unclear.holders[0].fence = Fence{7};
  unclear.name(2);
  CHECK(unclear.untilAllOn(2) < 15s);
  CHECK(unclear.orders == 6);
}

TEST_CASE("rollout: where reports are turned away it takes a little longer, and ends") {
  Bench bench(18, 1800ms, 15s);
  bench.refusesReports = true;
  bench.holders[0].fence = Fence{7};
  bench.name(2);
  CHECK(bench.untilAllOn(2) < 18s);
  CHECK(bench.orders == 18);
}

TEST_CASE("rollout: a server that restarts on an old version, and a new one, are ordered too") {
  Bench bench(6, 1800ms, 15s);
  bench.holders[0].fence = Fence{7};
  bench.name(2);
  REQUIRE(bench.untilAllOn(2) < 15s);
  bench.run(5s);
  Played& back = bench.servers[3];
  back.identity = ServerIdentity{"again"};
  back.weights = 1;
  back.highest = {};
  back.past.assign(1, {bench.now, {1, false}});
  bench.run(6s);
  CHECK(bench.allOn(2));
  CHECK(bench.orders == 7);
}

TEST_CASE("rollout: a refusal drops that life of a server until it is listed anew") {
  Bench bench(3, 1800ms, 15s);
  bench.holders[0].fence = Fence{7};
  Played& other = bench.servers[1];
  const ServerIdentity listed = other.identity;
  bench.name(2);
  // Another server is at its address, and the list does not show it yet.
  RolloutView view{
      secondNamedAt(bench.now - 1s), {{other.name, listed, WeightsVersion{"1"}, true}}, Fence{7}};
  Rollout rollout(kModel, {15s, {}});
  RolloutEffects made;
  rollout.onTick(view, bench.now, &made);
  REQUIRE(made.orders.size() == 1);
  rollout.onOrderAnswer(made.orders[0], OrderAnswer::Refused, bench.now, &made);
  RolloutEffects later;
  for (int i = 1; i < 100; ++i) rollout.onTick(view, bench.now + i * 100ms, &later);
  CHECK(later.orders.empty());
  CHECK(rollout.isIdle());
  CHECK_FALSE(rollout.wantsLease(view));
  view.servers[0].identity = ServerIdentity{"other"};
  CHECK(rollout.wantsLease(view));
  rollout.onTick(view, bench.now + 11s, &later);
  CHECK(later.orders.size() == 1);
}

TEST_CASE("rollout: a version that a server doesn't know yet is ordered again, ever later") {
  const Instant start{1000s};
  const RolloutView view{secondNamedAt(start - 1s),
                         {{ServerName{"s"}, ServerIdentity{"i"}, WeightsVersion{"1"}, true}},
                         Fence{7}};
  Rollout rollout(kModel, {15s, {}});
  std::vector<Instant> ordered;
  for (Instant now = start; now < start + 20s; now += 50ms) {
    RolloutEffects made;
    rollout.onTick(view, now, &made);
    if (made.orders.empty()) continue;
    ordered.push_back(now);
    rollout.onOrderAnswer(made.orders[0], OrderAnswer::UnknownVersion, now, &made);
    CHECK(rollout.isIdle());
    CHECK(rollout.wantsLease(view));
  }
  REQUIRE(ordered.size() >= 5);
  CHECK(ordered.size() <= 8);
  CHECK(ordered[1] - ordered[0] <= 1s);
  for (std::size_t i = 2; i < ordered.size(); ++i)
    CHECK(ordered[i] - ordered[i - 1] >= ordered[i - 1] - ordered[i - 2]);
  // Once it knows the version it is brought to it.
  RolloutEffects made, done;
  rollout.onTick(view, start + 30s, &made);
  REQUIRE(made.orders.size() == 1);
  rollout.onOrderAnswer(made.orders[0], OrderAnswer::AlreadyHolds, start + 30s, &done);
  CHECK_FALSE(rollout.wantsLease(view));
}

TEST_CASE("rollout: a holder that is fenced off still has the orders open that it gave before") {
  RolloutView view{secondNamedAt(Instant{1000s} - 14s), {}, Fence{7}};
  for (const char* name : {"a", "b", "c", "d"})
    view.servers.push_back({ServerName{name}, ServerIdentity{"i"}, WeightsVersion{"1"}, true});
  Rollout rollout(kModel, {15s, {}});
  const Instant now{1000s};
  RolloutEffects made, later;
  rollout.onTick(view, now, &made);
  REQUIRE(made.orders.size() == 2);
  rollout.onOrderAnswer(made.orders[0], OrderAnswer::Fenced, now, &later);
  CHECK(rollout.isFencedOff(Fence{7}));
  CHECK(rollout.hasOpenOrder());
  rollout.onTick(view, now + 50ms, &later);
  CHECK(later.orders.empty());
  rollout.onOrderAnswer(made.orders[1], OrderAnswer::Unclear, now + 1s, &later);
  CHECK_FALSE(rollout.hasOpenOrder());
}

TEST_CASE("rollout: servers that answer nothing hold no places of those that do") {
  Bench bench(18, 1800ms, 15s);
  for (std::size_t i = 0; i < 9; ++i) bench.servers[2 * i].mute = true;
  bench.holders[0].fence = Fence{7};
  bench.name(2);
  bench.run(10s);
  for (std::size_t i = 0; i < 9; ++i) CHECK(bench.servers[2 * i + 1].weights == 2);
  // Once they answer they are brought there too.
  for (Played& server : bench.servers) server.mute = false;
  bench.run(15s);
  CHECK(bench.allOn(2));
}
