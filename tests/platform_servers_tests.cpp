// Parsing and formatting of the platform's server list, reports and orders, without a socket.
#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include "platform/servers.h"

using namespace quayrill;
namespace platform = quayrill::platform;
using Json = nlohmann::json;

namespace {
// As in the platform's documentation.
constexpr char kPage[] =
    R"({"instances":[{"backend":"huvo11a","addr":"10.128.0.9:8080","zone":"oriente","gen":"v1",)"
    R"("slots":128,"state":"ready","warmupLeftMs":0,"phase":"unified","models":[{"name":)"
    R"("daka510000","gen":1,"loras":[]}],"id":"i-7f3a91c2"}],"nextToken":"p-50"})";
constexpr char kReport[] =
    R"({"phase":"unified","models":[{"name":"other","gen":9,"loras":[]},{"name":"daka510000",)"
    R"("gen":2,"loras":[]}],"saturated":true,"seq":2,"queued":1,"active":12,"kvUsed":41000,)"
    R"("kvSize":90000,"refs":0})";

Json page() { return Json::parse(kPage); }
}  // namespace

TEST_CASE("platform servers: a page of the list tells all of a server") {
  const auto read = platform::parseListPage(kPage);
  REQUIRE(read.ok());
  CHECK(read->next == "p-50");
  REQUIRE(read->rows.size() == 1);
  const ListedServer& row = read->rows[0];
  CHECK(row.name == ServerName{"10.128.0.9:8080"});
  CHECK(row.zone == "oriente");
  CHECK(row.hasState);
  CHECK_FALSE(row.leaving);
  CHECK(row.identity == ServerIdentity{"i-7f3a91c2"});
  CHECK(row.service == ServiceName{"huvo11a"});
  CHECK(row.model == ModelName{"daka510000"});
  CHECK(row.weights == WeightsVersion{"1"});
  CHECK(row.slots == 128);
}

TEST_CASE("platform servers: a draining server and one in an unknown state are leaving") {
  for (const char* state : {"draining", "halted"}) {
    Json list = page();
    list["instances"][0]["state"] = state;
    const auto read = platform::parseListPage(list.dump());
    REQUIRE(read.ok());
    CHECK(read->rows.at(0).leaving);
  }
}

TEST_CASE("platform servers: a server without models has no weights") {
  Json list = page();
  list["instances"][0]["models"] = Json::array();
  list["nextToken"] = nullptr;
  const auto read = platform::parseListPage(list.dump());
  REQUIRE(read.ok());
  CHECK(read->next.empty());
  CHECK(read->rows.at(0).model == ModelName{});
  CHECK(read->rows.at(0).weights == WeightsVersion{});
}

TEST_CASE("platform servers: a page that can't be read whole is an error, never part of a list") {
  CHECK_FALSE(platform::parseListPage("").ok());
  CHECK_FALSE(platform::parseListPage("[]").ok());
  CHECK_FALSE(platform::parseListPage(std::string(kPage).substr(0, 200)).ok());
  for (const char* field : {"addr", "id", "state", "backend"}) {
    Json list = page();
    list["instances"][0].erase(field);
    CHECK_FALSE(platform::parseListPage(list.dump()).ok());
  }
  Json withoutToken = page();
  withoutToken.erase("nextToken");  // it is unknown whether another page follows
  CHECK_FALSE(platform::parseListPage(withoutToken.dump()).ok());
}

TEST_CASE("platform servers: a page token is escaped into the query") {
  CHECK(platform::listTarget("") == "/instances");
  CHECK(platform::listTarget("p-50") == "/instances?pageToken=p-50");
  CHECK(platform::listTarget("a b&c=%") == "/instances?pageToken=a%20b%26c%3D%25");
}

TEST_CASE("platform servers: a report is read for the model that was asked for") {
  const auto report = platform::parseReport(kReport, ModelName{"daka510000"});
  REQUIRE(report.ok());
  CHECK(report->model == ModelName{"daka510000"});
  CHECK(report->weights == WeightsVersion{"2"});
  CHECK(report->busy);
  CHECK_FALSE(platform::parseReport(kReport, ModelName{"absent"}).ok());
  CHECK_FALSE(platform::parseReport("{}", ModelName{"daka510000"}).ok());
  CHECK_FALSE(platform::parseReport("", ModelName{"daka510000"}).ok());
}

TEST_CASE("platform servers: an order names model, number, owner and fence") {
  const auto body = platform::orderBody({ServerIdentity{"i-1"}, ModelName{"daka510000"},
                                         WeightsVersion{"2"}, "node-7/ab", FencingToken{41}});
  REQUIRE(body.ok());
  CHECK(Json::parse(*body) == Json{{"op", "gen"},
                                   {"model", "daka510000"},
                                   {"gen", 2},
                                   {"method", "queue"},
                                   {"owner", "node-7/ab"},
                                   {"fence", 41}});
  for (const char* weights : {"", "w2", "2x", "-1"})
    CHECK_FALSE(
        platform::orderBody({{}, ModelName{"m"}, WeightsVersion{weights}, "o", FencingToken{1}})
            .ok());
}

TEST_CASE("platform servers: each answer to an order says what became of it") {
  CHECK(platform::readOrderAnswer(202) == OrderAnswer::Taken);
  CHECK(platform::readOrderAnswer(200) == OrderAnswer::AlreadyHolds);
  CHECK(platform::readOrderAnswer(409) == OrderAnswer::Busy);
  CHECK(platform::readOrderAnswer(412) == OrderAnswer::Fenced);
  CHECK(platform::readOrderAnswer(400) == OrderAnswer::UnknownVersion);
  CHECK(platform::readOrderAnswer(421) == OrderAnswer::Refused);
  for (const unsigned status : {404U, 429U, 500U, 502U, 503U, 504U})
    CHECK(platform::readOrderAnswer(status) == OrderAnswer::Unclear);
}

TEST_CASE("platform servers: a report tells how many requests wait") {
  CHECK(*platform::parseQueued(R"({"queued":3,"active":12})") == 3);
  CHECK(*platform::parseQueued(R"({"queued":4294967296})") == 0xffffffffU);
  for (const char* body : {"", "[]", "{}", R"({"queued":-1})", R"({"queued":"3"})"})
    CHECK_FALSE(platform::parseQueued(body).ok());
}
