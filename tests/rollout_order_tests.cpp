// The orders of a rollout: lost, refused, fenced off or repeated.
#include "rollout_stage.h"

using namespace quayrill;
using namespace quayrill::tests;
using namespace std::chrono_literals;

namespace {
// Version 2 was named at `at`, after version 1.
WeightsHistory secondNamedAt(Instant at) {
  WeightsHistory history;
  history.setNewest(WeightsVersion{"1"}, std::nullopt);
  history.setNewest(WeightsVersion{"2"}, at);
  return history;
}
}  // namespace

TEST_CASE("rollout: a holder whose fence is passed stops and orders under it no more") {
  RolloutSimulation simulation(6, 1800ms, 15s);
  simulation.servers[0].highest = simulation.servers[1].highest = FencingToken{9};
  for (SimulatedServer& server : simulation.servers) server.highest = FencingToken{9};
  simulation.holders[0].fence = FencingToken{8};
  simulation.name(2);
  simulation.run(2s);
  CHECK(simulation.holders[0].rollout.isFencedOff(FencingToken{8}));
  CHECK(simulation.holders[0].rollout.isIdle());
  const std::size_t before = simulation.orders;
  CHECK(before <= 2);
  simulation.run(5s);
  CHECK(simulation.orders == before);
  simulation.holders[0].fence = FencingToken{10};
  simulation.untilAllOn(2);
  CHECK(simulation.allOn(2));
}

TEST_CASE("rollout: an order that was lost is given again, one whose answer was lost is not") {
  RolloutSimulation lost(6, 1800ms, 15s);
  lost.ordersToLose = 2;
  lost.holders[0].fence = FencingToken{7};
  lost.name(2);
  CHECK(lost.untilAllOn(2) < 15s);
  CHECK(lost.orders == 6);  // the orders that arrived
  RolloutSimulation unclear(6, 1800ms, 15s);
  unclear.answersToLose = 3;
  unclear.holders[0].fence = FencingToken{7};
  unclear.name(2);
  CHECK(unclear.untilAllOn(2) < 15s);
  CHECK(unclear.orders == 6);
}

TEST_CASE("rollout: where reports are turned away it takes a little longer, and ends") {
  RolloutSimulation simulation(18, 1800ms, 15s);
  simulation.losesReports = true;
  simulation.holders[0].fence = FencingToken{7};
  simulation.name(2);
  CHECK(simulation.untilAllOn(2) < 18s);
  CHECK(simulation.orders == 18);
}

TEST_CASE("rollout: a server that restarts on an old version, and a new one, are ordered too") {
  RolloutSimulation simulation(6, 1800ms, 15s);
  simulation.holders[0].fence = FencingToken{7};
  simulation.name(2);
  REQUIRE(simulation.untilAllOn(2) < 15s);
  simulation.run(5s);
  SimulatedServer& restarted = simulation.servers[3];
  restarted.identity = ServerIdentity{"again"};
  restarted.weights = 1;
  restarted.highest = {};
  restarted.pastStates.assign(1, {simulation.now, {1, false}});
  simulation.run(6s);
  CHECK(simulation.allOn(2));
  CHECK(simulation.orders == 7);
}

TEST_CASE("rollout: a refusal drops that life of a server until it is listed anew") {
  RolloutSimulation simulation(3, 1800ms, 15s);
  simulation.holders[0].fence = FencingToken{7};
  SimulatedServer& other = simulation.servers[1];
  const ServerIdentity listed = other.identity;
  simulation.name(2);
  // Another server has taken the address, and the list doesn't show it yet.
  RolloutView view{secondNamedAt(simulation.now - 1s),
                   {{other.name, listed, WeightsVersion{"1"}, true}},
                   FencingToken{7}};
  Rollout rollout(kModel, {15s, {}});
  RolloutEffects effects;
  rollout.onTick(view, simulation.now, &effects);
  REQUIRE(effects.orders.size() == 1);
  rollout.onOrderAnswer(effects.orders[0], OrderAnswer::Refused, simulation.now, &effects);
  RolloutEffects later;
  for (int i = 1; i < 100; ++i) rollout.onTick(view, simulation.now + i * 100ms, &later);
  CHECK(later.orders.empty());
  CHECK(rollout.isIdle());
  CHECK_FALSE(rollout.wantsLease(view));
  view.servers[0].identity = ServerIdentity{"other"};
  CHECK(rollout.wantsLease(view));
  rollout.onTick(view, simulation.now + 11s, &later);
  CHECK(later.orders.size() == 1);
}

TEST_CASE("rollout: a version that a server doesn't know yet is ordered again, ever later") {
  const Instant start{1000s};
  const RolloutView view{secondNamedAt(start - 1s),
                         {{ServerName{"s"}, ServerIdentity{"i"}, WeightsVersion{"1"}, true}},
                         FencingToken{7}};
  Rollout rollout(kModel, {15s, {}});
  std::vector<Instant> ordered;
  for (Instant now = start; now < start + 20s; now += 50ms) {
    RolloutEffects effects;
    rollout.onTick(view, now, &effects);
    if (effects.orders.empty()) continue;
    ordered.push_back(now);
    rollout.onOrderAnswer(effects.orders[0], OrderAnswer::UnknownVersion, now, &effects);
    CHECK(rollout.isIdle());
    CHECK(rollout.wantsLease(view));
  }
  REQUIRE(ordered.size() >= 5);
  CHECK(ordered.size() <= 8);
  CHECK(ordered[1] - ordered[0] <= 1s);
  for (std::size_t i = 2; i < ordered.size(); ++i)
    CHECK(ordered[i] - ordered[i - 1] >= ordered[i - 1] - ordered[i - 2]);
  // Once the server knows the version, it is switched to it.
  RolloutEffects effects, done;
  rollout.onTick(view, start + 30s, &effects);
  REQUIRE(effects.orders.size() == 1);
  rollout.onOrderAnswer(effects.orders[0], OrderAnswer::AlreadyHolds, start + 30s, &done);
  CHECK_FALSE(rollout.wantsLease(view));
}

TEST_CASE("rollout: a holder that is fenced off still has the orders open that it gave before") {
  RolloutView view{secondNamedAt(Instant{1000s} - 14s), {}, FencingToken{7}};
  for (const char* name : {"a", "b", "c", "d"})
    view.servers.push_back({ServerName{name}, ServerIdentity{"i"}, WeightsVersion{"1"}, true});
  Rollout rollout(kModel, {15s, {}});
  const Instant now{1000s};
  RolloutEffects effects, later;
  rollout.onTick(view, now, &effects);
  REQUIRE(effects.orders.size() == 2);
  rollout.onOrderAnswer(effects.orders[0], OrderAnswer::Fenced, now, &later);
  CHECK(rollout.isFencedOff(FencingToken{7}));
  CHECK(rollout.hasOpenOrder());
  rollout.onTick(view, now + 50ms, &later);
  CHECK(later.orders.empty());
  rollout.onOrderAnswer(effects.orders[1], OrderAnswer::Unclear, now + 1s, &later);
  CHECK_FALSE(rollout.hasOpenOrder());
}

TEST_CASE("rollout: servers that answer nothing hold no places of those that do") {
  RolloutSimulation simulation(18, 1800ms, 15s);
  for (std::size_t i = 0; i < 9; ++i) simulation.servers[2 * i].unresponsive = true;
  simulation.holders[0].fence = FencingToken{7};
  simulation.name(2);
  simulation.run(10s);
  for (std::size_t i = 0; i < 9; ++i) CHECK(simulation.servers[2 * i + 1].weights == 2);
  // Once they answer, they are switched too.
  for (SimulatedServer& server : simulation.servers) server.unresponsive = false;
  simulation.run(15s);
  CHECK(simulation.allOn(2));
}
