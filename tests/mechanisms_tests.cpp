// Disabling single mechanisms by name.
#include <catch2/catch.hpp>

#include "base/mechanisms.h"
#include "placement/placement.h"
#include "settings/settings.h"

using namespace quayrill;
using namespace std::chrono_literals;

TEST_CASE("mechanisms: named ones are off, all others on") {
  const auto none = parseDisabledMechanisms("");
  REQUIRE(none.ok());
  CHECK(none->disabledNames().empty());
  const auto two = parseDisabledMechanisms("locks,peer-fetch");
  REQUIRE(two.ok());
  CHECK_FALSE(two->isEnabled(Mechanism::PathLocks));
  CHECK_FALSE(two->isEnabled(Mechanism::PeerFetch));
  CHECK(two->isEnabled(Mechanism::Events));
  CHECK(two->disabledNames() == "locks,peer-fetch");
}

TEST_CASE("mechanisms: an unknown name is refused with those that exist") {
  const auto unknown = parseDisabledMechanisms("locks,lock");
  REQUIRE_FALSE(unknown.ok());
  const std::string why(unknown.status().message());
  CHECK(why.find("'lock'") != std::string::npos);
  CHECK(why.find("longest-match") != std::string::npos);
  CHECK(mechanismsHelp().find("further-tries") != std::string::npos);
}

TEST_CASE("mechanisms: the settings take them and name the field of a bad one") {
  const std::string text =
      R"({"role":"proxy","operators":"127.0.0.1:1","callers":"127.0.0.1:2","without":"urgency"})";
  const auto settings = readSettings(text, {});
  REQUIRE(settings.ok());
  CHECK_FALSE(settings->mechanisms.isEnabled(Mechanism::Urgency));
  const auto bad = readSettings(text, {{"without", "haste"}});
  REQUIRE_FALSE(bad.ok());
  CHECK(std::string(bad.status().message()).find("setting 'without'") != std::string::npos);
}

TEST_CASE("mechanisms: without the longest match a kept prefix pulls nothing") {
  PlacementSettings settings{16};
  settings.mechanisms.disable(Mechanism::LongestMatch);
  Placement placement(settings);
  std::vector<ServerState> servers(3);
  for (std::size_t i = 0; i < servers.size(); ++i) {
    servers[i].name = ServerName{"s" + std::to_string(i)};
    servers[i].identity = ServerIdentity{"i"};
    servers[i].model = ModelName{"m"};
    servers[i].healthy = true;
    servers[i].slots = 8;
    servers[i].cacheTokens = 16000;
  }
  placement.setServers(servers);
  std::set<ServerName> used;
  for (int i = 0; i < 30; ++i) {
    const auto placed = placement.place(
        {ModelName{"m"}, TenantName{"t"}, CacheSalt{}, *parsePrefix("rules:320,own:32"), {}});
    REQUIRE(placed);
    used.insert(placed->chosenServer.name);
    placement.release(placed->ticket, true);
  }
  CHECK(used.size() == 3);
}
