#pragma once
// Shared by the tests of a single delivery: the request, and the caller's connection.
#include "proxy/deliver.h"

namespace quayrill::tests {

// Both ends of a caller's connection.
struct CallerConnection {
  explicit CallerConnection(asio::io_context& io) : CallerConnection(io, loopback(io)) {}
  Tcp::socket far;
  Connection near;

 private:
  static Tcp::acceptor loopback(asio::io_context& io) {
    return Tcp::acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
  }
  CallerConnection(asio::io_context& io, Tcp::acceptor acceptor)
      : far(connected(io, acceptor)), near(acceptor.accept()) {}
  static Tcp::socket connected(asio::io_context& io, const Tcp::acceptor& acceptor) {
    Tcp::socket socket(io);
    socket.connect(acceptor.local_endpoint());
    return socket;
  }
};

// A delivery of request r1, under weights w1, to the server that listens on `server`. Both
// deadlines are `timeout` from now.
inline Delivery deliveryTo(const Tcp::acceptor& server, std::string body, Duration timeout) {
  Delivery delivery;
  delivery.request = RequestId{"r1"};
  delivery.server.name = ServerName{"127.0.0.1:" + std::to_string(server.local_endpoint().port())};
  delivery.server.weights = WeightsVersion{"w1"};
  delivery.body = std::move(body);
  delivery.deadline = delivery.firstPieceDeadline = BootClock::now() + timeout;
  return delivery;
}

}  // namespace quayrill::tests
