// Tests of the graceful shutdown: until when requests are accepted, and that every accepted request
// gets its response.
#include "relay_stage.h"

using namespace quayrill;
using namespace quayrill::tests;

namespace {
// A caller with a persistent connection.
struct PersistentCaller {
  asio::io_context io;
  Tcp::socket socket{io};
  std::string bytes;
  explicit PersistentCaller(const RelayStage& stage) { socket.connect(endpointOf(stage.callers)); }
  void send(const std::string& path, const std::string& id) {
    asio::write(socket, asio::buffer(RelayStage::request(path, id, "X-Key: key\r\n", false)));
  }
  // Reads the next chunked response, including its head.
  std::string readNext() {
    const auto size = asio::read_until(socket, asio::dynamic_buffer(bytes), "\r\n0\r\n\r\n");
    std::string answer = bytes.substr(0, size);
    bytes.erase(0, size);
    return answer;
  }
  // Reads until the other end closes.
  std::string readToEnd() {
    ErrorCode code;
    asio::read(socket, asio::dynamic_buffer(bytes), code);
    return bytes;
  }
};
}  // namespace

TEST_CASE("leaving: the schedule accepts for three seconds and ends within the grace") {
  const Instant signal{};
  const LeaveSchedule eightSeconds = leaveSchedule(signal, 8s);
  CHECK(eightSeconds.rejectFrom == signal + 3s);
  CHECK(eightSeconds.earliestExit == signal + 3500ms);
  CHECK(eightSeconds.abortAt == signal + 6857142858ns);
  CHECK(eightSeconds.exitBy == signal + 7s);
  for (Duration grace = 10ms; grace <= 30s; grace += 10ms) {
    const LeaveSchedule schedule = leaveSchedule(signal, grace);
    CHECK(signal < schedule.rejectFrom);
    CHECK(schedule.rejectFrom <= schedule.earliestExit);
    CHECK(schedule.earliestExit <= schedule.abortAt);
    CHECK(schedule.abortAt < schedule.exitBy);
    CHECK(schedule.exitBy < signal + grace);
  }
}

// Guards against: a leave that takes up the whole grace, so that a busy machine ends it by force.
TEST_CASE("leaving: the last answer is written a tenth before the grace is over") {
  const Instant signal{};
  for (Duration grace = 10ms; grace <= 30s; grace += 10ms)
    CHECK(leaveSchedule(signal, grace).exitBy <= signal + grace - grace / 10);
}

TEST_CASE("leaving: not ready at once, and what still comes is served and told to close") {
  RelayStage stage(1, 60s);
  PersistentCaller caller(stage);
  caller.send("/once/", "r1");
  CHECK(headerIn(caller.readNext(), "Connection").empty());
  stage.relay->beginLeaving(stage.grace);
  stage.waitReady(503);
  caller.send("/once/", "r2");
  const std::string second = caller.readNext();
  CHECK(headerIn(second, "X-Id") == "r2");
  CHECK(headerIn(second, "Connection") == "close");
  CHECK(caller.readToEnd().empty());
  const std::string fresh =
      stage.exchange(stage.callers, RelayStage::request("/once/", "r3", "X-Key: key\r\n", false));
  CHECK(statusOf(fresh) == 200);
  CHECK(headerIn(fresh, "Connection") == "close");
  CHECK(endsWhole(fresh));
}

TEST_CASE("leaving: an answer whose head is made after the signal says that the connection ends") {
  RelayStage stage(1, 60s);
  std::atomic<bool> mayAnswer{false};
  stage.setScript([&](int, const std::string& request) {
    while (!mayAnswer) std::this_thread::yield();
    return Reply{streamHead(request) + chunked({event(1)})};
  });
  PersistentCaller caller(stage);
  caller.send("/once/", "r1");
  // The server's thread is waiting in the script.
  eventually([&] { return stage.servers[0]->arrived > 0; });
  stage.relay->beginLeaving(stage.grace);
  stage.waitReady(503);
  mayAnswer = true;
  const std::string answer = caller.readNext();
  CHECK(headerIn(answer, "X-Id") == "r1");
  CHECK(headerIn(answer, "Connection") == "close");
}

TEST_CASE("leaving: a stream under way ends whole, and its connection is closed behind it") {
  RelayStage stage(1, 4s);
  stage.setScript([](int, const std::string& request) {
    return Reply{streamHead(request) + chunked({event(1)}, false), false, true};
  });
  PersistentCaller caller(stage);
  caller.send("/once/", "r1");
  asio::read_until(caller.socket, asio::dynamic_buffer(caller.bytes), event(1));
  stage.relay->beginLeaving(stage.grace);
  stage.waitReady(503);
  stage.servers[0]->sendMore(chunked({event(2)}));
  const std::string answer = caller.readNext();
  CHECK(answer.find(event(2)) != std::string::npos);
  CHECK(endsWhole(answer));
  // Idle from now on, so it is closed once no more requests are accepted.
  CHECK(caller.readToEnd().empty());
  eventually([&] { return stage.relay->hasLeft(); });
}

TEST_CASE("leaving: what can't end within the grace gets a final answer before it is over") {
  RelayStage stage(2, 1600ms);
  stage.setScript([](int, const std::string&) { return Reply{"", false, true}; });
  PersistentCaller once(stage), again(stage);
  once.send("/once/", "r1");
  again.send("/again/", "r2");
  eventually([&] { return stage.arrivals() == 2; });
  const Instant signal = BootClock::now();
  stage.relay->beginLeaving(stage.grace);
  const std::string unknown = once.readToEnd();
  CHECK(statusOf(unknown) == 502);
  CHECK(headerIn(unknown, "Connection") == "close");
  CHECK(headerIn(unknown, "Retry-After").empty());
  CHECK_FALSE(headerIn(again.readToEnd(), "Retry-After").empty());
  eventually([&] { return stage.relay->hasLeft(); });
  CHECK(BootClock::now() - signal >= 1371ms);
  CHECK(stage.arrivals() == 2);  // neither was retried at a second server
}

TEST_CASE("leaving: a request that comes too late to end is refused at once and runs nowhere") {
  RelayStage stage(1, 4s);
  stage.setScript([](int, const std::string&) { return Reply{"", false, true}; });
  PersistentCaller running(stage), idle(stage);
  running.send("/once/", "r1");  // keeps the relay from finishing early
  eventually([&] { return stage.arrivals() == 1; });
  stage.relay->beginLeaving(stage.grace);
  CHECK(idle.readToEnd().empty());  // the relay rejects requests from now on
  // Confirms the configuration again, so that only the shutdown can cause the rejection.
  stage.relay->applySnapshot(stage.snapshot, BootClock::now());
  const std::string late = stage.post("/once/", "r2");
  CHECK(statusOf(late) == 503);
  CHECK_FALSE(headerIn(late, "Retry-After").empty());
  CHECK(headerIn(late, "Connection") == "close");
  CHECK(stage.arrivals() == 1);
}

TEST_CASE("leaving: a relay with nothing to do is gone before its grace") {
  RelayStage stage(1, 3s);
  PersistentCaller idle(stage);
  const Instant signal = BootClock::now();
  stage.relay->beginLeaving(stage.grace);
  eventually([&] { return stage.relay->hasLeft(); });
  CHECK(BootClock::now() - signal >= 1500ms);
  CHECK(idle.readToEnd().empty());
}

// Guards against: a grace that was changed while the daemon ran is not heeded when it leaves.
TEST_CASE("leaving: the grace in force at the signal counts, not the one of the start") {
  RelayStage stage(1, 400ms);
  stage.setScript([](int, const std::string& request) {
    return Reply{streamHead(request) + chunked({event(1)}, false), false, true};
  });
  PersistentCaller caller(stage);
  caller.send("/once/", "r1");
  eventually([&] { return stage.arrivals() == 1; });
  const Instant leftAt = BootClock::now();
  stage.relay->beginLeaving(60s);
  // Longer than the grace of the start.
  while (BootClock::now() < leftAt + 900ms) std::this_thread::sleep_for(20ms);
  stage.servers[0]->sendMore(chunked({event(2)}));
  const std::string answer = caller.readNext();
  CHECK(answer.find(event(2)) != std::string::npos);
  CHECK(endsWhole(answer));
}
