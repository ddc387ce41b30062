// The exchange of observations between data planes, with a simulated clock and a network that drops
// the messages of failed daemons.
#include <catch2/catch.hpp>
#include <functional>

#include "agent/core/event_sources.h"
#include "agent/core/plane_exchange.h"

using namespace quayrill;
using namespace std::chrono_literals;

namespace {
GossipItem daemonAt(const std::string& address, const std::string& zone, bool hasPlane) {
  GossipItem item;
  item.source = Address{address};
  item.zone = zone;
  item.proxyAddress = hasPlane ? address + "0" : "";
  return item;
}

PartEventBatch batchOf(const std::string& source, std::uint64_t first, std::uint64_t next) {
  PartEventBatch batch;
  batch.source = ServerName{source};
  batch.sourceIncarnation = "1";
  batch.first = first;
  batch.next = next;
  return batch;
}

// Two zones of three edge daemons each. The first zone also has a daemon without a data plane.
struct Fleet {
  std::vector<GossipItem> live;
  std::map<Address, PlaneExchange> exchanges;
  std::set<Address> dead;  // these neither send nor receive messages
  std::map<Address, std::vector<DataPlaneDigest>> received;
  Instant now{100s};
  std::size_t messages = 0;

  Fleet() {
    live = {daemonAt("core", "north", false), daemonAt("n1", "north", true),
            daemonAt("n2", "north", true),    daemonAt("n3", "north", true),
            daemonAt("s1", "south", true),    daemonAt("s2", "south", true),
            daemonAt("s3", "south", true)};
    for (const GossipItem& item : live)
      exchanges.emplace(item.source, PlaneExchange(item.source, item.zone));
  }
  PlaneExchange& at(const std::string& address) { return exchanges.at(Address{address}); }

  // One round at each daemon; all messages arrive before the next round.
  void round() {
    std::vector<Envelope> sends;
    for (auto& [address, exchange] : exchanges) {
      if (!dead.contains(address) && exchange.isDue(now)) exchange.onTick(live, now, &sends);
    }
    for (const Envelope& envelope : sends) {
      if (dead.contains(envelope.to) || dead.contains(envelope.from)) continue;
      ++messages;
      if (const auto* report = std::get_if<DataPlaneReport>(&envelope.body))
        exchanges.at(envelope.to).onReport(envelope.from, *report, now);
      if (const auto* digest = std::get_if<DataPlaneDigest>(&envelope.body))
        exchanges.at(envelope.to).onDigest(*digest, now);
    }
    now += 400ms;
    for (auto& [address, exchange] : exchanges) {
      for (DataPlaneDigest& digest : exchange.takeDigests()) received[address].push_back(digest);
    }
  }
  // Each live edge daemon has `requests` at one server and reports them in each round.
  void reportedRounds(int rounds, std::uint32_t requests) {
    for (int i = 0; i < rounds; ++i) {
      for (const GossipItem& item : live) {
        if (!item.proxyAddress.empty() && !dead.contains(item.source))
          at(item.source.value).addOwnReport({{{ServerName{"m"}, requests, 100}}, {}});
      }
      round();
    }
  }
  std::uint32_t lastReceived(const std::string& address) {
    const auto& rows = received[Address{address}];
    if (rows.empty() || rows.back().outstanding.empty()) return 0;
    return rows.back().outstanding.front().requests;
  }
  // How many batches of the source the daemon received.
  std::size_t batchesReceived(const std::string& address, const std::string& source) {
    std::size_t count = 0;
    for (const DataPlaneDigest& digest : received[Address{address}]) {
      for (const PartEventBatch& batch : digest.batches) count += batch.source.value == source;
    }
    return count;
  }
};
}  // namespace

TEST_CASE("exchange: a zone's daemons without a data plane aggregate first") {
  Fleet fleet;
  CHECK(aggregatorOf("north", fleet.live) == Address{"core"});
  const Address south = aggregatorOf("south", fleet.live);
  CHECK(south.value.front() == 's');
  CHECK(aggregatorOf("west", fleet.live) == Address{});
  for (GossipItem& item : fleet.live) item.leaving = item.source == south;
  CHECK(aggregatorOf("south", fleet.live) != south);
}

TEST_CASE("exchange: every data plane learns the sum over the fleet, and how old it is") {
  Fleet fleet;
  fleet.reportedRounds(6, 2);
  for (const char* edge : {"n1", "n2", "n3", "s1", "s2", "s3"}) {
    CHECK(fleet.lastReceived(edge) == 12);
    const DataPlaneDigest& last = fleet.received[Address{edge}].back();
    CHECK(last.outstanding.front().unreadTokens == 600);
    CHECK(last.ageMicros >= 0);
    CHECK(last.ageMicros <= 1200000);
  }
  CHECK(fleet.received[Address{"core"}].empty());
}

TEST_CASE("exchange: a daemon sends and gets one message a round, whatever the fleet's size") {
  Fleet fleet;
  fleet.reportedRounds(4, 1);
  fleet.messages = 0;
  fleet.reportedRounds(1, 1);
  // Reports: three in the north and two in the south. Between the aggregators: one in each
  // direction. Digests: three in the north and two in the south.
  CHECK(fleet.messages == 12);
}

TEST_CASE("exchange: cache events reach every data plane once") {
  Fleet fleet;
  fleet.reportedRounds(3, 1);
  fleet.at("s2").addOwnReport({{}, {batchOf("a", 5, 9)}});
  fleet.at("n1").addOwnReport({{}, {batchOf("b", 0, 3)}});
  fleet.reportedRounds(6, 1);
  for (const char* edge : {"n1", "n2", "n3", "s1", "s2", "s3"}) {
    CHECK(fleet.batchesReceived(edge, "a") == 1);
    CHECK(fleet.batchesReceived(edge, "b") == 1);
  }
}

TEST_CASE("exchange: with an aggregator gone the fleet's sums end, and come back with the next") {
  Fleet fleet;
  fleet.reportedRounds(4, 1);
  fleet.dead.insert(Address{"core"});
  const std::size_t before = fleet.received[Address{"n1"}].size();
  fleet.reportedRounds(6, 1);
  CHECK(fleet.received[Address{"n1"}].size() == before);  // old sums aren't repeated
  CHECK(fleet.lastReceived("s1") == 3);                   // the sum of the south only
  std::erase_if(fleet.live, [](const GossipItem& item) { return item.source.value == "core"; });
  fleet.reportedRounds(6, 1);
  for (const char* edge : {"n1", "s1"}) CHECK(fleet.lastReceived(edge) == 6);
}

TEST_CASE("exchange: a daemon that is gone counts for moments only") {
  Fleet fleet;
  fleet.reportedRounds(4, 1);
  fleet.dead.insert(Address{"n2"});
  fleet.reportedRounds(7, 1);
  CHECK(fleet.lastReceived("n1") == 5);
  CHECK(fleet.lastReceived("s1") == 5);
}

TEST_CASE("exchange: what is not taken stays bounded") {
  PlaneExchange exchange(Address{"n1"}, "north");
  const Instant now{100s};
  for (int i = 0; i < 5000; ++i) {
    exchange.addOwnReport({{}, {batchOf("a", 0, 1)}});
    exchange.onReport(Address{"n2"}, {{}, {batchOf("b", 0, 1)}}, now);
    exchange.onDigest({"south", 0, {}, {batchOf("c", 0, 1)}}, now);
    exchange.onDigest({"", 0, {}, {}}, now);
  }
  CHECK(exchange.takeDigests().size() <= 8);
  std::vector<Envelope> sends;
  exchange.onTick({daemonAt("n1", "north", true)}, now, &sends);
  const auto digests = exchange.takeDigests();
  REQUIRE(digests.size() == 1);
  CHECK(digests.front().batches.size() <= 512);
}

TEST_CASE("event sources: each is read by one daemon, in its own zone where one is") {
  const Fleet fleet;
  std::vector<EventSource> sources;
  for (int i = 0; i < 60; ++i)
    sources.push_back({ServerName{"m" + std::to_string(i)}, i % 3 == 0   ? "north"
                                                            : i % 3 == 1 ? "south"
                                                                         : "west"});
  std::map<ServerName, std::vector<std::string>> readers;
  for (const GossipItem& item : fleet.live) {
    for (const ServerName& source : assignedEventSources(item.source, fleet.live, sources))
      readers[source].push_back(item.source.value);
  }
  CHECK(readers.size() == sources.size());
  for (const EventSource& source : sources) {
    REQUIRE(readers[source.name].size() == 1);
    const std::string& reader = readers[source.name].front();
    CHECK(reader != "core");
    if (source.zone != "west") CHECK(reader.front() == source.zone.front());
  }
}

TEST_CASE("event sources: those of a daemon that is gone or leaves fall to others") {
  Fleet fleet;
  const std::vector<EventSource> sources{{ServerName{"m1"}, "south"},
                                         {ServerName{"m2"}, "south"},
                                         {ServerName{"m3"}, "south"},
                                         {ServerName{"m4"}, "south"}};
  for (GossipItem& item : fleet.live) item.leaving = item.source.value == "s1";
  std::erase_if(fleet.live, [](const GossipItem& item) { return item.source.value == "s2"; });
  CHECK(assignedEventSources(Address{"s3"}, fleet.live, sources).size() == 4);
  CHECK(assignedEventSources(Address{"s1"}, fleet.live, sources).empty());
}
