// How daemons share the platform's list: which of them reads it, and when the others learn of it.
// Clocks, network and platform are simulated.
#include <catch2/catch.hpp>

#include <functional>

#include "agent/core/server_list.h"

using namespace quayrill;
using namespace std::chrono_literals;

namespace {
constexpr Duration kDelay = 2ms;      // delay of a message
constexpr Duration kReadTime = 40ms;  // time that the platform takes to answer
constexpr Duration kFailureDetection =
    6s;  // until the others no longer count a silent daemon as live

Address daemon(std::size_t number) { return Address{"10.0.0." + std::to_string(number) + ":7"}; }

std::vector<ListedServer> rowsOf(int version) {
  std::vector<ListedServer> rows;
  for (int i = 0; i < 18; ++i) {
    ListedServer row{ServerName{"10.9.0." + std::to_string(10 + i) + ":1"}, "z"};  // sorted
    row.identity = ServerIdentity{"i-" + std::to_string(i == 0 ? version : 0)};
    rows.push_back(row);
  }
  return rows;
}

// A fleet of daemons. `alone`: partitioned from all others; `blind`: the platform doesn't answer.
struct Fleet {
  struct Node {
    ServerList list;
    Duration offset;  // of the node's clock, as clocks are unrelated
    bool up = true, alone = false, blind = false;
    std::optional<Instant> downAt{};
    std::optional<Instant> readingSince{};
    Instant calledAt{};
  };
  struct Flight {
    Instant at;
    std::size_t to;
    Envelope envelope;
  };
  Fleet(std::size_t count, double rate, Duration interval) {
    for (std::size_t i = 0; i < count; ++i)
      nodes.push_back({ServerList({daemon(i), interval, rate}), 1000s * static_cast<int>(i + 1)});
  }
  Instant local(const Node& node) const { return now + node.offset; }
  ListPeers peers(std::size_t self) const {
    ListPeers peers{{}, nodes.size()};
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      const bool isFailed = nodes[i].downAt && now - *nodes[i].downAt > kFailureDetection;
      const bool isPartitioned =
          (nodes[self].alone || nodes[i].alone) && partitionedFor > kFailureDetection;
      if (i == self || (!isFailed && !isPartitioned)) peers.order.push_back(daemon(i));
    }
    return peers;
  }
  void deliver(std::size_t from, std::vector<Envelope> sends) {
    for (Envelope& envelope : sends) {
      for (std::size_t to = 0; to < nodes.size(); ++to) {
        if (envelope.to != daemon(to) || nodes[from].alone || nodes[to].alone) continue;
        if (loses && loses(from, to)) continue;
        flights.push_back({now + kDelay, to, std::move(envelope)});
        break;
      }
    }
  }
  void step() {
    now += 1ms;
    if (std::any_of(nodes.begin(), nodes.end(), [](const Node& n) { return n.alone; }))
      partitionedFor += 1ms;
    std::vector<Flight> arrived;
    std::erase_if(flights, [&](Flight& flight) {
      if (flight.at > now) return false;
      arrived.push_back(std::move(flight));
      return true;
    });
    for (Flight& flight : arrived) {
      Node& node = nodes[flight.to];
      if (!node.up) continue;
      std::vector<Envelope> sends;
      if (const auto* ask = std::get_if<ServerListRequest>(&flight.envelope.body))
        node.list.onAsk(flight.envelope.from, *ask, local(node), &sends);
      if (const auto* answer = std::get_if<ServerListResponse>(&flight.envelope.body))
        node.list.onAnswer(*answer, local(node), &sends);
      deliver(flight.to, std::move(sends));
    }
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      Node& node = nodes[i];
      if (!node.up) continue;
      std::vector<Envelope> sends;
      if (node.readingSince && now - *node.readingSince >= kReadTime) {
        const Instant askedAt = *node.readingSince + node.offset;
        node.readingSince.reset();
        if (node.blind || platformDown) {
          node.list.onReadFailed(1, overRate, local(node));
        } else {
          lastReading = now;
          node.list.onReadDone(content, askedAt, 1, local(node), &sends);
        }
      }
      if ((now.time_since_epoch() / 1ms + static_cast<long>(i) * 7) % 50 == 0 &&
          node.list.onTick(peers(i), local(node), &sends)) {
        calls.push_back(now);
        leastPause = std::min(leastPause, now - node.calledAt);
        node.calledAt = now;
        node.readingSince = now;
      }
      deliver(i, std::move(sends));
      if (node.list.readAt()) {
        // The estimated age may only be too high: no list may appear newer than the newest call.
        if (local(node) - *node.list.readAt() < now - newestCall()) tooYoung = true;
      }
    }
  }
  Instant newestCall() const { return calls.empty() ? Instant{} : calls.back(); }
  void run(Duration span) {
    for (const Instant until = now + span; now < until;) step();
  }
  bool allKnow(const std::vector<ListedServer>& rows) const {
    return std::all_of(nodes.begin(), nodes.end(), [&](const Node& node) {
      return !node.up || node.alone || node.list.rows() == rows;
    });
  }
  Duration untilAllKnow(const std::vector<ListedServer>& rows, Duration limit) {
    const Instant startedAt = now;
    while (!allKnow(rows) && now - startedAt < limit) step();
    return now - startedAt;
  }
  Duration oldest() const {
    Duration age{};
    for (const Node& node : nodes) {
      if (node.up && !node.alone)
        age = std::max(age, node.list.readAt() ? local(node) - *node.list.readAt() : Duration(1h));
    }
    return age;
  }
  std::size_t callsSince(Instant since) const {
    return static_cast<std::size_t>(
        std::count_if(calls.begin(), calls.end(), [&](Instant at) { return at >= since; }));
  }
  std::size_t mostCallsIn(Duration window) const {
    std::size_t most = 0;
    for (std::size_t i = 0, from = 0; i < calls.size(); ++i) {
      while (calls[i] - calls[from] >= window) ++from;
      most = std::max(most, i - from + 1);
    }
    return most;
  }

  Instant now{100s};
  Duration partitionedFor{};
  std::vector<Node> nodes;
  std::vector<Flight> flights;
  std::vector<ListedServer> content = rowsOf(1);
  std::function<bool(std::size_t, std::size_t)> loses;
  std::vector<Instant> calls;
  Instant lastReading{};
  Duration leastPause{1h};
  bool platformDown = false, overRate = false, tooYoung = false;
};
}  // namespace

TEST_CASE("server list: one daemon reads for all, once each second, from the start on") {
  Fleet fleet(17, 47, 1s);
  fleet.run(1s);
  CHECK(fleet.allKnow(rowsOf(1)));
  CHECK(fleet.callsSince(Instant{}) <= 3);
  const Instant since = fleet.now;
  for (int i = 0; i < 100; ++i) {
    fleet.run(100ms);
    CHECK(fleet.oldest() <= 1200ms);
  }
  CHECK(fleet.callsSince(since) <= 10);
  CHECK(fleet.callsSince(since) >= 9);
  CHECK_FALSE(fleet.tooYoung);
}

TEST_CASE("server list: all know a change at once when it is read; unchanged costs no rows") {
  Fleet fleet(17, 47, 1s);
  fleet.run(3300ms);
  std::size_t rowsSent = 0;
  fleet.loses = [&](std::size_t, std::size_t) { return false; };
  for (int version = 2; version < 6; ++version) {
    const auto before = fleet.lastReading;
    fleet.content = rowsOf(version);
    while (fleet.lastReading == before) fleet.step();
    CHECK(fleet.untilAllKnow(rowsOf(version), 2s) <= 60ms);
    fleet.run(1s);
    for (const auto& flight : fleet.flights) {
      const auto* answer = std::get_if<ServerListResponse>(&flight.envelope.body);
      rowsSent += answer ? answer->rows.size() : 0;
    }
  }
  CHECK(rowsSent == 0);
}

TEST_CASE("server list: messages lost right after a reading delay its change by 0.6 s at most") {
  Fleet fleet(13, 47, 1s);
  fleet.run(5s);
  for (int version = 2; version < 10; ++version) {
    const auto before = fleet.lastReading;
    fleet.loses = {};
    fleet.content = rowsOf(version);
    while (fleet.lastReading == before) fleet.step();
    fleet.flights.clear();  // the answers that the reader sent at once are lost
    CHECK(fleet.untilAllKnow(rowsOf(version), 3s) <= 600ms);
    fleet.run(700ms);
  }
}

TEST_CASE("server list: a reader that is killed is stood in for well within a second") {
  Fleet fleet(13, 47, 1s);
  fleet.run(5s);
  for (std::size_t killed = 0; killed < 3; ++killed) {
    fleet.nodes[killed].up = false;
    fleet.nodes[killed].readingSince.reset();
    fleet.nodes[killed].downAt = fleet.now;
    fleet.content = rowsOf(static_cast<int>(killed) + 2);
    // One second until a new list is overdue, and 0.3 s for each failed daemon in the order.
    CHECK(fleet.untilAllKnow(fleet.content, 5s) <=
          1s + 300ms * static_cast<int>(killed + 1) + 250ms);
    fleet.run(500ms);
  }
  Duration worst{};
  for (int i = 0; i < 60; ++i) {
    fleet.run(100ms);
    worst = std::max(worst, fleet.oldest());
  }
  CHECK(worst <= 2200ms);  // with three failed, until the others no longer count them as live
  fleet.run(3s);
  CHECK(fleet.oldest() <= 1200ms);
  CHECK(fleet.mostCallsIn(1s) <= 4);
  CHECK_FALSE(fleet.tooYoung);
}

TEST_CASE("server list: a reader that the platform does not answer has it from the next") {
  Fleet fleet(13, 47, 1s);
  fleet.run(5s);
  fleet.nodes[0].blind = true;
  fleet.content = rowsOf(2);
  CHECK(fleet.untilAllKnow(rowsOf(2), 5s) <= 1600ms);
  const Instant since = fleet.now;
  for (int i = 0; i < 100; ++i) {
    fleet.run(100ms);
    CHECK(fleet.oldest() <= 1700ms);
  }
  CHECK(fleet.callsSince(since) <= 22);
}

TEST_CASE("server list: cut off from each other, all together stay within the platform's rate") {
  for (const auto& [count, rate, interval] :
       {std::tuple<std::size_t, double, Duration>{17, 47, 1s}, {40, 47, 1s}, {13, 50, 400ms}}) {
    Fleet fleet(count, rate, interval);
    fleet.run(5s);
    for (auto& node : fleet.nodes) node.alone = true;
    fleet.run(20s);
    CHECK(static_cast<double>(fleet.mostCallsIn(1s)) <= rate);
    for (auto& node : fleet.nodes) CHECK(fleet.local(node) - *node.list.readAt() <= 2 * interval);
  }
  Fleet large(120, 47, 1s);
  large.run(5s);
  for (auto& node : large.nodes) node.alone = true;
  large.run(12s);
  const Instant since = large.now;
  large.run(20s);
  CHECK(static_cast<double>(large.callsSince(since)) <=
        47 * 20 + 120);  // on average, not in each second
}

TEST_CASE("server list: while the platform is down or turns calls away, few are made") {
  for (const bool overRate : {false, true}) {
    Fleet fleet(17, 47, 1s);
    fleet.run(5s);
    fleet.platformDown = true;
    fleet.overRate = overRate;
    fleet.run(3s);
    const Instant since = fleet.now;
    fleet.run(10s);
    CHECK(fleet.callsSince(since) <= 70);
    fleet.platformDown = false;
    fleet.content = rowsOf(2);
    CHECK(fleet.untilAllKnow(rowsOf(2), 5s) <= 1300ms);
  }
}

TEST_CASE("server list: another identity at the same address is another content") {
  ServerList list({daemon(0), 1s, 47});
  std::vector<Envelope> sends;
  list.onReadDone(rowsOf(1), Instant{1s}, 1, Instant{1s}, &sends);
  const auto digest = list.digest();
  auto reversed = rowsOf(1);
  std::reverse(reversed.begin(), reversed.end());
  list.onReadDone(reversed, Instant{2s}, 1, Instant{2s}, &sends);
  CHECK(list.digest() == digest);  // the order of the rows is irrelevant
  list.onReadDone(rowsOf(2), Instant{3s}, 1, Instant{3s}, &sends);
  CHECK(list.digest() != digest);
  CHECK(list.rows() == rowsOf(2));
}
