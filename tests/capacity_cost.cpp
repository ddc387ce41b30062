// Benchmarks, not tests: measure the cost figures used in docs/CAPACITY.md. Run them by name with
// `quayrill_tests "[capacity]"`, from a Release build.
#include <malloc.h>

#include <catch2/catch.hpp>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>

#include "agent/core/gossip.h"
#include "agent/snapshot.h"
#include "base/digest.h"
#include "configuration/configuration.h"
#include "placement/placement.h"

using namespace quayrill;

namespace {
std::size_t heapBytes() {
  const auto usage = ::mallinfo2();
  return usage.uordblks + usage.hblkhd;
}

template <class Work>
double microsPerRound(std::size_t rounds, Work work) {
  const Instant start = BootClock::now();
  for (std::size_t i = 0; i < rounds; ++i) work();
  const auto span = std::chrono::duration<double, std::micro>(BootClock::now() - start);
  return span.count() / static_cast<double>(rounds);
}

std::vector<ServerState> serversOf(std::size_t count, std::size_t models, std::size_t blocksEach) {
  std::vector<ServerState> servers(count);
  for (std::size_t i = 0; i < count; ++i) {
    servers[i].name =
        ServerName{"10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + ":8000"};
    servers[i].identity = ServerIdentity{"identity-" + std::to_string(i)};
    servers[i].model = ModelName{"m" + std::to_string(i % models)};
    servers[i].weights = WeightsVersion{"w1"};
    servers[i].zone = "zone" + std::to_string(i % 5);
    servers[i].healthy = true;
    servers[i].slots = 1000000;
    servers[i].cacheTokens = blocksEach * 16;
  }
  return servers;
}

// Requests with a shared part of 100 blocks, one of 300 variants per shared part, and a part of
// their own.
struct Traffic {
  std::mt19937_64 random{1};
  std::size_t models = 1, ownTokens = 64, shared = 30;
  PlacementRequest next() {
    const std::string rules = std::to_string(random() % shared);
    const std::string variant = std::to_string(random() % 300);
    const auto prefix =
        parsePrefix("rules-" + rules + ":1600,v" + rules + "-" + variant + ":320,own" +
                    std::to_string(random()) + ":" + std::to_string(ownTokens));
    return {ModelName{"m" + std::to_string(random() % models)}, TenantName{"t"}, {}, *prefix, {}};
  }
};

std::size_t blocksIn(const Placement& placement, const std::vector<ServerState>& servers) {
  std::size_t blocks = 0;
  for (const ServerState& server : servers) blocks += placement.indexedBlocks(server.name);
  return blocks;
}

void fill(Placement* placement, const std::vector<ServerState>& servers, Traffic* traffic,
          std::size_t blocks) {
  while (blocksIn(*placement, servers) < blocks) {
    for (int i = 0; i < 2000; ++i) {
      const auto placed = placement->place(traffic->next());
      placement->release(placed->ticket, true);
    }
  }
}

std::string configurationBody(std::size_t tenants, std::size_t routes) {
  nlohmann::json body{{"models", {{"m0", {{"weights", "w1"}}}}}};
  body["contracts"]["c"] = {{"model", "m0"}, {"repeatable", false}};
  for (std::size_t i = 0; i < tenants; ++i) {
    const std::string name = "tenant-" + std::to_string(i);
    body["tenants"][name] = {{"keys", {keyDigest("secret of " + name)}}};
  }
  for (std::size_t i = 0; i < routes; ++i) body["ways"]["way-" + std::to_string(i)] = "c";
  return body.dump();
}
}  // namespace

TEST_CASE("capacity: memory of a block and of a server in the index", "[.][capacity]") {
  for (const std::size_t count : {100U, 415U, 830U}) {
    const auto servers = serversOf(count, 4, 22900);
    const std::size_t before = heapBytes();
    auto placement = std::make_unique<Placement>(PlacementSettings{});
    placement->setServers(servers);
    std::cout << "servers " << count << " bytes a server without blocks "
              << (heapBytes() - before) / count << std::endl;
  }
  for (const std::size_t ownTokens : {64U, 320U}) {
    for (const std::size_t blocks : {100000U, 400000U}) {
      const auto servers = serversOf(20, 1, 10 * blocks);
      const std::size_t before = heapBytes();
      auto placement = std::make_unique<Placement>(PlacementSettings{});
      placement->setServers(servers);
      Traffic traffic{std::mt19937_64{1}, 1, ownTokens, 30};
      fill(placement.get(), servers, &traffic, blocks);
      const std::size_t indexed = blocksIn(*placement, servers);
      std::cout << "own part of " << ownTokens / 16 << " blocks: blocks " << indexed
                << " bytes a block "
                << static_cast<double>(heapBytes() - before) / static_cast<double>(indexed)
                << std::endl;
    }
  }
}

TEST_CASE("capacity: processor time of a placement", "[.][capacity]") {
  for (const std::size_t models : {1U, 4U}) {
    for (const std::size_t count : {18U, 100U, 400U, 830U}) {
      const auto servers = serversOf(count, models, 2000);
      Placement placement(PlacementSettings{});
      placement.setServers(servers);
      // More shared parts than servers, so that each server has some.
      Traffic traffic{std::mt19937_64{1}, models, 64, 4 * count};
      fill(&placement, servers, &traffic, count * 300);
      const double micros = microsPerRound(4000, [&] {
        const auto placed = placement.place(traffic.next());
        placement.release(placed->ticket, true);
      });
      const double updating = microsPerRound(50, [&] { placement.setServers(servers); });
      std::cout << "models " << models << " servers " << count << " placed and released in us "
                << micros << " server states updated in us " << updating << std::endl;
    }
  }
}

TEST_CASE("capacity: processor time of a cache event", "[.][capacity]") {
  const auto servers = serversOf(1, 1, 22900);
  const ServerState& server = servers[0];
  Placement placement(PlacementSettings{});
  placement.setServers(servers);
  std::vector<PromptPrefix> sent;
  Traffic traffic;
  for (int i = 0; i < 5000; ++i) {
    auto request = traffic.next();
    sent.push_back(request.prefix);
    placement.release(placement.place(request)->ticket, true);
  }
  std::uint64_t position = 1;
  placement.applyEvents(server.name, server.identity, 0, {}, position);
  for (const auto kind : {CacheEventKind::Stored, CacheEventKind::Dropped}) {
    std::size_t applied = 0;
    const double micros = microsPerRound(sent.size() / 100, [&] {
      std::vector<CacheEvent> events;
      for (int i = 0; i < 100; ++i) events.push_back({position + i, kind, {}, sent[applied++]});
      placement.applyEvents(server.name, server.identity, position, events, position + 100);
      position += 100;
    });
    std::cout << (kind == CacheEventKind::Stored ? "stored" : "dropped") << " event applied in us "
              << micros / 100 << std::endl;
  }
}

TEST_CASE("capacity: tenants and routes in a configuration", "[.][capacity]") {
  struct Size {
    std::size_t tenants, routes;
  };
  for (const Size size : {Size{100, 10}, Size{1000, 10}, Size{9000, 10}, Size{100, 10000}}) {
    const std::string body = configurationBody(size.tenants, size.routes);
    const std::size_t before = heapBytes();
    auto configuration = std::make_unique<Configuration>(*parseConfiguration(body));
    const std::size_t bytes = heapBytes() - before;
    const double parsing = microsPerRound(3, [&] { REQUIRE(parseConfiguration(body).ok()); });
    const double patching = microsPerRound(
        3, [&] { REQUIRE(patchConfiguration(body, R"({"ways":{"way-1":null}})").ok()); });
    std::cout << "tenants " << size.tenants << " routes " << size.routes << " body bytes "
              << body.size() << " parsed bytes " << bytes << " parsed in us " << parsing
              << " patched in us " << patching << std::endl;
  }
}

TEST_CASE("capacity: the agent's word to its proxy", "[.][capacity]") {
  for (const std::size_t count : {18U, 830U}) {
    Snapshot snapshot;
    for (const ServerState& server : serversOf(count, 4, 22900))
      snapshot.servers.push_back(toSnapshot(server, BootClock::now()));
    std::size_t bytes = 0;
    const double micros = microsPerRound(200, [&] {
      const std::string encoded = encodeValue(snapshot);
      bytes = encoded.size();
      Snapshot decoded;
      REQUIRE(decodeValue(encoded, &decoded));
    });
    std::cout << "servers " << count << " snapshot bytes " << bytes << " encoded and decoded in us "
              << micros << std::endl;
  }
}

TEST_CASE("capacity: news of daemons", "[.][capacity]") {
  for (const std::size_t count : {13U, 100U, 340U}) {
    const std::size_t before = heapBytes();
    auto gossip = std::make_unique<Gossip>(Address{"10.0.0.1:7100"}, 1);
    GossipResponse response;
    for (std::size_t i = 1; i < count; ++i) {
      GossipItem item;
      item.source =
          Address{"10.1." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + ":7100"};
      item.version.counter = 1;
      item.zone = "zone1";
      item.proxyAddress = item.source.value;
      response.items.push_back(item);
    }
    const std::size_t beforeResponse = heapBytes();
    gossip->onAnswer(response, BootClock::now());
    const std::size_t bytes = heapBytes() - beforeResponse;
    const std::string request = encodeEnvelope({{}, {}, gossip->makeRequest()});
    const double micros = microsPerRound(200, [&] {
      const auto envelope = decodeEnvelope(encodeEnvelope({{}, {}, gossip->makeRequest()}));
      REQUIRE(envelope.ok());
      gossip->answerRequest(std::get<GossipRequest>(envelope->body));
    });
    std::cout << "daemons " << count << " bytes a daemon known " << bytes / count
              << " bytes of a request " << request.size() << " request and response in us "
              << micros << std::endl;
    REQUIRE(beforeResponse >= before);
  }
}
