#pragma once
// A server on loopback that answers byte for byte as scripted, for the tests of both data paths.
#include <catch2/catch.hpp>
#include <sstream>
#include <thread>

#include "net/http.h"

namespace quayrill::tests {

using namespace std::chrono_literals;

// What follows a reply's cut.
enum class Fault { None, Close, Reset, Garbage };

// What a server sends for a request; afterwards it closes or waits for the next.
struct Reply {
  std::string bytes;
  bool closes = false;
  bool hangs = false;  // says nothing more until the other end closes
  // Where the bytes stop until `ByteServer::pause` has returned.
  std::size_t cut = std::string::npos;
  Fault fault = Fault::None;
};

// Bytes that no answer of HTTP holds anywhere.
inline const std::string kGarbage = "\x01\x02{]garbage[}\x7f\r\n\x03";

inline std::string headerIn(const std::string& head, const std::string& name) {
  const auto at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos) return "";
  const auto start = at + name.size() + 4;
  return head.substr(start, head.find("\r\n", start) - start);
}

inline std::string chunked(const std::vector<std::string>& parts, bool ends = true) {
  std::ostringstream out;
  for (const std::string& part : parts) out << std::hex << part.size() << "\r\n" << part << "\r\n";
  if (ends) out << "0\r\n\r\n";
  return out.str();
}
inline std::string event(int id) {
  return "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) + "\n\n";
}
inline std::string streamHead(const std::string& request, const std::string& seal = "s1") {
  return "HTTP/1.1 200 OK\r\nX-Id: " + headerIn(request, "X-Id") + "\r\nX-Seal: " + seal +
         "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}
inline std::string plain(const std::string& request, int status, const std::string& more = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Id: " + headerIn(request, "X-Id") +
         "\r\n" + more + "Content-Length: 2\r\n\r\nno";
}

struct ByteServer {
  using Script = std::function<Reply(int arrival, const std::string& request)>;
  asio::io_context& io;
  Address address;
  Tcp::acceptor acceptor;
  std::mutex mutex;
  Script script;
  std::vector<std::string> requests;
  std::atomic<int> connections{0}, closed{0};
  std::atomic<int> arrived{0};            // requests read, also those whose script still runs
  std::weak_ptr<Tcp::socket> hungSocket;  // the connection that hung last
  std::atomic<int> faultyClosed{0};       // of those closed: where a reply broke
  // By the order of arrival: the number of the connection that each request came on.
  std::vector<int> connectionNumbers;
  // Answers once the head is in, and reads the body on when `mayReadBody` is set. What came then
  // goes into `trailingBytes`, until the connection ends.
  std::atomic<bool> respondsBeforeBody{false}, mayReadBody{false};
  std::string trailingBytes;
  // Called in the middle of a reply that has a cut.
  std::function<void()> pause = [] {};

  ByteServer(asio::io_context& context, Address at)
      : io(context), address(std::move(at)), acceptor(context) {
    REQUIRE(listenAt(acceptor, address, 256).ok());
    asio::co_spawn(io, accept(), asio::detached);
  }
  awaitable<void> accept() {
    for (;;) {
      Tcp::socket socket(io);
      ErrorCode code;
      co_await acceptor.async_accept(socket, into(code));
      if (code) co_return;
      socket.set_option(Tcp::no_delay(true), code);
      asio::co_spawn(io, serve(std::move(socket), ++connections), asio::detached);
    }
  }
  static awaitable<ErrorCode> readBody(Tcp::socket& socket, std::string* held, std::size_t size) {
    ErrorCode code;
    if (held->size() < size)
      co_await asio::async_read(socket, asio::dynamic_buffer(*held),
                                asio::transfer_exactly(size - held->size()), into(code));
    co_return code;
  }
  // The bytes up to the cut, and how the rest fares. False: the connection is over.
  awaitable<bool> send(Tcp::socket& socket, const Reply& reply) {
    ErrorCode code;
    const std::size_t cut = std::min(reply.cut, reply.bytes.size());
    co_await asio::async_write(socket, asio::buffer(reply.bytes.data(), cut), into(code));
    if (code) co_return false;
    if (reply.cut == std::string::npos) co_return true;
    // The end of a connection stays behind its bytes; a reset or a next piece need not.
    if (reply.fault == Fault::None || reply.fault == Fault::Reset) pause();
    const std::string rest = reply.fault == Fault::Garbage ? kGarbage : reply.bytes.substr(cut);
    if (reply.fault == Fault::Reset) {
      socket.set_option(asio::socket_base::linger(true, 0), code);
      socket.close(code);
    }
    if (reply.fault == Fault::None || reply.fault == Fault::Garbage)
      co_await asio::async_write(socket, asio::buffer(rest), into(code));
    co_return !code && reply.fault == Fault::None;
  }
  awaitable<void> serve(Tcp::socket accepted, int number) {
    const auto kept = std::make_shared<Tcp::socket>(std::move(accepted));
    Tcp::socket& socket = *kept;
    std::string held;
    bool fault = false;
    for (;;) {
      ErrorCode code;
      const auto size = co_await asio::async_read_until(socket, asio::dynamic_buffer(held),
                                                        "\r\n\r\n", into(code));
      if (code) break;
      std::string request = held.substr(0, size);
      held.erase(0, size);
      const std::string length = headerIn(request, "Content-Length");
      const std::size_t body = length.empty() ? 0 : std::stoul(length);
      const bool early = respondsBeforeBody;
      if (!early) {
        code = co_await readBody(socket, &held, body);
        if (code) break;
        request += held.substr(0, body);
        held.erase(0, body);
      }
      Reply reply;
      ++arrived;
      {
        std::lock_guard lock(mutex);
        requests.push_back(request);
        connectionNumbers.push_back(number);
        reply = script(static_cast<int>(requests.size()), request);
        if (reply.hangs) hungSocket = kept;
      }
      fault = reply.fault != Fault::None;
      if (!co_await send(socket, reply) || reply.closes) break;
      if (reply.hangs) {
        char byte;
        co_await asio::async_read(socket, asio::buffer(&byte, 1), into(code));
        break;
      }
      if (early) {
        while (!mayReadBody) co_await pauseFor(1ms);
        co_await asio::async_read(socket, asio::dynamic_buffer(held), into(code));
        std::lock_guard lock(mutex);
        trailingBytes += held;
        break;
      }
    }
    ErrorCode ignored;
    socket.close(ignored);
    ++closed;
    if (fault) ++faultyClosed;
  }
  // Expires once it has been closed at the other end.
  std::weak_ptr<Tcp::socket> hungConnection() {
    std::lock_guard lock(mutex);
    return hungSocket;
  }
  // On the connection that hung last.
  void sendMore(std::string bytes) {
    asio::post(io, [this, bytes = std::move(bytes)] {
      ErrorCode code;
      if (const auto socket = hungConnection().lock())
        asio::write(*socket, asio::buffer(bytes), code);
    });
  }
  std::vector<std::string> received() {
    std::lock_guard lock(mutex);
    return requests;
  }
  void setScript(Script next) {
    std::lock_guard lock(mutex);
    script = std::move(next);
  }
};

}  // namespace quayrill::tests
