// Tests of which bytes of a request are sent, and that none are once it may no longer run.
#include "net/request_sender.h"

#include <catch2/catch.hpp>

using namespace quayrill;

namespace {
// Two connected sockets; the near one is non-blocking.
struct SocketPair {
  asio::io_context io;
  Tcp::acceptor acceptor{io, {asio::ip::make_address("127.0.0.1"), 0}};
  Tcp::socket near{io}, far{io};
  SocketPair() {
    near.connect(acceptor.local_endpoint());
    acceptor.accept(far);
    near.non_blocking(true);
  }
  std::string readAll() {
    std::string bytes;
    ErrorCode code;
    asio::read(far, asio::dynamic_buffer(bytes), code);
    return bytes;
  }
};
const std::string kHead = "POST / HTTP/1.1\r\n\r\n";
}  // namespace

TEST_CASE("request sender: all of head and body leaves, in pieces as room comes") {
  SocketPair sockets;
  const std::string body(20 << 20, 'b');
  RequestSender sender(sockets.near, kHead, body, [] { return true; });
  sender.begin();
  CHECK_FALSE(sender.isComplete());  // more than the socket buffers hold
  std::string bytes;
  asio::async_read(sockets.far, asio::dynamic_buffer(bytes),
                   asio::transfer_exactly(kHead.size() + body.size()),
                   [](const ErrorCode&, std::size_t) {});
  sockets.io.run();
  CHECK(sender.isComplete());
  CHECK(sender.hasStopped());
  CHECK(bytes == kHead + body);
}

TEST_CASE("request sender: what may not run any more sends no byte") {
  SocketPair sockets;
  RequestSender sender(sockets.near, kHead, "{}", [] { return false; });
  sender.begin();
  CHECK(sender.hasSentNothing());
  CHECK(sender.hasStopped());
  sockets.near.close();
  CHECK(sockets.readAll().empty());
}

TEST_CASE("request sender: a body stops where the request lapses, and its connection ends") {
  SocketPair sockets;
  const std::string body(20 << 20, 'b');
  bool mayContinue = true;
  RequestSender sender(sockets.near, kHead, body, [&] { return mayContinue; });
  sender.begin();
  REQUIRE_FALSE(sender.hasStopped());
  mayContinue = false;  // as after a suspension of the process in the middle of the body
  std::string bytes;
  asio::async_read(sockets.far, asio::dynamic_buffer(bytes), [](const ErrorCode&, std::size_t) {});
  bool hasEnded = false;
  asio::co_spawn(
      sockets.io,
      [&]() -> asio::awaitable<void> {
        co_await sender.waitUntilStopped();
        hasEnded = true;
      },
      asio::detached);
  sockets.io.run();
  CHECK(hasEnded);
  CHECK_FALSE(sockets.near.is_open());
  CHECK_FALSE(sender.isComplete());
  CHECK(bytes.size() < kHead.size() + body.size());
  CHECK(bytes.rfind(kHead, 0) == 0);
}
