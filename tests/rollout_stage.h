#pragma once
// Servers, holders of the lease and their clocks, played for the tests of the roll-out.
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include "agent/core/rollout.h"

namespace quayrill::tests {

using namespace std::chrono_literals;

inline const ModelName kModel{"m"};
constexpr Span kListLag = 1800ms;  // the list's own and that of its reading
constexpr Span kReportLag = 200ms;
constexpr Span kOrderDue = 1500ms;
constexpr Span kStep = 10ms;

struct Played {
  ServerName name;
  ServerIdentity identity;
  std::uint64_t weights = 1;
  std::uint64_t target = 0;  // 0: no order under way
  Span streams{}, load{};    // what is left of each
  Fence highest;
  bool leaving = false;
  bool mute = false;  // it takes nothing and answers nothing, which shows after kOrderDue
  std::deque<std::pair<Instant, std::pair<std::uint64_t, bool>>> past;  // weights, busy
  std::size_t orders = 0;

  std::pair<std::uint64_t, bool> asOf(Instant at) const {
    std::pair<std::uint64_t, bool> seen = past.front().second;
    for (const auto& [when, what] : past) {
      if (when <= at) seen = what;
    }
    return seen;
  }
};

struct Holder {
  explicit Holder(RolloutSettings settings) : rollout(kModel, settings) {}
  Rollout rollout;
  ServerNotes notes;
  std::optional<Fence> fence;
  bool up = true;
  std::vector<std::pair<Instant, WeightsOrder>> calls;                      // open orders
  std::vector<std::pair<Instant, std::pair<ReportRequest, Instant>>> asks;  // open questions
};

struct Bench {
  Bench(int count, Span load, Span due, Span takeoverWait = {}) : loadSpan(load), due(due) {
    for (int i = 0; i < count; ++i) {
      Played server;
      server.name = ServerName{"10.0." + std::to_string(i / 5) + "." + std::to_string(i) + ":1"};
      server.identity = ServerIdentity{"i" + std::to_string(i)};
      server.past.push_back({now, {1, false}});
      servers.push_back(server);
    }
    history.name(WeightsVersion{"1"}, std::nullopt);
    for (int i = 0; i < 2; ++i) holders.emplace_back(RolloutSettings{due, takeoverWait});
  }
  Played& at(const ServerName& name) {
    return *std::find_if(servers.begin(), servers.end(),
                         [&](const Played& server) { return server.name == name; });
  }
  OrderAnswer take(const WeightsOrder& order) {
    Played& server = at(order.server);
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
  void playServers() {
    const auto loading = std::count_if(servers.begin(), servers.end(), [](const Played& server) {
      return server.target > 0 && server.streams <= Span{};
    });
    std::size_t switching = 0;
    for (Played& server : servers) {
      if (server.target > 0) {
        ++switching;
        if (server.streams > Span{})
          server.streams -= kStep;
        else
          server.load -= kStep * 3 / std::max<long>(3, loading);
        if (server.load <= Span{}) {
          server.weights = server.target;
          server.target = 0;
        }
      }
      server.past.push_back({now, {server.weights, server.target > 0}});
      while (server.past.size() > 300) server.past.pop_front();
      // The naming that put this server's version out of date starts the time it has left.
      const auto newer = namings.upper_bound(server.weights);
      if (newer != namings.end()) longestBehind = std::max(longestBehind, now - newer->second);
    }
    mostSwitching = std::max(mostSwitching, switching);
  }
  void apply(Holder& holder, const RolloutEffects& made) {
    for (const WeightsOrder& order : made.orders)
      holder.calls.push_back({now + (at(order.server).mute ? kOrderDue : 5ms), order});
    for (const ReportRequest& ask : made.reportRequests) {
      holder.asks.push_back({now + 5ms, {ask, now}});
      ++reportRequests;
    }
    for (const ServerNote& note : made.notes) {
      for (Holder& other : holders) other.notes.onNote(note, now);
      ++noteCount;
    }
  }
  void playHolder(Holder& holder) {
    if (!holder.up) return;
    if ((now.time_since_epoch() / kStep) % 5 == 0) {
      RolloutView view;
      view.weights = history;
      view.fence = holder.fence;
      for (const Played& server : servers) {
        const auto shown = std::to_string(server.asOf(now - kListLag).first);
        const auto known =
            holder.notes.overlay(server.name, server.identity, WeightsVersion{shown}, now);
        view.servers.push_back(
            {server.name, server.identity, known.weights, !server.leaving, known.switching});
      }
      RolloutEffects made;
      holder.rollout.onTick(view, now, &made);
      if (!view.fence) CHECK(made.orders.empty());
      apply(holder, made);
    }
    const auto calls = std::exchange(holder.calls, {});
    for (const auto& [when, order] : calls) {
      if (when > now) {
        holder.calls.push_back({when, order});
        continue;
      }
      OrderAnswer answer = OrderAnswer::Unclear;
      if (losesOrder > 0)
        --losesOrder;  // it never gets there
      else if (!at(order.server).mute)
        answer = take(order);
      if (losesAnswer > 0) {
        --losesAnswer;
        answer = OrderAnswer::Unclear;
      }
      answers.push_back(answer);
      RolloutEffects made;
      holder.rollout.onOrderAnswer(order, answer, now, &made);
      apply(holder, made);
    }
    const auto asks = std::exchange(holder.asks, {});
    for (const auto& [when, ask] : asks) {
      if (when > now) {
        holder.asks.push_back({when, ask});
        continue;
      }
      const auto [weights, busy] = at(ask.first.server).asOf(now - kReportLag);
      std::optional<WeightsReport> report =
          WeightsReport{kModel, WeightsVersion{std::to_string(weights)}, busy};
      if (refusesReports && ++refusals % 3 != 0) report.reset();
      if (at(ask.first.server).mute) report.reset();
      RolloutEffects made;
      holder.rollout.onReport(ask.first, report, ask.second, now, &made);
      apply(holder, made);
    }
  }
  void run(Span span) {
    for (const Instant until = now + span; now < until;) {
      now += kStep;
      playServers();
      for (Holder& holder : holders) playHolder(holder);
    }
  }
  void name(std::uint64_t weights) {
    history.name(WeightsVersion{std::to_string(weights)}, now);
    namedAt = now;
    namings[weights] = now;
  }
  bool allOn(std::uint64_t weights) const {
    return std::all_of(servers.begin(), servers.end(),
                       [&](const Played& server) { return server.weights == weights; });
  }
  Span untilAllOn(std::uint64_t weights, Span limit = 60s) {
    while (!allOn(weights) && now - namedAt < limit) run(kStep);
    return now - namedAt;
  }

  Span loadSpan, due;
  Instant now{1000s};
  Instant namedAt{};
  WeightsHistory history;
  std::map<std::uint64_t, Instant> namings;  // each version, by when it was named
  Span longestBehind{};                      // the longest that a server kept a superseded version
  std::vector<Played> servers;
  std::deque<Holder> holders;
  std::vector<std::pair<Instant, Fence>> arrivals;
  std::vector<OrderAnswer> answers;
  std::size_t mostSwitching = 0, orders = 0, reportRequests = 0, noteCount = 0;
  int losesOrder = 0, losesAnswer = 0, refusals = 0;
  bool refusesReports = false;
};

}  // namespace quayrill::tests
