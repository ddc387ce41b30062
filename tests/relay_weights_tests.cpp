// Tests of which weights versions a response may start on, and until when, with a complete relay.
#include "relay_stage.h"

using namespace quayrill;
using namespace quayrill::tests;
using namespace std::chrono_literals;

namespace {
const ModelName kModel{"m"};
const std::chrono::microseconds kRolloutTimeLimit = Settings{}.rolloutTimeLimit;

// Makes `newest` the current version. `superseded`: for each older version, how long ago at least
// it was superseded.
void setCurrentWeights(
    RelayStage* stage, const std::string& newest,
    const std::vector<std::pair<std::string, std::chrono::microseconds>>& superseded) {
  stage->configuration.weights[kModel] = WeightsVersion{newest};
  ++stage->snapshot.configurationVersion;
  stage->snapshot.superseded.clear();
  for (const auto& [version, ago] : superseded)
    stage->snapshot.superseded.push_back({kModel, WeightsVersion{version}, ago.count()});
}
}  // namespace

TEST_CASE("relay: past a version's own bound nothing begins on it, whatever was named since") {
  RelayStage stage(2);
  setCurrentWeights(&stage, "4", {{"1", kRolloutTimeLimit + 1s}, {"2", 8s}, {"3", 1s}});
  stage.snapshot.servers[1].weights = WeightsVersion{"2"};
  stage.publishSnapshot();
  for (int i = 0; i < 12; ++i)
    CHECK(statusOf(stage.post("/once/", "r" + std::to_string(i))) == 200);
  CHECK(stage.servers[0]->received().empty());
  CHECK(stage.servers[1]->received().size() == 12);
}

TEST_CASE("relay: a model that a request does not name is bound by its weights too") {
  RelayStage stage(2);
  setCurrentWeights(&stage, "2", {{"1", kRolloutTimeLimit + 1s}});
  stage.snapshot.servers[1].weights = WeightsVersion{"2"};
  stage.publishSnapshot();
  for (int i = 0; i < 8; ++i) {
    const std::string id = "r" + std::to_string(i);
    CHECK(statusOf(RelayStage::exchange(
              stage.callers, "POST /once/ HTTP/1.1\r\nHost: h.example\r\nX-Id: " + id +
                                 "\r\nX-Key: key\r\nConnection: close\r\nContent-Length: "
                                 "2\r\n\r\n{}")) == 200);
  }
  CHECK(stage.servers[0]->received().empty());
}

TEST_CASE("relay: where the time of a naming is not known, the newest weights alone serve") {
  RelayStage stage(2);
  setCurrentWeights(&stage, "2", {});
  stage.publishSnapshot();
  const std::string refused = stage.post("/once/", "r1");
  CHECK(statusOf(refused) == 503);
  CHECK_FALSE(headerIn(refused, "Retry-After").empty());
  CHECK(stage.arrivals() == 0);
  stage.snapshot.servers[1].weights = WeightsVersion{"2"};
  stage.publishSnapshot();
  CHECK(statusOf(stage.post("/once/", "r2")) == 200);
  CHECK(stage.servers[1]->received().size() == 1);
}

TEST_CASE("relay: a request that waits at a server does not begin there past the bound") {
  RelayStage stage(2);
  // Only the deadline of the weights can end the attempt.
  stage.configuration.policies[PolicyName{"/again/"}].firstEventTarget = 600s;
  ++stage.snapshot.configurationVersion;
  stage.snapshot.servers[1].leaving = true;
  stage.publishSnapshot();
  stage.servers[0]->setScript([](int, const std::string&) { return Reply{"", false, true}; });
  stage.servers[1]->setScript([](int, const std::string& request) {
    return Reply{streamHead(request, "s2") + chunked({event(1)})};
  });
  const bool isRepeatable = GENERATE(false, true);
  std::string answer;
  std::thread caller([&] {
    answer =
        stage.post(isRepeatable ? "/again/" : "/once/", "r1", "X-Key: key\r\nX-Due: 600000\r\n");
  });
  eventually([&] { return stage.servers[0]->arrived == 1; });
  // Newer weights become current meanwhile, and the deadline of the old ones is close.
  setCurrentWeights(&stage, "2", {{"1", kRolloutTimeLimit - 500ms}});
  stage.snapshot.servers[1].weights = WeightsVersion{"2"};
  stage.snapshot.servers[1].leaving = false;
  stage.publishSnapshot();
  caller.join();
  CHECK(stage.servers[0]->received().size() == 1);
  if (isRepeatable) {
    CHECK(statusOf(answer) == 200);
    CHECK(headerIn(answer, "X-Seal") == "s2");
    CHECK(endsWhole(answer));
  } else {  // the request may have run
    CHECK(statusOf(answer) == 502);
    CHECK(answer.find("superseded") != std::string::npos);
    CHECK(stage.servers[1]->received().empty());
  }
}

TEST_CASE("relay: a stream that has begun goes on past the bound of its weights") {
  RelayStage stage(1);
  constexpr auto kLeft = 3500ms;  // more than a new request needs
  setCurrentWeights(&stage, "2", {{"1", kRolloutTimeLimit - kLeft}});
  const Instant past = BootClock::now() + kLeft + 100ms;
  stage.publishSnapshot();
  stage.servers[0]->pause = [past] {
    while (BootClock::now() < past) std::this_thread::yield();
  };
  stage.servers[0]->setScript([](int, const std::string& request) {
    const std::string first = streamHead(request) + chunked({event(1)}, false);
    Reply reply{first + chunked({event(2)})};
    reply.cut = first.size();
    return reply;
  });
  const std::string answer = stage.post("/once/", "r1");
  CHECK(BootClock::now() >= past);
  CHECK(statusOf(answer) == 200);
  CHECK(endsWhole(answer));
}

TEST_CASE("relay: a stream is taken up again on weights that may still be begun on") {
  RelayStage stage(3);
  stage.snapshot.servers[1].leaving = stage.snapshot.servers[2].leaving = true;
  stage.publishSnapshot();
  // While the first server responds, it becomes known that newer weights have been current for
  // long.
  stage.servers[0]->setScript([&](int, const std::string& request) {
    setCurrentWeights(&stage, "2", {{"1", kRolloutTimeLimit + 1s}});
    stage.snapshot.servers[1].leaving = stage.snapshot.servers[2].leaving = false;
    stage.snapshot.servers[2].weights = WeightsVersion{"2"};
    stage.relay->applySnapshot(stage.snapshot, BootClock::now());
    const std::string first = streamHead(request) + chunked({event(1)}, false);
    Reply reply{first + chunked({event(2), event(3)})};
    reply.cut = first.size();
    reply.fault = Fault::Close;
    return reply;
  });
  for (int i : {1, 2}) {
    stage.servers[i]->setScript([](int, const std::string& request) {
      return Reply{streamHead(request) + chunked({event(2), event(3)})};
    });
  }
  const std::string answer = stage.post("/again/", "r1");
  CHECK(statusOf(answer) == 200);
  CHECK(endsWhole(answer));
  CHECK(stage.servers[1]->received().empty());
  REQUIRE(stage.servers[2]->received().size() == 1);
  CHECK(headerIn(stage.servers[2]->received()[0], "Last-Event-Id") == "1");
  CHECK(headerIn(stage.servers[2]->received()[0], "X-Want-Weights") == "2");
}
