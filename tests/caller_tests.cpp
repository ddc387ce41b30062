// Tests with misbehaving callers (slow, disconnecting, idle, pipelining). None may block others or
// keep counting towards its tenant's concurrency limit.
#include "proxy_stage.h"

using namespace quayrill;
using namespace quayrill::tests;

namespace {
// A caller that writes raw bytes to its connection.
struct RawCaller {
  asio::io_context io;
  Tcp::socket socket{io};
  explicit RawCaller(const Address& to) { socket.connect(endpointOf(to)); }
  void send(const std::string& bytes) { asio::write(socket, asio::buffer(bytes)); }
  // Reads until the proxy closes the connection.
  std::string readAll() {
    std::string bytes;
    ErrorCode code;
    asio::read(socket, asio::dynamic_buffer(bytes), code);
    return bytes;
  }
};

std::string requestText(const std::string& body) {
  return "POST /v1/once HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\nConnection: close\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}
}  // namespace

TEST_CASE("callers: a request that comes byte by byte is served whole") {
  Stage stage(1);
  RawCaller caller(stage.callers);
  for (const char letter : requestText("{\"a\":1}")) caller.send(std::string(1, letter));
  const std::string answer = caller.readAll();
  CHECK(answer.find("200 OK") != std::string::npos);
  CHECK(answer.find("\"end\":true") != std::string::npos);
  CHECK(answer.substr(answer.size() - 5) == "0\r\n\r\n");
  CHECK(stage.arrivals() == 1);
}

TEST_CASE("callers: half a request, then gone, reaches no server") {
  Stage stage(1);
  const std::string whole = requestText("{\"a\":1}");
  for (const std::size_t upTo : {std::size_t{1}, std::size_t{20}, whole.find("\r\n\r\n"),
                                 whole.size() - 3, whole.size() - 1}) {
    RawCaller caller(stage.callers);
    caller.send(whole.substr(0, upTo));
    caller.socket.close();
  }
  CHECK(stage.post("once").result_int() == 200);
  CHECK(stage.arrivals() == 1);
}

TEST_CASE("callers: one that leaves before the first piece gives its places back") {
  Stage stage(1);
  stage.setAllBehaviors(ServerBehavior::Hang);
  {
    RawCaller one(stage.callers), other(stage.callers);
    one.send(requestText("{}"));
    other.send(requestText("{}"));
    eventually([&] { return stage.arrivals() == 2; });
  }
  CHECK(stage.post("slow").result_int() == 429);  // the tenant is at its concurrency limit
  stage.setAllBehaviors(ServerBehavior::Answer);
  eventually([&] { return stage.post("slow").result_int() == 200; });
}

TEST_CASE("callers: hundreds of idle connections, and pipelined requests, leave others served") {
  Stage stage(1);
  std::vector<std::unique_ptr<RawCaller>> idle;
  for (int i = 0; i < 600; ++i) idle.push_back(std::make_unique<RawCaller>(stage.callers));
  for (int i = 0; i < 5; ++i) CHECK(stage.post("once").result_int() == 200);
  RawCaller pipelined(stage.callers);
  std::string health = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
  pipelined.send(health + health + requestText("{}"));
  const std::string answers = pipelined.readAll();
  std::size_t ok = 0;
  for (std::size_t at = 0; (at = answers.find("200 OK", at)) != std::string::npos; ++at) ++ok;
  CHECK(ok == 3);
}
