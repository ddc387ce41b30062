// Tests of SQL queries over the answers of a fake daemon.
#include <catch2/catch.hpp>

#include "operator/fleet_tables.h"

using namespace quayrill;
using Json = nlohmann::json;

namespace {
// Answers fixed JSON and records which paths were requested.
struct FakeDaemon {
  std::vector<std::string> requestedPaths;
  absl::StatusOr<QueryResult> query(const std::string& sql) {
    return queryFleet(sql, [this](const std::string& path) -> absl::StatusOr<Json> {
      requestedPaths.push_back(path);
      if (path == "/q/members")
        return Json::parse(R"({"members":[{"cohort":"10.0.0.1:7","zone":"a","leaving":false},
          {"cohort":"10.0.0.2:7","zone":"b","leaving":true}],
          "copies":{"members":[{"cohort":"10.0.0.1:7","store":5}]}})");
      if (path == "/q/spec")
        return Json::parse(R"({"spec":{"ways":{"x":"c1","y":"c1"},
          "contracts":{"c1":{"model":"till","repeatable":true}}}})");
      if (path == "/q/decisions")
        return Json{{"lines", {R"({"decision":"weights","server":"s1","fence":7})", "no JSON"}}};
      return absl::UnavailableError("away");
    });
  }
};
}  // namespace

TEST_CASE("query: tables join, and only those that are named are read, each path once") {
  FakeDaemon daemon;
  const auto joined = daemon.query(
      "SELECT members.cohort, copies.store FROM members LEFT JOIN copies USING (cohort) ORDER BY "
      "1");
  INFO(joined.status().ToString());
  REQUIRE(joined.ok());
  CHECK(joined->columns == std::vector<std::string>{"cohort", "store"});
  CHECK(joined->rows == std::vector<Json>{{"10.0.0.1:7", 5}, {"10.0.0.2:7", nullptr}});
  CHECK(daemon.requestedPaths == std::vector<std::string>{"/q/members"});
  const auto ways = daemon.query(
      "SELECT ways.name, model, repeatable FROM ways JOIN contracts ON contract = contracts.name");
  REQUIRE(ways.ok());
  CHECK(ways->rows == std::vector<Json>{{"x", "till", 1}, {"y", "till", 1}});
  CHECK(daemon.query("SELECT fence FROM decisions")->rows == std::vector<Json>{{7}});
}

TEST_CASE("query: what is no single SELECT is told so and changes nothing") {
  FakeDaemon daemon;
  for (const char* sql : {"", "SELEC 1", "DELETE FROM members", "SELECT 1; SELECT 2",
                          "ATTACH 'x' AS y", "PRAGMA user_version", "SELECT a FROM nothing"}) {
    const auto answer = daemon.query(sql);
    REQUIRE_FALSE(answer.ok());
    CHECK(answer.status().message().find("one SELECT over members") != std::string::npos);
  }
  CHECK(daemon.query("SELECT * FROM servers").status().message() == "away");
}
