#pragma once
// A simulation of servers, lease holders and their clock for the tests of the rollout.
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include "agent/core/rollout.h"

namespace quayrill::tests {

using namespace std::chrono_literals;

inline const ModelName kModel{"m"};
constexpr Duration kListAge = 1800ms;  // the age of the list, including the interval between reads
constexpr Duration kReportAge = 200ms;
constexpr Duration kOrderTimeout = 1500ms;
constexpr Duration kStep = 10ms;

// A simulated server that takes orders and switches its weights.
struct SimulatedServer {
  ServerName name;
  ServerIdentity identity;
  std::uint64_t weights = 1;
  std::uint64_t target = 0;    // 0: no order in progress
  Duration streams{}, load{};  // time left for open streams, and then for loading
  FencingToken highest;
  bool leaving = false;
  bool unresponsive = false;  // accepts and answers nothing; requests time out after kOrderTimeout
  std::deque<std::pair<Instant, std::pair<std::uint64_t, bool>>> pastStates;  // weights, busy
  std::size_t orders = 0;

  std::pair<std::uint64_t, bool> asOf(Instant at) const {
    std::pair<std::uint64_t, bool> seen = pastStates.front().second;
    for (const auto& [when, what] : pastStates) {
      if (when <= at) seen = what;
    }
    return seen;
  }
};

// A daemon that may hold the lease.
struct LeaseHolder {
  explicit LeaseHolder(RolloutSettings settings) : rollout(kModel, settings) {}
  Rollout rollout;
  ServerNotes notes;
  std::optional<FencingToken> fence;
  bool up = true;
  std::vector<std::pair<Instant, WeightsOrder>> pendingOrders;  // unanswered orders
  std::vector<std::pair<Instant, std::pair<ReportRequest, Instant>>>
      pendingReports;  // unanswered report requests
};

// The simulation. The tests set a holder's fence to give it the lease.
struct RolloutSimulation {
  RolloutSimulation(int count, Duration load, Duration bound, Duration takeoverWait = {})
      : loadSpan(load), bound(bound) {
    for (int i = 0; i < count; ++i) {
      SimulatedServer server;
      server.name = ServerName{"10.0." + std::to_string(i / 5) + "." + std::to_string(i) + ":1"};
      server.identity = ServerIdentity{"i" + std::to_string(i)};
      server.pastStates.push_back({now, {1, false}});
      servers.push_back(server);
    }
    history.setNewest(WeightsVersion{"1"}, std::nullopt);
    for (int i = 0; i < 2; ++i) holders.emplace_back(RolloutSettings{bound, takeoverWait});
  }
  SimulatedServer& at(const ServerName& name) {
    return *std::find_if(servers.begin(), servers.end(),
                         [&](const SimulatedServer& server) { return server.name == name; });
  }
  OrderAnswer receiveOrder(const WeightsOrder& order) {
    SimulatedServer& server = at(order.server);
    ++orders;
    ++server.orders;
    if (order.identity != server.identity) return OrderAnswer::Refused;
    if (order.fence < server.highest) return OrderAnswer::Fenced;
    arrivals.push_back({now, order.fence});
    server.highest = order.fence;
    if (server.target > 0) return OrderAnswer::Busy;
    const std::uint64_t target = std::stoull(order.weights.value);
    if (server.weights == target) return OrderAnswer::AlreadyHolds;
    server.target = target;
    server.streams = 500ms;
    server.load = loadSpan;
    return OrderAnswer::Taken;
  }
  void stepServers() {
    const auto loading =
        std::count_if(servers.begin(), servers.end(), [](const SimulatedServer& server) {
          return server.target > 0 && server.streams <= Duration{};
        });
    std::size_t switching = 0;
    for (SimulatedServer& server : servers) {
      if (server.target > 0) {
        ++switching;
        if (server.streams > Duration{})
          server.streams -= kStep;
        else
          server.load -= kStep * 3 / std::max<long>(3, loading);
        if (server.load <= Duration{}) {
          server.weights = server.target;
          server.target = 0;
        }
      }
      server.pastStates.push_back({now, {server.weights, server.target > 0}});
      while (server.pastStates.size() > 300) server.pastStates.pop_front();
      // The time of a version counts from the first naming that superseded it.
      const auto newer = namings.upper_bound(server.weights);
      if (newer != namings.end()) longestBehind = std::max(longestBehind, now - newer->second);
    }
    mostSwitching = std::max(mostSwitching, switching);
  }
  void apply(LeaseHolder& holder, const RolloutEffects& effects) {
    for (const WeightsOrder& order : effects.orders)
      holder.pendingOrders.push_back(
          {now + (at(order.server).unresponsive ? kOrderTimeout : 5ms), order});
    for (const ReportRequest& ask : effects.reportRequests) {
      holder.pendingReports.push_back({now + 5ms, {ask, now}});
      ++reportRequests;
    }
    for (const ServerNote& note : effects.notes) {
      for (LeaseHolder& other : holders) other.notes.onNote(note, now);
      ++noteCount;
    }
  }
  void stepHolder(LeaseHolder& holder) {
    if (!holder.up) return;
    if ((now.time_since_epoch() / kStep) % 5 == 0) {
      RolloutView view;
      view.weights = history;
      view.fence = holder.fence;
      for (const SimulatedServer& server : servers) {
        const auto shown = std::to_string(server.asOf(now - kListAge).first);
        const auto known =
            holder.notes.overlay(server.name, server.identity, WeightsVersion{shown}, now);
        view.servers.push_back(
            {server.name, server.identity, known.weights, !server.leaving, known.switching});
      }
      RolloutEffects effects;
      holder.rollout.onTick(view, now, &effects);
      if (!view.fence) CHECK(effects.orders.empty());
      apply(holder, effects);
    }
    const auto pendingOrders = std::exchange(holder.pendingOrders, {});
    for (const auto& [when, order] : pendingOrders) {
      if (when > now) {
        holder.pendingOrders.push_back({when, order});
        continue;
      }
      OrderAnswer answer = OrderAnswer::Unclear;
      if (ordersToLose > 0)
        --ordersToLose;  // the order is lost
      else if (!at(order.server).unresponsive)
        answer = receiveOrder(order);
      if (answersToLose > 0) {
        --answersToLose;
        answer = OrderAnswer::Unclear;
      }
      answers.push_back(answer);
      RolloutEffects effects;
      holder.rollout.onOrderAnswer(order, answer, now, &effects);
      apply(holder, effects);
    }
    const auto pendingReports = std::exchange(holder.pendingReports, {});
    for (const auto& [when, ask] : pendingReports) {
      if (when > now) {
        holder.pendingReports.push_back({when, ask});
        continue;
      }
      const auto [weights, busy] = at(ask.first.server).asOf(now - kReportAge);
      std::optional<WeightsReport> report =
          WeightsReport{kModel, WeightsVersion{std::to_string(weights)}, busy};
      if (losesReports && ++reportCount % 3 != 0) report.reset();
      if (at(ask.first.server).unresponsive) report.reset();
      RolloutEffects effects;
      holder.rollout.onReport(ask.first, report, ask.second, now, &effects);
      apply(holder, effects);
    }
  }
  void run(Duration span) {
    for (const Instant until = now + span; now < until;) {
      now += kStep;
      stepServers();
      for (LeaseHolder& holder : holders) stepHolder(holder);
    }
  }
  void name(std::uint64_t weights) {
    history.setNewest(WeightsVersion{std::to_string(weights)}, now);
    namedAt = now;
    namings[weights] = now;
  }
  bool allOn(std::uint64_t weights) const {
    return std::all_of(servers.begin(), servers.end(),
                       [&](const SimulatedServer& server) { return server.weights == weights; });
  }
  Duration untilAllOn(std::uint64_t weights, Duration limit = 60s) {
    while (!allOn(weights) && now - namedAt < limit) run(kStep);
    return now - namedAt;
  }

  Duration loadSpan, bound;
  Instant now{1000s};
  Instant namedAt{};
  WeightsHistory history;
  std::map<std::uint64_t, Instant> namings;  // when each version was named
  Duration longestBehind{};  // the longest time that a server kept a superseded version
  std::vector<SimulatedServer> servers;
  std::deque<LeaseHolder> holders;
  std::vector<std::pair<Instant, FencingToken>> arrivals;
  std::vector<OrderAnswer> answers;
  std::size_t mostSwitching = 0, orders = 0, reportRequests = 0, noteCount = 0;
  int ordersToLose = 0, answersToLose = 0, reportCount = 0;
  bool losesReports = false;
};

}  // namespace quayrill::tests
