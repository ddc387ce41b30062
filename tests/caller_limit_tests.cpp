// Tests of the limits on what callers may send and how long they may be idle, and of the error
// responses that the relay itself creates.
#include "relay_stage.h"

using namespace quayrill;
using namespace quayrill::tests;

namespace {
void publishConfiguration(RelayStage& stage) {
  ++stage.snapshot.configurationVersion;
  stage.publishSnapshot();
}

std::string withBody(const std::string& id, const std::string& body) {
  return "POST /once/ HTTP/1.1\r\nHost: h.example\r\nX-Id: " + id +
         "\r\nX-Model: m\r\nX-Key: key\r\nConnection: close\r\n" + body;
}
}  // namespace

TEST_CASE("limits: a daemon that knows no configuration turns everything away unrun") {
  RelayStage stage(1, 60s, false);
  stage.waitReady(503);
  for (const char* path : {"/once/", "/nowhere/"}) {
    for (const char* key : {"X-Key: key\r\n", "X-Key: none\r\n", ""}) {
      const std::string answer = stage.post(path, "r1", key);
      CHECK(statusOf(answer) == 503);
      CHECK_FALSE(headerIn(answer, "Retry-After").empty());
      CHECK(headerIn(answer, "X-Id") == "r1");
    }
  }
  CHECK(stage.arrivals() == 0);
}

TEST_CASE("limits: a body comes with a length or in chunks, up to its limit to the byte") {
  RelayStage stage(1);
  stage.configuration.callerLimits.bodyBytes = 10;
  publishConfiguration(stage);
  const std::string counted = withBody("r1", "Content-Length: 10\r\n\r\n0123456789");
  const std::string chunks =
      withBody("r2", "Transfer-Encoding: chunked\r\n\r\n3\r\n012\r\n7\r\n3456789\r\n0\r\n\r\n");
  CHECK(statusOf(RelayStage::exchange(stage.callers, counted)) == 200);
  CHECK(statusOf(RelayStage::exchange(stage.callers, chunks)) == 200);
  for (const std::string& request : stage.servers[0]->received()) {
    CHECK(headerIn(request, "Content-Length") == "10");
    CHECK(headerIn(request, "Transfer-Encoding").empty());
    CHECK(request.substr(request.size() - 14) == "\r\n\r\n0123456789");
  }
  const std::string over =
      withBody("r3", "Transfer-Encoding: chunked\r\n\r\n3\r\n012\r\n8\r\n34567890\r\n0\r\n\r\n");
  CHECK(statusOf(RelayStage::exchange(stage.callers, over)) == 413);
  CHECK(stage.arrivals() == 2);
}

// Guards against: a limit on heads that 32 bits don't hold is cut to a small one, and every request
// ends with 431.
TEST_CASE("limits: a limit on heads beyond 32 bits lets heads pass") {
  RelayStage stage(1);
  for (const std::uint64_t limit :
       {(std::uint64_t{1} << 32) - 1, std::uint64_t{1} << 32, (std::uint64_t{1} << 32) + 1,
        (std::uint64_t{1} << 33) + 100, std::numeric_limits<std::uint64_t>::max()}) {
    CAPTURE(limit);
    stage.configuration.callerLimits.headerBytes = limit;
    publishConfiguration(stage);
    CHECK(statusOf(stage.post("/once/", "r1")) == 200);
  }
}

TEST_CASE("limits: a head may have its limit, and no more") {
  RelayStage stage(1);
  stage.configuration.callerLimits.headerBytes = 20000;
  publishConfiguration(stage);
  const auto withHead = [](std::size_t bytes) {
    const std::string start =
        "POST /once/ HTTP/1.1\r\nHost: h.example\r\nX-Id: r1\r\nX-Model: m\r\nX-Key: key\r\n"
        "Connection: close\r\nContent-Length: 2\r\nX-Long: ";
    return start + std::string(bytes - start.size() - 4, 'x') + "\r\n\r\n{}";
  };
  CHECK(statusOf(RelayStage::exchange(stage.callers, withHead(19000))) == 200);
  CHECK(statusOf(RelayStage::exchange(stage.callers, withHead(21000))) == 431);
  // One field may have as much as the parser can hold, and is refused beyond it.
  stage.configuration.callerLimits.headerBytes = 1 << 20;
  publishConfiguration(stage);
  CHECK(statusOf(RelayStage::exchange(stage.callers, withHead(60000))) == 200);
  CHECK(statusOf(RelayStage::exchange(stage.callers, withHead(100000))) == 431);
}

// Guards against: heads without end under a large limit fill the memory or deny others theirs.
TEST_CASE("limits: heads without end leave room for the heads of others") {
  constexpr std::size_t kMemoryLimit = 48 << 20;
  RelayStage stage(1, 60s, true, 20, 2s, kMemoryLimit);
  stage.configuration.callerLimits.headerBytes = (std::size_t{1} << 31) - 1;
  stage.configuration.callerLimits.headerTimeout = 60s;
  publishConfiguration(stage);
  const std::string start = "POST /once/ HTTP/1.1\r\nHost: h.example\r\nX-Id: r1\r\nX-Key: key\r\n";
  // One line without an end, lines, and lines that are little more than their ends.
  const std::size_t lineBytes = GENERATE(0, 100, 1);
  CAPTURE(lineBytes);
  const bool isOneLine = lineBytes == 0;
  std::string block;
  while (block.size() < (64 << 10))
    block += isOneLine ? "x" : "X:" + std::string(lineBytes, 'x') + "\r\n";
  // Sends a head until it is refused; returns the status.
  const auto sendHead = [&] {
    asio::io_context io;
    Tcp::socket socket(io);
    ErrorCode code;
    socket.connect(endpointOf(stage.callers), code);
    asio::write(socket, asio::buffer(start + (isOneLine ? "X-Long: " : "")), code);
    for (int i = 0; i < 1000 && !code && socket.available(code) == 0; ++i)
      asio::write(socket, asio::buffer(block), code);
    std::string bytes;
    asio::read(socket, asio::dynamic_buffer(bytes), code);
    return statusOf(bytes);
  };
  CHECK(sendHead() == 431);  // more than this machine has for one head
  std::atomic<int> running{6};
  std::vector<int> statuses(6);
  std::vector<std::thread> senders;
  for (int& status : statuses) {
    senders.emplace_back([&] {
      status = sendHead();
      --running;
    });
  }
  while (running > 0) {
    stage.relay->applySnapshot(stage.snapshot, BootClock::now());  // confirms the configuration
    CHECK(statusOf(stage.post("/once/", "sound")) == 200);
  }
  for (auto& sender : senders) sender.join();
  for (const int status : statuses) {
    CAPTURE(status);
    CHECK((status == 431 || status == 503));
  }
}

TEST_CASE("limits: a refusal arrives although its caller goes on sending the body") {
  RelayStage stage(1);
  stage.configuration.callerLimits.bodyBytes = 10;
  publishConfiguration(stage);
  const std::string body(900000, 'x');
  for (int i = 0; i < 5; ++i) {
    const std::string answer =
        RelayStage::exchange(stage.callers, withBody("r", "Content-Length: 900000\r\n\r\n" + body));
    CHECK(statusOf(answer) == 413);
  }
  CHECK(stage.arrivals() == 0);
}

TEST_CASE("limits: a connection rests as long as the configuration of the day says") {
  RelayStage stage(1);
  stage.configuration.callerLimits.idleTimeout = 1500ms;
  stage.addRoute("/last/", false, 1);
  publishConfiguration(stage);
  asio::io_context callerIo;
  Tcp::socket socket(callerIo);
  socket.connect(endpointOf(stage.callers));
  std::string bytes;
  const auto requestAgain = [&](const char* id) {
    asio::write(socket, asio::buffer(RelayStage::request("/once/", id, "X-Key: key\r\n", false)));
    ErrorCode code;
    asio::read_until(socket, asio::dynamic_buffer(bytes), "\r\n0\r\n\r\n", code);
    const bool isAnswered = !code && headerIn(bytes, "X-Id") == id;
    bytes.clear();
    return isAnswered;
  };
  CHECK(requestAgain("r1"));
  stage.configuration.callerLimits.idleTimeout = 120s;  // while the connection is idle
  publishConfiguration(stage);
  // Waits until the former limit has passed.
  stage.setScript([](int, const std::string& request) {
    if (headerIn(request, "X-Id") == "last") return Reply{"", false, true};
    return Reply{streamHead(request) + chunked({event(1)})};
  });
  CHECK(statusOf(stage.post("/last/", "last", "X-Key: key\r\nX-Due: 2500\r\n")) == 504);
  stage.publishSnapshot();  // confirms the configuration again
  CHECK(requestAgain("r2"));
  stage.configuration.callerLimits.idleTimeout = 300ms;
  publishConfiguration(stage);
  CHECK(requestAgain("r3"));
  ErrorCode code;
  asio::read(socket, asio::dynamic_buffer(bytes), code);
  CHECK(code == asio::error::eof);
  CHECK(bytes.empty());
}

TEST_CASE("limits: no failure of the relay's own bears a seal, a server's own keeps its") {
  RelayStage stage(1);
  stage.configuration.policies.at(PolicyName{"/once/"}).timeout = 200ms;
  publishConfiguration(stage);
  stage.setScript([](int arrival, const std::string& request) {
    const std::string seal = "X-Seal: s" + std::to_string(arrival) + "\r\n";
    if (arrival == 1) return Reply{plain(request, 500, seal)};
    if (arrival == 2) return Reply{plain(request, 503, "X-Not-Run: 1\r\n" + seal)};
    if (arrival == 3) return Reply{"", true};
    return Reply{"", false, true};
  });
  const std::string forwarded = stage.post("/once/", "r1");
  CHECK(statusOf(forwarded) == 500);
  CHECK(headerIn(forwarded, "X-Seal") == "s1");
  const std::vector<std::pair<int, std::string>> failures{
      {503, stage.post("/once/", "r2")},
      {502, stage.post("/once/", "r3")},
      {504, stage.post("/once/", "r4")},
      {401, stage.post("/once/", "r5", "X-Key: none\r\n")},
      {404, stage.post("/nowhere/", "r6")},
      {400, RelayStage::exchange(stage.callers, "nonsense\r\n\r\n")}};
  for (const auto& [status, answer] : failures) {
    CHECK(statusOf(answer) == status);
    CHECK(headerIn(answer, "X-Seal").empty());
  }
}
