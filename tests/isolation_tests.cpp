// Tests of the cache wall while the configuration changes who is isolated, in both data planes.
#include "isolation_stage.h"

using namespace quayrill;
using namespace quayrill::tests;

namespace {
// The cache salts that the servers of a stage were sent, by request id.
std::map<std::string, std::string> saltsByRequest(RelayStage& stage) {
  std::map<std::string, std::string> salts;
  for (const auto& server : stage.servers) {
    for (const std::string& request : server->received())
      salts[headerIn(request, "X-Id")] = headerIn(request, "X-Salt");
  }
  return salts;
}
}  // namespace

// Guards against: other tenants use what a tenant cached before it became isolated.
TEST_CASE("isolation: what a tenant cached before it became isolated is out of others' reach") {
  RelayStage stage(1);
  addSecondOpenTenant(stage);
  stage.post("/once/", "north-open", kNorth);
  stage.post("/once/", "east-open", kEast);
  setNorthIsolated(stage, true);
  stage.waitReady(200);
  stage.post("/once/", "north-isolated", kNorth);
  stage.post("/once/", "east-later", kEast);
  setNorthIsolated(stage, false);
  stage.waitReady(200);
  stage.post("/once/", "north-again", kNorth);
  auto salts = saltsByRequest(stage);
  REQUIRE(salts.size() == 5);
  CHECK(salts["north-open"] == salts["east-open"]);
  CHECK(salts["east-later"] != salts["north-open"]);
  CHECK(salts["north-isolated"] != salts["north-open"]);
  CHECK(salts["north-isolated"] != salts["east-later"]);
  CHECK(salts["north-again"] == salts["east-open"]);
}

// Guards against: a request admitted before its tenant became isolated leaves or uses shared cache.
TEST_CASE("isolation: a request is sent under the wall in force when it is sent") {
  RelayStage stage(2);
  addSecondOpenTenant(stage);
  stage.post("/once/", "east-open", kEast);
  std::atomic<bool> isChanged{false};
  stage.setScript([&](int, const std::string& request) {
    if (!isChanged.exchange(true)) {
      setNorthIsolated(stage, true);
      return Reply{plain(request, 503, "X-Not-Run: 1\r\n")};
    }
    return Reply{streamHead(request) + chunked({event(1)})};
  });
  CHECK(statusOf(stage.post("/twice/", "north-crossing", kNorth)) == 200);
  stage.post("/once/", "north-isolated", kNorth);
  auto salts = saltsByRequest(stage);
  std::vector<std::string> crossing;
  for (const auto& server : stage.servers) {
    for (const std::string& request : server->received()) {
      if (headerIn(request, "X-Id") == "north-crossing")
        crossing.push_back(headerIn(request, "X-Salt"));
    }
  }
  REQUIRE(crossing.size() == 2);
  std::erase(crossing, salts["east-open"]);
  REQUIRE(crossing.size() == 1);
  CHECK(crossing[0] == salts["north-isolated"]);
}

// Guards against: the same two faults in the data plane of the built-in dialect.
TEST_CASE("isolation: the built-in dialect keeps the wall when a tenant becomes isolated") {
  Stage stage(1);
  const auto saltOf = [&](const std::string& requested) {
    const std::map<std::string, std::string> headers =
        requested.empty() ? std::map<std::string, std::string>{}
                          : std::map<std::string, std::string>{{"Quayrill-Cache-Salt", requested}};
    CHECK(stage.post("once", "{}", headers).result_int() == 200);
    return stage.servers[0]->lastSalt();
  };
  const std::string before = saltOf(""), beforeMine = saltOf("mine");
  Json document = Json::parse(configurationBody("key"));
  document["tenants"]["east"] = {{"isolated", true}};
  stage.updateSnapshot([&](Snapshot& snapshot) {
    snapshot.configurationVersion = 2;
    snapshot.configurationBody = document.dump();
  });
  // A request that the change crosses is refused, without having run, if its wall is no longer that
  // of its placement. All others are served.
  eventually([&] {
    const int arrivals = stage.servers[0]->arrivals;
    const unsigned status = stage.post("once", "{}").result_int();
    if (status != 503) {
      CHECK(status == 200);
      return stage.servers[0]->lastSalt() != before;
    }
    CHECK(stage.servers[0]->arrivals == arrivals);
    return false;
  });
  const std::string after = saltOf("");
  CHECK(after != before);
  CHECK(saltOf("mine") != beforeMine);
  CHECK(saltOf("mine") != saltOf(""));
  for (const char* reserved : {"tenant:hill", "shared:0"})
    CHECK(stage.post("once", "{}", {{"Quayrill-Cache-Salt", reserved}}).result_int() == 403);
}
