#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "base/digest.h"
#include "boot/boot.h"
#include "spec/spec.h"

using namespace quayrill;

namespace {
const std::string kDigest = keyDigest("secret");
std::string specWith(const std::string& tenants, const std::string& contracts,
                     const std::string& ways) {
  return R"({"models":{"till":{"weights":"w1"}},"tenants":)" + tenants + R"(,"contracts":)" +
         contracts + R"(,"ways":)" + ways + "}";
}
std::string pathOfDefect(const std::string& body) {
  const auto spec = parseSpec(body);
  if (spec.ok()) return "";
  const std::string text(spec.status().message());
  return text.substr(0, text.find(": "));
}
}  // namespace

TEST_CASE("spec: what it may hold, and where a defect lies") {
  const std::string good = specWith(R"({"a":{"keys":[")" + kDigest + R"("]}})",
                                    R"({"c":{"model":"till","repeatable":false}})", R"({"w":"c"})");
  const auto spec = parseSpec(good);
  REQUIRE(spec.ok());
  CHECK(spec->tenantOfDigest.at(kDigest).value == "a");
  CHECK_FALSE(spec->contracts.at(ContractName{"c"}).repeatable);
  CHECK(pathOfDefect("{") == "/");
  CHECK(pathOfDefect(specWith("{}", R"({"c":{"model":"no","repeatable":true}})", "{}")) ==
        "/contracts/c/model");
  CHECK(pathOfDefect(specWith("{}", "{}", R"({"w":"c"})")) == "/ways/w");
  CHECK(pathOfDefect(specWith(R"({"a":{"keys":["plain"]}})", "{}", "{}")) == "/tenants/a/keys/0");
  CHECK(pathOfDefect(specWith("{}", R"({"c":{"model":"till"}})", "{}")) == "/contracts/c");
  CHECK(pathOfDefect(
            specWith(R"({"a":{"keys":[")" + kDigest + R"("]},"b":{"keys":[")" + kDigest + R"("]}})",
                     "{}", "{}")) == "/tenants/b/keys");
}

TEST_CASE("spec: a merge patch changes what it names and removes with null") {
  const auto patched = patchSpec(R"({"a":{"x":1,"y":2}})", R"({"a":{"x":null,"z":3}})");
  REQUIRE(patched.ok());
  CHECK(*patched == R"({"a":{"y":2,"z":3}})");
  CHECK_FALSE(patchSpec("{}", "[1]").ok());
}

TEST_CASE("spec: an isolated tenant's salts are its own and nobody else can name one") {
  const auto spec = parseSpec(specWith(R"({"iso":{"isolated":true},"open":{}})", "{}", "{}"));
  REQUIRE(spec.ok());
  CacheSalt isolated, shared;
  REQUIRE(saltFor(*spec, TenantName{"iso"}, "", &isolated));
  CHECK(isolated.value == "tenant:iso");
  CHECK_FALSE(saltFor(*spec, TenantName{"open"}, isolated.value, &shared));
  CHECK_FALSE(saltFor(*spec, TenantName{"iso"}, "tenant:other", &isolated));
  REQUIRE(saltFor(*spec, TenantName{"open"}, "", &shared));
  CHECK(shared.value.empty());
}

TEST_CASE("boot: each bad setting is named with its remedy") {
  const std::map<std::string, std::string> good = {
      {"cohort", "127.0.0.1:1"},   {"operators", "127.0.0.1:2"}, {"callers", "127.0.0.1:3"},
      {"platform", "127.0.0.1:4"}, {"seeds", "127.0.0.1:1"},     {"zone", "z"}};
  REQUIRE(loadBoot({"", good}).ok());
  const auto defectWith = [&](const std::string& name, const std::string& value) {
    auto flags = good;
    if (value.empty())
      flags.erase(name);
    else
      flags[name] = value;
    return std::string(loadBoot({"", flags}).status().message());
  };
  using Catch::Matchers::Contains;
  CHECK_THAT(defectWith("cohort", "localhost:1"), Contains("'cohort'") && Contains("host names"));
  CHECK_THAT(defectWith("cohort", "127.0.0.1:70000"), Contains("bad port"));
  CHECK_THAT(defectWith("callers", "127.0.0.1:2"), Contains("'callers'") && Contains("same ip"));
  CHECK_THAT(defectWith("seeds", ""), Contains("'seeds'") && Contains("missing"));
  CHECK_THAT(defectWith("platform", ""), Contains("'platform'"));
  CHECK_THAT(defectWith("colour", "red"), Contains("colour"));
  CHECK_THAT(defectWith("grace_ms", "soon"), Contains("/grace_ms"));
  CHECK_THAT(defectWith("role", "boss"), Contains("/role"));
  CHECK_THAT(defectWith("data_folder", "/proc/none"), Contains("'data_folder'"));
  CHECK_THAT(std::string(loadBoot({"/no/such/file", {}}).status().message()),
             Contains("can't be read"));
}

namespace {
// Everything that an own document may state; each test changes one place.
nlohmann::json wholeSpec() {
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
  const auto spec = parseSpec(wholeSpec().dump());
  INFO(spec.status().ToString());
  REQUIRE(spec.ok());
  const Route* talk = findRoute(*spec, "A.example:80", "/talk/x");
  REQUIRE(talk);
  CHECK(talk->name == "talk");
  CHECK(talk->split[0].weight == 0);
  CHECK(talk->split[1].weight == 1);
  CHECK(findRoute(*spec, "a.example", "/x")->isPublic);
  CHECK_FALSE(findRoute(*spec, "b.example", "/x"));
  const Contract& contract = spec->contracts.at(ContractName{"talk"});
  CHECK((contract.isStream && contract.isResumable && contract.model.value.empty()));
  CHECK(contract.priority == 3);
  CHECK(contract.target == 400ms);
  CHECK(contract.gapTarget == 250ms);
  CHECK(spec->tenants.at(TenantName{"north"}).priority == 0U);
  const Service& east = spec->services.at(ServiceName{"east"});
  CHECK(east.maxConnections == 630);
  CHECK(east.models.at(0).value == "till");
  CHECK(east.eventReaders == 12);
  CHECK(spec->stores.at(ServiceName{"shelf"}).address.value == "10.0.0.2:8680");
  CHECK(spec->callerLimits.headerDue == 3s);
  CHECK(spec->callerLimits.bodyBytes == 4096);
}

TEST_CASE("spec: each rule of routes and contracts names the field") {
  const auto defectWith = [](const char* pointer, const nlohmann::json& value) {
    nlohmann::json document = wholeSpec();
    document[nlohmann::json::json_pointer(pointer)] = value;
    return pathOfDefect(document.dump());
  };
  CHECK(defectWith("/routes/talk/split/1/service", "no") == "/routes/talk/split/1/service");
  CHECK(defectWith("/routes/talk/contract", "no") == "/routes/talk/contract");
  // Rows are read by name: "talk" comes behind "all", which has the prefix first.
  CHECK(defectWith("/routes/talk/prefix", "/") == "/routes/talk/prefix");
  CHECK(defectWith("/routes/talk/prefix", "talk") == "/routes/talk/prefix");
  CHECK(defectWith("/routes/talk/host", "A.example") == "/routes/talk/host");
  CHECK(defectWith("/routes/talk/split/1/weight", 0) == "/routes/talk/split");
  CHECK(defectWith("/contracts/talk/due_ms", 0) == "/contracts/talk/due_ms");
  CHECK(defectWith("/contracts/talk/repeatable", false) == "/contracts/talk/resumable");
  CHECK(defectWith("/contracts/talk/stream", false) == "/contracts/talk/resumable");
  CHECK(defectWith("/services/east/models/0", "no") == "/services/east/models");
  CHECK(defectWith("/ways/v", "talk") == "/contracts/talk/model");
  CHECK(defectWith("/contracts/idle", {{"repeatable", true}}) == "/contracts/idle/model");
  CHECK(defectWith("/stores/shelf/address", "shelf") == "/stores/shelf/address");
}
