// The configuration document of the built-in dialect, and the settings of a process.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "base/digest.h"
#include "configuration/configuration.h"
#include "settings/settings.h"

using namespace quayrill;

namespace {
const std::string kDigest = keyDigest("secret");

// A document with these values of the fields "tenants", "contracts" and "ways".
std::string configurationWith(const std::string& tenants, const std::string& policies,
                              const std::string& ways) {
  return R"({"models":{"till":{"weights":"w1"}},"tenants":)" + tenants + R"(,"contracts":)" +
         policies + R"(,"ways":)" + ways + "}";
}

// The path that the error of parsing `body` starts with; "" if there is no error.
std::string pathOfError(const std::string& body) {
  const auto configuration = parseConfiguration(body);
  if (configuration.ok()) return "";
  const std::string text(configuration.status().message());
  return text.substr(0, text.find(": "));
}
}  // namespace

TEST_CASE("spec: what it may hold, and where a error lies") {
  const std::string good =
      configurationWith(R"({"a":{"keys":[")" + kDigest + R"("]}})",
                        R"({"c":{"model":"till","repeatable":false}})", R"({"w":"c"})");
  const auto configuration = parseConfiguration(good);
  REQUIRE(configuration.ok());
  CHECK(configuration->tenantByKeyDigest.at(kDigest).value == "a");
  CHECK_FALSE(configuration->policies.at(PolicyName{"c"}).repeatable);
  CHECK(pathOfError("{") == "/");
  CHECK(pathOfError(configurationWith("{}", R"({"c":{"model":"no","repeatable":true}})", "{}")) ==
        "/contracts/c/model");
  CHECK(pathOfError(configurationWith("{}", "{}", R"({"w":"c"})")) == "/ways/w");
  CHECK(pathOfError(configurationWith(R"({"a":{"keys":["plain"]}})", "{}", "{}")) ==
        "/tenants/a/keys/0");
  CHECK(pathOfError(configurationWith("{}", R"({"c":{"model":"till"}})", "{}")) == "/contracts/c");
  CHECK(pathOfError(configurationWith(
            R"({"a":{"keys":[")" + kDigest + R"("]},"b":{"keys":[")" + kDigest + R"("]}})", "{}",
            "{}")) == "/tenants/b/keys");
}

TEST_CASE("spec: a merge patch changes what it names and removes with null") {
  const auto patched = patchConfiguration(R"({"a":{"x":1,"y":2}})", R"({"a":{"x":null,"z":3}})");
  REQUIRE(patched.ok());
  CHECK(*patched == R"({"a":{"y":2,"z":3}})");
  CHECK_FALSE(patchConfiguration("{}", "[1]").ok());
}

TEST_CASE("spec: an isolated tenant's salts are its own and nobody else can name one") {
  const auto configuration =
      parseConfiguration(configurationWith(R"({"iso":{"isolated":true},"open":{}})", "{}", "{}"));
  REQUIRE(configuration.ok());
  CacheSalt isolated, shared, requested;
  REQUIRE(resolveCacheSalt(*configuration, TenantName{"iso"}, "", &isolated));
  CHECK(isolated.value == "tenant:3:iso");
  CHECK_FALSE(resolveCacheSalt(*configuration, TenantName{"open"}, isolated.value, &shared));
  CHECK_FALSE(resolveCacheSalt(*configuration, TenantName{"iso"}, "tenant:other", &isolated));
  REQUIRE(resolveCacheSalt(*configuration, TenantName{"open"}, "", &shared));
  CHECK(shared == configuration->sharedScope);
  CHECK_FALSE(resolveCacheSalt(*configuration, TenantName{"open"}, shared.value, &requested));
  CHECK_FALSE(resolveCacheSalt(*configuration, TenantName{"none"}, "", &requested));
}

// Guards against: a tenant that requests a salt reaches the cache of an isolated tenant whose name
// reads like both.
TEST_CASE("spec: no two isolated tenants have a salt in common, whatever they are called") {
  const auto configuration = parseConfiguration(configurationWith(
      R"({"a":{"isolated":true},"a:b":{"isolated":true},"a:b:c":{"isolated":true},
          "a ":{"isolated":true}})",
      "{}", "{}"));
  REQUIRE(configuration.ok());
  std::map<std::string, std::string> tenantBySalt;
  for (const auto& [name, tenant] : configuration->tenants) {
    for (const char* requested : {"", "b", "b:c", "c", "1:a", "3:a:b"}) {
      CacheSalt salt;
      REQUIRE(resolveCacheSalt(*configuration, name, requested, &salt));
      // A header loses the spaces at its ends.
      const std::string sent = salt.value.substr(0, salt.value.find_last_not_of(' ') + 1);
      const auto [owner, isNew] = tenantBySalt.try_emplace(sent, name.value);
      INFO(sent << " is of '" << owner->second << "' and '" << name.value << "'");
      CHECK((isNew || owner->second == name.value));
    }
  }
}

TEST_CASE("spec: each set of isolated tenants has a shared cache scope of its own") {
  const auto scopeWith = [](const std::string& tenants) {
    const auto configuration = parseConfiguration(configurationWith(tenants, "{}", "{}"));
    REQUIRE(configuration.ok());
    return configuration->sharedScope.value;
  };
  CHECK(scopeWith(R"({"a":{},"b":{}})").empty());
  const std::set<std::string> scopes{scopeWith(R"({"a":{},"b":{}})"),
                                     scopeWith(R"({"a":{"isolated":true},"b":{}})"),
                                     scopeWith(R"({"a":{},"b":{"isolated":true}})"),
                                     scopeWith(R"({"a":{"isolated":true},"b":{"isolated":true}})"),
                                     scopeWith(R"({"a1:b":{"isolated":true}})")};
  CHECK(scopes.size() == 5);
  CHECK(scopeWith(R"({"a":{"isolated":true},"c":{"priority":2}})") ==
        scopeWith(R"({"a":{"isolated":true},"b":{}})"));
}

TEST_CASE("boot: each bad setting is named with its remedy") {
  const std::map<std::string, std::string> good = {
      {"cohort", "127.0.0.1:1"},   {"operators", "127.0.0.1:2"}, {"callers", "127.0.0.1:3"},
      {"platform", "127.0.0.1:4"}, {"seeds", "127.0.0.1:1"},     {"zone", "z"}};
  REQUIRE(loadSettings({"", good}).ok());
  const auto errorWith = [&](const std::string& name, const std::string& value) {
    auto flags = good;
    if (value.empty())
      flags.erase(name);
    else
      flags[name] = value;
    return std::string(loadSettings({"", flags}).status().message());
  };
  using Catch::Matchers::Contains;
  CHECK_THAT(errorWith("cohort", "localhost:1"), Contains("'cohort'") && Contains("host names"));
  CHECK_THAT(errorWith("cohort", "127.0.0.1:70000"), Contains("bad port"));
  CHECK_THAT(errorWith("callers", "127.0.0.1:2"), Contains("'callers'") && Contains("same ip"));
  CHECK_THAT(errorWith("seeds", ""), Contains("'seeds'") && Contains("missing"));
  CHECK_THAT(errorWith("platform", ""), Contains("'platform'"));
  CHECK_THAT(errorWith("colour", "red"), Contains("colour"));
  CHECK_THAT(errorWith("grace_ms", "soon"), Contains("/grace_ms"));
  CHECK_THAT(errorWith("role", "boss"), Contains("/role"));
  CHECK_THAT(errorWith("data_folder", "/proc/none"), Contains("'data_folder'"));
  CHECK_THAT(std::string(loadSettings({"/no/such/file", {}}).status().message()),
             Contains("can't be read"));
}

namespace {
// A valid document with every field of the schema. Tests change one field each.
nlohmann::json wholeConfiguration() {
  return nlohmann::json::parse(R"({
    "models": {"till": {"weights": "w1"}},
    "tenants": {"north": {"priority": 0, "keys": []}},
    "contracts": {"talk": {"repeatable": true, "stream": true, "resumable": true, "priority": 3,
                           "target_ms": 400, "gap_target_ms": 250, "due_ms": 8000},
                  "audit": {"model": "till", "repeatable": false}},
    "ways": {"w": "audit"},
    "routes": {"talk": {"host": "a.example", "prefix": "/talk/", "contract": "talk",
                        "split": [{"service": "east", "weight": 0}, {"service": "west"}]},
               "all": {"host": "a.example", "prefix": "/", "contract": "audit", "public": true,
                       "split": [{"service": "east"}]}},
    "services": {"east": {"health_path": "/healthz", "max_connections": 630, "slots": 128,
                          "cache_tokens": 319789, "token_bytes": 18432, "link_mbps": 1.5,
                          "event_readers": 12, "models": ["till"]},
                 "west": {}},
    "stores": {"shelf": {"address": "10.0.0.2:8680", "zone": "z", "cache_tokens": 7,
                         "link_mbps": 2, "event_readers": 3}},
    "caller_limits": {"header_bytes": 16384, "body_bytes": 4096, "header_due_ms": 3000,
                      "idle_due_ms": 15000}})");
}
}  // namespace

TEST_CASE("spec: routes, services, stores and callers' limits") {
  using namespace std::chrono_literals;
  const auto configuration = parseConfiguration(wholeConfiguration().dump());
  INFO(configuration.status().ToString());
  REQUIRE(configuration.ok());
  const Route* talk = findRoute(*configuration, "A.example:80", "/talk/x");
  REQUIRE(talk);
  CHECK(talk->name == "talk");
  CHECK(talk->split[0].weight == 0);
  CHECK(talk->split[1].weight == 1);
  CHECK(findRoute(*configuration, "a.example", "/x")->isPublic);
  CHECK_FALSE(findRoute(*configuration, "b.example", "/x"));
  const RoutePolicy& policy = configuration->policies.at(PolicyName{"talk"});
  CHECK((policy.isStream && policy.isResumable && policy.model.value.empty()));
  CHECK(policy.priority == 3);
  CHECK(policy.firstEventTarget == 400ms);
  CHECK(policy.eventGapTarget == 250ms);
  CHECK(configuration->tenants.at(TenantName{"north"}).priority == 0U);
  const Service& east = configuration->services.at(ServiceName{"east"});
  CHECK(east.maxConnections == 630);
  CHECK(east.models.at(0).value == "till");
  CHECK(east.eventReaders == 12);
  CHECK(configuration->stores.at(ServiceName{"shelf"}).address.value == "10.0.0.2:8680");
  CHECK(configuration->callerLimits.headerTimeout == 3s);
  CHECK(configuration->callerLimits.bodyBytes == 4096);
}

TEST_CASE("spec: each rule of routes and policies names the field") {
  const auto errorWith = [](const char* pointer, const nlohmann::json& value) {
    nlohmann::json document = wholeConfiguration();
    document[nlohmann::json::json_pointer(pointer)] = value;
    return pathOfError(document.dump());
  };
  CHECK(errorWith("/routes/talk/split/1/service", "no") == "/routes/talk/split/1/service");
  CHECK(errorWith("/routes/talk/contract", "no") == "/routes/talk/contract");
  // Routes are checked in the order of their names, so "talk" conflicts with "all" and not vice
  // versa.
  CHECK(errorWith("/routes/talk/prefix", "/") == "/routes/talk/prefix");
  CHECK(errorWith("/routes/talk/prefix", "talk") == "/routes/talk/prefix");
  CHECK(errorWith("/routes/talk/host", "A.example") == "/routes/talk/host");
  CHECK(errorWith("/routes/talk/split/1/weight", 0) == "/routes/talk/split");
  CHECK(errorWith("/contracts/talk/due_ms", 0) == "/contracts/talk/due_ms");
  CHECK(errorWith("/contracts/talk/repeatable", false) == "/contracts/talk/resumable");
  CHECK(errorWith("/contracts/talk/stream", false) == "/contracts/talk/resumable");
  CHECK(errorWith("/services/east/models/0", "no") == "/services/east/models");
  CHECK(errorWith("/ways/v", "talk") == "/contracts/talk/model");
  CHECK(errorWith("/contracts/idle", {{"repeatable", true}}) == "/contracts/idle/model");
  CHECK(errorWith("/stores/shelf/address", "shelf") == "/stores/shelf/address");
}
