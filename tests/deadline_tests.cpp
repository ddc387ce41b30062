// Tests that every request gets its final response by its deadline, and that none continues for a
// caller that has disconnected. The tests rely on order, not on durations: they wait for a later
// deadline of the same relay, by which everything due earlier must have happened.
#include "relay_stage.h"

using namespace quayrill;
using namespace quayrill::tests;

namespace {
// A caller with a plain socket.
struct RawCaller {
  asio::io_context io;
  Tcp::socket socket{io};
  explicit RawCaller(const RelayStage& stage, const std::string& text = "") {
    socket.open(Tcp::v4());
    socket.set_option(
        asio::socket_base::receive_buffer_size(4096));  // fills up quickly if not read
    socket.connect(endpointOf(stage.callers));
    if (!text.empty()) send(text);
  }
  void send(const std::string& text) { asio::write(socket, asio::buffer(text)); }
  // Returns the bytes available now. `ended` is set to whether the other end has closed.
  std::string readAvailable(bool* ended) {
    std::string bytes;
    ErrorCode code;
    socket.non_blocking(true);
    asio::read(socket, asio::dynamic_buffer(bytes), code);
    *ended = code == asio::error::eof || code == asio::error::connection_reset;
    return bytes;
  }
};

void setTimeout(RelayStage& stage, const std::string& route, std::chrono::milliseconds timeout) {
  stage.configuration.policies.at(PolicyName{route}).timeout = timeout;
  ++stage.snapshot.configurationVersion;
  stage.publishSnapshot();
}

Reply hang(int, const std::string&) { return Reply{"", false, true}; }

// Sends a request with that timeout and waits for the response at its deadline.
void waitForDeadline(RelayStage& stage, std::chrono::milliseconds timeout) {
  const std::string answer = stage.post(
      "/last/", "last", "X-Key: key\r\nX-Due: " + std::to_string(timeout.count()) + "\r\n");
  CHECK(statusOf(answer) == 504);
}

std::string metric(RelayStage& stage, const std::string& name) {
  const std::string all = RelayStage::exchange(
      stage.ready, "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  const auto at = all.find("\nquayrill_" + name + " ");
  if (at == std::string::npos) return "";
  const auto start = at + name.size() + 11;
  return all.substr(start, all.find('\n', start) - start);
}
}  // namespace

TEST_CASE("deadline: a server's silence ends at the route's deadline with a final answer") {
  RelayStage stage(1);
  stage.setScript(hang);
  setTimeout(stage, "/once/", 300ms);
  const Instant sent = BootClock::now();
  const std::string answer = stage.post("/once/", "r1");
  CHECK(statusOf(answer) == 504);
  CHECK(BootClock::now() - sent >= 300ms);
  CHECK(headerIn(answer, "X-Seal").empty());
}

TEST_CASE("deadline: a stream that runs past it is cut, with no end that looks whole") {
  RelayStage stage(1);
  stage.addRoute("/last/", false, 1);
  setTimeout(stage, "/once/", 300ms);
  stage.setScript([](int, const std::string& request) {
    if (headerIn(request, "X-Id") == "last") return hang(0, request);
    return Reply{streamHead(request) + chunked({event(1)}, false), false, true};
  });
  RawCaller caller(stage, RelayStage::request("/once/", "r1"));
  waitForDeadline(stage, 1000ms);
  bool ended = false;
  const std::string answer = caller.readAvailable(&ended);
  CHECK(ended);
  CHECK(answer.find(event(1)) != std::string::npos);
  CHECK_FALSE(endsWhole(answer));
}

TEST_CASE("deadline: the last words of a stream may come a moment behind it, no more") {
  RelayRequest job;
  job.deadline = Instant{} + 5s;
  CHECK(streamDeadline(job) > job.deadline);
  CHECK(streamDeadline(job) <= job.deadline + 200ms);
}

TEST_CASE("deadline: an answer that its caller doesn't take is given up there") {
  RelayStage stage(2);
  stage.addRoute("/last/", false, 1);
  setTimeout(stage, "/once/", 600ms);
  const std::string large = "data: " + std::string(100000, 'x') + "\n\n";
  const std::string stream = chunked(std::vector<std::string>(200, large));
  stage.setScript([&](int, const std::string& request) {
    if (headerIn(request, "X-Id") == "last") return hang(0, request);
    return Reply{streamHead(request) + stream, false, true};
  });
  RawCaller one(stage, RelayStage::request("/once/", "r1"));
  RawCaller two(stage, RelayStage::request("/once/", "r2"));
  for (RawCaller* caller : {&one, &two}) {  // the response has started; no more of it is read
    std::string bytes;
    asio::read_until(caller->socket, asio::dynamic_buffer(bytes), "data:");
  }
  waitForDeadline(stage, 1400ms);
  CHECK(stage.relay->openConnections() <= 1);  // at most the connection of the last response
}

TEST_CASE("deadline: a body that does not come is given up at the route's deadline") {
  RelayStage stage(1);
  stage.addRoute("/last/", false, 1);
  setTimeout(stage, "/once/", 300ms);
  stage.setScript(hang);
  RawCaller caller(stage,
                   "POST /once/ HTTP/1.1\r\nHost: h.example\r\nX-Id: r1\r\nX-Key: "
                   "key\r\nContent-Length: 10\r\n\r\n{");
  waitForDeadline(stage, 1000ms);
  bool ended = false;
  CHECK(statusOf(caller.readAvailable(&ended)) == 408);
  CHECK(stage.arrivals() == 1);
}

TEST_CASE("deadline: servers are handed what is left of the caller's own, less on a further try") {
  RelayStage stage(2);
  stage.configuration.policies.at(PolicyName{"/again/"}).firstEventTarget = 50ms;
  setTimeout(stage, "/again/", 20s);
  stage.setScript(hang);
  const std::string answer = stage.post("/again/", "r1", "X-Key: key\r\nX-Due: 2000\r\n");
  CHECK(statusOf(answer) == 504);
  std::vector<int> timeouts;
  for (auto& server : stage.servers) {
    for (const std::string& request : server->received())
      timeouts.push_back(std::stoi(headerIn(request, "X-Due")));
  }
  REQUIRE(timeouts.size() == 2);
  std::sort(timeouts.begin(), timeouts.end());
  CHECK(timeouts[1] <= 2000);
  CHECK(timeouts[0] <= timeouts[1] - 450);  // the time that the first server was given
  CHECK(timeouts[0] > 0);
}

TEST_CASE("gone: a caller that leaves while a server is connected to reaches no server") {
  RelayStage stage(1);
  // A server whose queue of new connections is full does not answer connection attempts.
  asio::io_context listenerIo;
  Tcp::acceptor full(listenerIo);
  const Address unreachable = localAddress(40, 7400);
  REQUIRE(listenAt(full, unreachable, 0).ok());
  std::vector<std::unique_ptr<Tcp::socket>> fillers;
  for (int i = 0; i < 8; ++i) {
    fillers.push_back(std::make_unique<Tcp::socket>(listenerIo));
    fillers.back()->open(Tcp::v4());
    fillers.back()->non_blocking(true);
    const Tcp::endpoint to = endpointOf(unreachable);
    // Starts to connect and does not wait.
    ::connect(fillers.back()->native_handle(), to.data(), static_cast<socklen_t>(to.size()));
  }
  SnapshotServer unreachableServer = stage.snapshot.servers[0];
  unreachableServer.name = ServerName{unreachable.value};
  stage.snapshot.servers.push_back(unreachableServer);
  stage.snapshot.servers[0].healthy = false;
  stage.publishSnapshot();
  {
    RawCaller caller(stage, RelayStage::request("/again/", "r1"));
    eventually([&] { return metric(stage, "requests") == "1"; });
    stage.snapshot.servers[0].healthy = true;
    stage.publishSnapshot();
  }
  eventually([&] { return stage.relay->openConnections() == 0; });
  CHECK(stage.arrivals() == 0);
}

TEST_CASE("gone: bytes of a next request hide no close behind them") {
  RelayStage stage(1);
  stage.setScript(hang);
  setTimeout(stage, "/once/", 120s);
  {
    RawCaller caller(stage, RelayStage::request("/once/", "r1", "X-Key: key\r\n", false));
    eventually([&] { return stage.arrivals() == 1; });
    caller.send("POST /once/ HTTP/1.1\r\nHo");
  }
  eventually([&] { return stage.servers[0]->closed == 1; });
}

TEST_CASE("gone: bytes of a next request are no leaving, and it is answered in its turn") {
  RelayStage stage(1);
  stage.setScript([](int arrival, const std::string& request) {
    std::string head = streamHead(request);
    if (arrival > 1) return Reply{head + chunked({event(1)})};
    head.insert(head.find("\r\n") + 2, "Connection: close\r\n");
    return Reply{head + chunked({event(1)}, false), false, true};
  });
  RawCaller caller(stage, RelayStage::request("/once/", "r1", "X-Key: key\r\n", false));
  std::string bytes;
  asio::read_until(caller.socket, asio::dynamic_buffer(bytes), event(1));
  caller.send(RelayStage::request("/once/", "r2"));
  stage.servers[0]->sendMore(chunked({event(2)}));
  ErrorCode code;
  asio::read(caller.socket, asio::dynamic_buffer(bytes), code);
  CHECK(bytes.find(event(2)) != std::string::npos);
  CHECK(bytes.find("X-Id: r2") > bytes.find(event(2)));
  CHECK(endsWhole(bytes));
}

TEST_CASE("gone: a half-close is taken for a close") {
  RelayStage stage(1);
  stage.setScript(hang);
  setTimeout(stage, "/again/", 120s);
  RawCaller caller(stage, RelayStage::request("/again/", "r1"));
  eventually([&] { return stage.arrivals() == 1; });
  caller.socket.shutdown(Tcp::socket::shutdown_send);
  eventually([&] { return stage.servers[0]->closed == 1; });
  eventually([&] { return stage.relay->openConnections() == 0; });
  CHECK(stage.arrivals() == 1);
}

TEST_CASE("gone: what may not be repeated and is no stream runs on to its end") {
  RelayStage stage(1);
  stage.addRoute("/plain/", false, 1);
  stage.configuration.policies.at(PolicyName{"/plain/"}).isStream = false;
  setTimeout(stage, "/plain/", 120s);
  stage.setScript(hang);
  std::weak_ptr<Tcp::socket> plainRun, streamRun;
  {
    RawCaller plain(stage, RelayStage::request("/plain/", "r1"));
    eventually([&] { return stage.arrivals() == 1; });
    plainRun = stage.servers[0]->hungConnection();
  }
  {
    RawCaller stream(stage, RelayStage::request("/once/", "r2"));
    eventually([&] { return stage.arrivals() == 2; });
    streamRun = stage.servers[0]->hungConnection();
  }
  eventually([&] { return streamRun.expired(); });
  CHECK_FALSE(plainRun.expired());  // although its caller disconnected first
}
