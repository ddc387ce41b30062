// Tests of requests that wait at a server while the configuration changes who is isolated, in both
// data planes.
#include "isolation_stage.h"

using namespace quayrill;
using namespace quayrill::tests;

namespace {
// From a change on, requests may start under the cache scope of before for this long.
const Duration kApplyLimit = Settings{}.applyLimit;
// The stage sends no confirmations of its own, so the bound runs from the last snapshot.
constexpr Duration kPastBound = 2500ms;

// Adds two routes whose answers come in one piece.
void addPlainRoutes(RelayStage& stage) {
  stage.addRoute("/safe/", true, 2);
  stage.addRoute("/unsafe/", false, 1);
  for (const char* route : {"/safe/", "/unsafe/"}) {
    RoutePolicy& policy = stage.configuration.policies.at(PolicyName{route});
    policy.isStream = policy.isResumable = false;
  }
}

bool isPlainRequest(const std::string& request) {
  return request.starts_with("POST /safe/") || request.starts_with("POST /unsafe/");
}

// A complete success.
std::string served(const std::string& request) {
  return isPlainRequest(request) ? plain(request, 200, "X-Seal: s1\r\n")
                                 : streamHead(request) + chunked({event(1)});
}

// A stage with one server, which does not answer requests under the scope of before the change.
struct WaitingStage : RelayStage {
  WaitingStage() : RelayStage(1) {
    addPlainRoutes(*this);
    addSecondOpenTenant(*this);
    setScript([](int arrival, const std::string& request) {
      return arrival == 1 ? Reply{"", false, true} : Reply{served(request)};
    });
  }
  // Sends a request and returns once the server has it.
  void sendWaiting(const std::string& path, const std::string& headers) {
    caller = std::thread([this, path, headers] { answer = post(path, "waiting", headers); });
    eventually([this] { return servers[0]->arrived >= 1; });
  }
  // Lets the server answer the waiting request once the bound has passed, and waits for the caller.
  void answerPastBound() {
    std::this_thread::sleep_for(kPastBound);
    servers[0]->sendMore(served(servers[0]->received().at(0)));
    caller.join();
  }
  std::thread caller;
  std::string answer;
};

std::uint64_t startsRevoked(RelayStage& stage) {
  const std::string all = RelayStage::exchange(
      stage.ready, "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  const std::string name = "\nquayrill_startsRevoked ";
  const auto at = all.find(name);
  REQUIRE(at != std::string::npos);
  return std::stoull(all.substr(at + name.size()));
}
}  // namespace

// Guards against: a request that waits at a server when a tenant becomes isolated starts there
// later than the bound for changes, and uses cache from the other side of the wall.
TEST_CASE("isolation wait: a request does not start under the scope of before past the bound") {
  const std::string path = GENERATE(as<std::string>{}, "/once/", "/again/", "/safe/", "/unsafe/");
  const std::string waiting = GENERATE(as<std::string>{}, kEast, kNorth);
  CAPTURE(path, waiting);
  WaitingStage stage;
  stage.sendWaiting(path, waiting);
  const Instant changedAt = BootClock::now();
  setNorthIsolated(stage, true);
  eventually([&] { return stage.servers[0]->closed >= 1; });
  CHECK(BootClock::now() - changedAt < kApplyLimit);
  stage.caller.join();
  const bool isRepeatable = path == "/again/" || path == "/safe/";
  const auto received = stage.servers[0]->received();
  if (isRepeatable) {  // sent again under the scope in force, to the only server there is
    CHECK(statusOf(stage.answer) == 200);
    REQUIRE(received.size() == 2);
    CHECK(headerIn(received[0], "X-Salt") != headerIn(received[1], "X-Salt"));
  } else {  // it may have started: the answer promises nothing
    CHECK(statusOf(stage.answer) == 502);
    CHECK(stage.answer.find("became isolated") != std::string::npos);
    CHECK(headerIn(stage.answer, "X-Seal").empty());
    CHECK(received.size() == 1);
  }
  CHECK(startsRevoked(stage) == 1);
}

// Guards against: requests are ended though no cache of theirs is on the other side of a wall.
TEST_CASE("isolation wait: a change that makes no tenant isolated ends nothing") {
  WaitingStage stage;
  setNorthIsolated(stage, true);
  stage.waitReady(200);
  const std::string waiting = GENERATE(as<std::string>{}, kEast, kNorth);
  stage.sendWaiting("/once/", waiting);
  setNorthIsolated(stage, false);
  stage.answerPastBound();
  CHECK(statusOf(stage.answer) == 200);
  CHECK(startsRevoked(stage) == 0);
}

// Guards against: the same, for a tenant that has a scope of its own before and after the change.
TEST_CASE("isolation wait: a request of an isolated tenant outlasts the isolation of another") {
  WaitingStage stage;
  stage.sendWaiting("/once/", "X-Key: hill-key\r\n");
  setNorthIsolated(stage, true);
  stage.answerPastBound();
  CHECK(statusOf(stage.answer) == 200);
  CHECK(startsRevoked(stage) == 0);
}

// Guards against: the same, for a request that names no prompt and uses no cache.
TEST_CASE("isolation wait: a request without a prompt prefix outlasts the isolation of a tenant") {
  WaitingStage stage;
  stage.caller = std::thread([&] {
    stage.answer =
        RelayStage::exchange(stage.callers,
                             "POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\nX-Id: waiting\r\nX-Key: "
                             "east-key\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}");
  });
  eventually([&] { return stage.servers[0]->arrived == 1; });
  setNorthIsolated(stage, true);
  stage.answerPastBound();
  CHECK(statusOf(stage.answer) == 200);
}

// Guards against: a stream is cut although it started before the change.
TEST_CASE("isolation wait: a stream that has started goes on") {
  WaitingStage stage;
  stage.setScript([](int, const std::string& request) {
    return Reply{streamHead(request) + chunked({event(1)}, false), false, true};
  });
  stage.sendWaiting("/once/", kEast);
  setNorthIsolated(stage, true);
  std::this_thread::sleep_for(kPastBound);
  stage.servers[0]->sendMore(chunked({event(2)}));
  stage.caller.join();
  CHECK(statusOf(stage.answer) == 200);
  CHECK(endsWhole(stage.answer));
  CHECK(startsRevoked(stage) == 0);
}

// Guards against: an answer in one piece is given up although its request has been running for
// long.
TEST_CASE("isolation wait: a request that its server's figures show running is not ended") {
  WaitingStage stage;
  stage.sendWaiting("/unsafe/", kEast);
  stage.setScript([](int, const std::string& request) {
    return Reply{plain(request, 200, "X-Seal: s1\r\nX-Load: 1,0,4\r\n")};
  });
  std::this_thread::sleep_for(700ms);
  CHECK(statusOf(stage.post("/safe/", "other", "X-Key: hill-key\r\n")) == 200);
  setNorthIsolated(stage, true);
  stage.answerPastBound();
  CHECK(statusOf(stage.answer) == 200);
  CHECK(startsRevoked(stage) == 0);
}

// Guards against: the same where no answer bears figures, and only a report tells.
TEST_CASE("isolation wait: a request that its server's report shows running is not ended") {
  const std::uint32_t queued = GENERATE(0U, 1U);
  WaitingStage stage;
  stage.onReadQueued = [queued] { return queued; };
  stage.sendWaiting("/unsafe/", kEast);
  std::this_thread::sleep_for(1100ms);
  stage.publishSnapshot();  // confirms the configuration again
  setNorthIsolated(stage, true);
  stage.answerPastBound();
  CHECK(statusOf(stage.answer) == (queued == 0 ? 200 : 502));
  CHECK(startsRevoked(stage) == queued);
}

// Guards against: the same as the first, in the data plane of the built-in dialect.
TEST_CASE("isolation wait: the built-in dialect ends what waits under the scope of before") {
  const bool isRepeatable = GENERATE(false, true);
  Stage stage(1);
  for (int i = 0; i < 20; ++i) stage.post("again");  // what the retry budget is a share of
  const int arrivedBefore = stage.arrivals();
  stage.servers[0]->behavior = ServerBehavior::Hang;
  std::optional<HttpResponse> response;
  std::thread caller([&] { response = stage.post(isRepeatable ? "again" : "slow"); });
  eventually([&] { return stage.arrivals() == arrivedBefore + 1; });
  const std::string saltBefore = stage.servers[0]->lastSalt();
  Json document = Json::parse(configurationBody("key"));
  document["tenants"]["east"] = {{"isolated", true}};
  stage.updateSnapshot([&](Snapshot& snapshot) {
    snapshot.configurationVersion = 2;
    snapshot.configurationBody = document.dump();
  });
  const Instant changedAt = BootClock::now();
  if (isRepeatable) {
    eventually([&] { return stage.arrivals() == arrivedBefore + 2; });
    CHECK(stage.servers[0]->lastSalt() != saltBefore);
    CHECK(BootClock::now() - changedAt < kApplyLimit);
    stage.servers[0]->behavior =
        ServerBehavior::Vanish;  // the request is repeated at most once more
  }
  caller.join();
  if (isRepeatable) return;
  CHECK(BootClock::now() - changedAt < kApplyLimit);
  CHECK(isUnknown(*response));
  CHECK(stage.arrivals() == arrivedBefore + 1);
  stage.servers[0]->behavior = ServerBehavior::Vanish;
}
