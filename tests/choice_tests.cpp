// Tests of the choice of a server when servers are compared by the tokens to prefill before the
// first token.
#include <catch2/catch.hpp>

#include "placement/placement.h"

using namespace quayrill;
using namespace std::chrono_literals;

namespace {
const ModelName kModel{"m"};
const Instant kNow{100s};

PlacementSettings relaySettings() {
  PlacementSettings settings{16};
  settings.spreadRequests = 4;
  settings.byExpectedPrefill = true;
  return settings;
}

struct Fleet {
  std::vector<ServerState> servers;
  Placement placement;
  explicit Fleet(std::size_t count, PlacementSettings settings = relaySettings())
      : placement(settings) {
    for (std::size_t i = 0; i < count; ++i) {
      ServerState state;
      state.name = ServerName{"s" + std::to_string(i)};
      state.identity = ServerIdentity{"i"};
      state.model = kModel;
      state.weights = WeightsVersion{"1"};
      state.healthy = true;
      state.slots = 64;
      state.cacheTokens = 200000;
      servers.push_back(state);
    }
    placement.setServers(servers);
  }
  std::optional<PlacementResult> place(const std::string& prefix) {
    PlacementRequest request{kModel, TenantName{"t"}, CacheSalt{}, *parsePrefix(prefix), {}};
    return placement.place(request, kNow);
  }
  // Places and releases a request: leaves no load, but stays in the index.
  PlacementResult placeAndRelease(const std::string& prefix) {
    auto placed = place(prefix);
    REQUIRE(placed);
    placement.release(placed->ticket, true, kNow);
    return *placed;
  }
  // Reports that all daemons together have that much work outstanding at the server.
  void reportFleetLoad(const ServerName& server, std::uint64_t pendingPrefillTokens,
                       std::uint32_t requests = 1) {
    placement.noteFleetLoad({{server, {requests, pendingPrefillTokens}}}, kNow);
  }
};
}  // namespace

TEST_CASE("choice: a prompt that is kept stays at its server behind larger ones") {
  Fleet fleet(5);
  const ServerName home = fleet.placeAndRelease("rules:13312,a:64").chosenServer.name;
  fleet.reportFleetLoad(home, 60000);
  const PlacementResult next = fleet.placeAndRelease("rules:13312,b:512");
  CHECK(next.chosenServer.name == home);
  CHECK(next.matchedTokens == 13312);
}

TEST_CASE("choice: a match yields where far more waits than a copy costs, and names its holder") {
  Fleet fleet(5);
  const ServerName home = fleet.placeAndRelease("rules:13312,a:64").chosenServer.name;
  fleet.reportFleetLoad(home, 900000);
  const PlacementResult next = fleet.placeAndRelease("rules:13312,b:4096");
  CHECK(next.chosenServer.name != home);
  CHECK(next.fetchFrom.value == home.value);
  // Tokens that are fetched need no prefill.
  const auto again = fleet.place("rules:13312,c:4096");
  REQUIRE(again);
  std::uint64_t pendingPrefill = 0;
  for (const ServerOutstanding& row : fleet.placement.ownOutstanding())
    pendingPrefill += row.outstanding.pendingPrefillTokens;
  CHECK(pendingPrefill == 4096);
}

TEST_CASE("choice: an unknown prefix goes to its home, and elsewhere with the home as source") {
  Fleet first(5), second(5);
  const ServerName home = first.placeAndRelease("rules:13312,a:64").chosenServer.name;
  // Another daemon, which does not know the requests of the first.
  CHECK(second.placeAndRelease("rules:13312,b:64").chosenServer.name == home);
  Fleet third(5);
  third.reportFleetLoad(home, 900000);
  const PlacementResult away = third.placeAndRelease("rules:13312,c:4096");
  CHECK(away.chosenServer.name != home);
  CHECK(away.fetchFrom.value == home.value);
  PlacementSettings withoutHomeFetch = relaySettings();
  withoutHomeFetch.mechanisms.disable(Mechanism::HomeFetch);
  Fleet fourth(5, withoutHomeFetch);
  fourth.reportFleetLoad(home, 900000);
  CHECK(fourth.placeAndRelease("rules:13312,d:4096").fetchFrom.value.empty());
}

TEST_CASE("choice: while weights change, load moves with the servers that have the newest") {
  Fleet before(6), during(6);
  during.servers[2].weights = WeightsVersion{"2"};
  during.placement.setServers(during.servers);
  std::map<ServerName, int> placed;
  for (int i = 0; i < 120; ++i) {
    const std::string prefix = "p" + std::to_string(i) + ":32000,a:64";
    const ServerName home = before.placeAndRelease(prefix).chosenServer.name;
    const PlacementResult now = during.placeAndRelease(prefix);
    CHECK(now.chosenServer.name == home);
    ++placed[home];
  }
  for (const auto& [name, count] : placed) CHECK(count <= 40);  // 120 prefixes at six servers
}

TEST_CASE("choice: requests without a prompt go by load, and not all to one server") {
  Fleet fleet(5);
  std::map<ServerName, int> placed;
  for (int i = 0; i < 40; ++i) ++placed[fleet.placeAndRelease("").chosenServer.name];
  CHECK(placed.size() == 5);
  fleet.reportFleetLoad(ServerName{"s1"}, 0, 60);
  for (int i = 0; i < 20; ++i)
    CHECK(fleet.placeAndRelease("").chosenServer.name != ServerName{"s1"});
}

TEST_CASE("choice: parts told before a prompt showed their place are matched") {
  Fleet fleet(5);
  const CacheSalt salt = scopedCacheSalt(WeightsVersion{"1"}, {});
  fleet.placement.applyPartEvents(ServerName{"s3"}, {"1",
                                                     0,
                                                     2,
                                                     false,
                                                     {{1, true, salt, "rules", 1600, kModel},
                                                      {2, true, salt, "notice", 800, kModel}}});
  const PlacementResult placed = fleet.placeAndRelease("rules:1600,notice:800,own:64");
  CHECK(placed.chosenServer.name == ServerName{"s3"});
  CHECK(placed.matchedTokens == 2400);
  // Nothing matches under another isolation salt.
  PlacementRequest isolated{
      kModel, TenantName{"t"}, CacheSalt{"t"}, *parsePrefix("rules:1600,notice:800,own:64"), {}};
  CHECK(fleet.placement.place(isolated, kNow)->matchedTokens == 0);
}
