// Tests of the proxy's request handling against failing and misbehaving model servers.
#include "proxy_stage.h"

using namespace quayrill;
using namespace quayrill::tests;

TEST_CASE("proxy: bad input is told apart and reaches no server") {
  Stage stage(1);
  CHECK(stage.post("once").result_int() == 200);
  CHECK(stage.post("once", "{").result_int() == 400);
  CHECK(stage.post("once", "{}", {{"Quayrill-Prompt-Prefix", "a:0"}}).result_int() == 400);
  CHECK(stage.post("once", "{}", {{"Quayrill-Due-Ms", "soon"}}).result_int() == 400);
  CHECK(stage.post("once", "{}", {{"Quayrill-Cache-Salt", "a b"}}).result_int() == 400);
  CHECK(stage.post("once", "{}", {{"Authorization", "Bearer other"}}).result_int() == 401);
  CHECK(stage.post("once", "{}", {{"Authorization", "Basic key"}}).result_int() == 401);
  CHECK(stage.post("once", "{}", {{"Quayrill-Cache-Salt", "tenant:hill"}}).result_int() == 403);
  CHECK(stage.post("nowhere").result_int() == 404);
  CHECK(stage.post("again", "\"" + std::string(100, 'x') + "\"").result_int() == 413);
  CHECK(stage.post("once", "{}", {{"X-Long", std::string(20000, 'x')}}).result_int() == 413);
  CHECK(stage.arrivals() == 1);
}

TEST_CASE("proxy: what may have run is never sent again unless it may be repeated") {
  Stage stage(3);
  stage.setAllBehaviors(ServerBehavior::Vanish);
  const HttpResponse once = stage.post("once");
  CHECK(once.result_int() == 502);
  CHECK(isUnknown(once));
  CHECK(stage.arrivals() == 1);
  stage.setAllBehaviors(ServerBehavior::Hang);
  const HttpResponse late = stage.post("once");
  CHECK(late.result_int() == 504);
  CHECK(isUnknown(late));
  CHECK(stage.arrivals() == 2);
}

TEST_CASE("proxy: one silent server does not eat the whole due of what may be repeated") {
  Stage stage(2);
  // Earns budget for an extra attempt: one daemon may add a tenth of the first sends, also over the
  // last two seconds alone.
  for (int i = 0; i < 20; ++i) stage.post("again");
  const int before = stage.arrivals();
  stage.servers[0]->behavior = ServerBehavior::Hang;
  // Different prefixes spread over both servers, so one of the requests reaches the hanging server.
  int extraSends = 0;
  for (int i = 0; i < 12 && extraSends == 0; ++i) {
    const std::string prefix = "p" + std::to_string(i) + ":64,own:16";
    const HttpResponse response = stage.post(
        "again", "{}", {{"Quayrill-Due-Ms", "2000"}, {"Quayrill-Prompt-Prefix", prefix}});
    CHECK(response.result_int() == 200);
    extraSends = stage.arrivals() - before - (i + 1);
  }
  CHECK(extraSends == 1);
  stage.setAllBehaviors(ServerBehavior::Hang);
  const HttpResponse late = stage.post("again", "{}", {{"Quayrill-Due-Ms", "300"}});
  CHECK(isUnknown(late, true));
  stage.setAllBehaviors(ServerBehavior::Answer);
}

TEST_CASE("proxy: a server's own 'not run' may be tried elsewhere, within the budget") {
  Stage stage(3);
  stage.servers[0]->behavior = ServerBehavior::NotRun;
  for (int i = 0; i < 20; ++i) CHECK(stage.post("again").result_int() / 100 != 4);
  const int before = stage.arrivals();
  stage.setAllBehaviors(ServerBehavior::NotRun);
  int rejected = 0;
  for (int i = 0; i < 10; ++i) rejected += isRejected(stage.post("once")) ? 1 : 0;
  CHECK(rejected == 10);
  CHECK(stage.arrivals() - before >= 10);
  CHECK(stage.arrivals() <= 30 + 30 / 5);  // extra attempts stay under a fifth of 30 first sends
}

TEST_CASE("proxy: with no free server the caller is turned away at once") {
  Stage stage(1);
  stage.updateSnapshot([](Snapshot& snapshot) { snapshot.servers[0].leaving = true; });
  eventually([&] { return isRejected(stage.post("once")); });
  const int before = stage.arrivals();
  const HttpResponse response = stage.post("once");
  CHECK(response.result_int() == 503);
  CHECK(isRejected(response));
  CHECK(stage.arrivals() == before);
}

TEST_CASE("proxy: an unconfirmed configuration or server list closes it, whatever it last knew") {
  Stage stage(1);
  stage.updateSnapshot([](Snapshot& snapshot) { snapshot.confirmedAgoMicros = 2'100'000; });
  stage.waitReady(503);
  CHECK(isRejected(stage.post("once")));
  stage.updateSnapshot([](Snapshot& snapshot) { snapshot.confirmedAgoMicros = 0; });
  stage.waitReady(200);
  stage.updateSnapshot([](Snapshot& snapshot) { snapshot.listedAgoMicros = 2'600'000; });
  stage.waitReady(503);
  CHECK(isRejected(stage.post("once")));
  CHECK(stage.arrivals() == 0);
}

TEST_CASE("proxy: a withdrawn key is dead with the configuration that withdraws it") {
  Stage stage(1);
  REQUIRE(stage.post("once").result_int() == 200);
  stage.updateSnapshot([](Snapshot& snapshot) {
    snapshot.configurationVersion = 2;
    snapshot.configurationBody = configurationBody("");
  });
  // Before the first 401, a request admitted under the old configuration may still fail the check
  // before sending.
  eventually([&] { return stage.post("once").result_int() == 401; });
  const int before = stage.arrivals();
  CHECK(stage.post("once").result_int() == 401);
  CHECK(stage.arrivals() == before);
}

TEST_CASE("proxy: a tenant at its limit is turned away and gets its places back") {
  Stage stage(1);
  stage.setAllBehaviors(ServerBehavior::Hang);
  std::vector<std::thread> callers;
  std::atomic<int> unknown{0};
  for (int i = 0; i < 2; ++i)
    callers.emplace_back([&] { unknown += isUnknown(stage.post("slow")) ? 1 : 0; });
  eventually([&] { return stage.arrivals() == 2; });
  for (int i = 0; i < 4; ++i) {
    const HttpResponse response = stage.post("slow");
    CHECK(response.result_int() == 429);
    CHECK(isRejected(response));
  }
  CHECK(stage.post("slow", "{}", {{"Authorization", "Bearer none"}}).result_int() == 401);
  stage.setAllBehaviors(ServerBehavior::Answer);  // closes the two hanging requests unanswered
  for (std::thread& caller : callers) caller.join();
  CHECK(unknown == 2);
  eventually([&] { return stage.post("slow").result_int() == 200; });
}

TEST_CASE("proxy: a request's decision is kept under its id, tries and all") {
  Stage stage(2);
  const HttpResponse done = stage.post("again", "{}", {{"Quayrill-Prompt-Prefix", "rules:64"}});
  HttpCall request;
  request.target = "/q/explain?id=" + std::string(done["Quayrill-Request-Id"]);
  // The row is written once the request has ended, which may be just after its last piece.
  eventually([&] { return stage.call(request).result_int() == 200; });
  const Json row = Json::parse(stage.call(request).body());
  CHECK(row["outcome"] == "done");
  CHECK(row["tries"].size() == 1);
  CHECK(row["tries"][0]["candidates"].size() == 2);
  CHECK(row["tries"][0]["prompt_tokens"] == 64);
  request.target = "/q/explain?id=none";
  CHECK(stage.call(request).result_int() == 404);
}

namespace {
// Makes the first server appear to use weights that were superseded `ago`.
void supersede(Stage* stage, std::chrono::microseconds ago) {
  stage->updateSnapshot([&](Snapshot& snapshot) {
    ++snapshot.configurationVersion;
    snapshot.servers[0].weights = WeightsVersion{"w0"};
    snapshot.superseded = {{ModelName{"till"}, WeightsVersion{"w0"}, ago.count()},
                           {ModelName{"till"}, WeightsVersion{"between"}, 1}};
  });
}
const std::chrono::microseconds kWeightsBound = Settings{}.rolloutTimeLimit;
}  // namespace

TEST_CASE("proxy: past a version's own bound nothing begins on it, whatever was named since") {
  Stage stage(1);
  supersede(&stage, kWeightsBound + 1s);
  eventually([&] { return stage.post("once").result_int() == 503; });
  const int before = stage.arrivals();
  CHECK(isRejected(stage.post("once")));
  CHECK(stage.arrivals() == before);
  supersede(&stage, kWeightsBound - 10s);
  eventually([&] { return stage.post("once").result_int() == 200; });
  CHECK(stage.arrivals() == before + 1);
}

TEST_CASE("proxy: a request that waits at a server does not begin there past the bound") {
  Stage stage(1);
  supersede(&stage, kWeightsBound + 1s);
  eventually([&] { return stage.post("once").result_int() == 503; });
  stage.setAllBehaviors(ServerBehavior::Hang);
  const int before = stage.arrivals();
  supersede(&stage, kWeightsBound - 3s);
  // The request's own deadline is a minute; the caller gives up after five seconds.
  HttpResponse answer;
  eventually([&] { return (answer = stage.post("slow")).result_int() != 503; });
  CHECK(stage.arrivals() == before + 1);
  CHECK(isUnknown(answer));
}
