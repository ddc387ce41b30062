#pragma once
// A server on loopback that responds byte for byte as scripted. Used by the tests of both proxies.
#include <catch2/catch.hpp>
#include <sstream>
#include <thread>

#include "net/http.h"

namespace quayrill::tests {

using namespace std::chrono_literals;

// How a reply continues after its cut: normally, with a close, with a reset, or with garbage.
enum class Fault { None, Close, Reset, Garbage };

// What a server sends in response to a request. Afterwards it closes or waits for the next request.
struct Reply {
  std::string bytes;
  bool closes = false;
  bool hangs = false;  // sends nothing more until the other end closes
  // The server pauses at this byte until `ByteServer::pause` has returned.
  std::size_t cut = std::string::npos;
  Fault fault = Fault::None;
};

// Bytes that cannot occur in a valid HTTP response.
inline const std::string kGarbage = "\x01\x02{]garbage[}\x7f\r\n\x03";

// The value of a header; "" if it is missing.
inline std::string headerIn(const std::string& head, const std::string& name) {
  const auto at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos) return "";
  const auto start = at + name.size() + 4;
  return head.substr(start, head.find("\r\n", start) - start);
}

// Encodes the parts as chunks.
inline std::string chunked(const std::vector<std::string>& parts, bool ends = true) {
  std::ostringstream out;
  for (const std::string& part : parts) out << std::hex << part.size() << "\r\n" << part << "\r\n";
  if (ends) out << "0\r\n\r\n";
  return out.str();
}
// A server-sent event with that id.
inline std::string event(int id) {
  return "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) + "\n\n";
}
// The head of a successful event stream in response to `request`.
inline std::string streamHead(const std::string& request, const std::string& seal = "s1") {
  return "HTTP/1.1 200 OK\r\nX-Id: " + headerIn(request, "X-Id") + "\r\nX-Seal: " + seal +
         "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}
// A response without a stream, with a body of two bytes.
inline std::string plain(const std::string& request, int status, const std::string& more = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Id: " + headerIn(request, "X-Id") +
         "\r\n" + more + "Content-Length: 2\r\n\r\nno";
}

// The scripted server. `script` is called for each request, under `mutex`.
struct ByteServer {
  using Script = std::function<Reply(int arrival, const std::string& request)>;
  asio::io_context& io;
  Address address;
  Tcp::acceptor acceptor;
  std::mutex mutex;
  Script script;
  std::vector<std::string> requests;
  std::atomic<int> connections{0}, closed{0};
  std::atomic<int> arrived{0};  // requests read, including those whose script is still running
  std::weak_ptr<Tcp::socket> hungSocket;  // the last connection whose reply hangs
  std::atomic<int> faultyClosed{0};       // closed connections on which a reply had a fault
  // In order of arrival: the number of the connection that carried each request.
  std::vector<int> connectionNumbers;
  // If respondsBeforeBody is set, responds after the head, and reads the body once mayReadBody is
  // set. What arrives then is collected in trailingBytes until the connection ends.
  std::atomic<bool> respondsBeforeBody{false}, mayReadBody{false};
  std::string trailingBytes;
  // Called at the cut of a reply.
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
  static awaitable<ErrorCode> readBody(Tcp::socket& socket, std::string* buffered,
                                       std::size_t size) {
    ErrorCode code;
    if (buffered->size() < size)
      co_await asio::async_read(socket, asio::dynamic_buffer(*buffered),
                                asio::transfer_exactly(size - buffered->size()), into(code));
    co_return code;
  }
  // Sends the bytes up to the cut, then applies the fault. Returns false if the connection is
  // finished.
  awaitable<bool> send(Tcp::socket& socket, const Reply& reply) {
    ErrorCode code;
    const std::size_t cut = std::min(reply.cut, reply.bytes.size());
    co_await asio::async_write(socket, asio::buffer(reply.bytes.data(), cut), into(code));
    if (code) co_return false;
    if (reply.cut == std::string::npos) co_return true;
    // A close arrives after the bytes sent before it anyway. A reset or further bytes may be merged
    // with them, so wait.
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
    const auto sharedSocket = std::make_shared<Tcp::socket>(std::move(accepted));
    Tcp::socket& socket = *sharedSocket;
    std::string buffered;
    bool hadFault = false;
    for (;;) {
      ErrorCode code;
      const auto size = co_await asio::async_read_until(socket, asio::dynamic_buffer(buffered),
                                                        "\r\n\r\n", into(code));
      if (code) break;
      std::string request = buffered.substr(0, size);
      buffered.erase(0, size);
      const std::string length = headerIn(request, "Content-Length");
      const std::size_t body = length.empty() ? 0 : std::stoul(length);
      const bool early = respondsBeforeBody;
      if (!early) {
        code = co_await readBody(socket, &buffered, body);
        if (code) break;
        request += buffered.substr(0, body);
        buffered.erase(0, body);
      }
      Reply reply;
      ++arrived;
      {
        std::lock_guard lock(mutex);
        requests.push_back(request);
        connectionNumbers.push_back(number);
        reply = script(static_cast<int>(requests.size()), request);
        if (reply.hangs) hungSocket = sharedSocket;
      }
      hadFault = reply.fault != Fault::None;
      if (!co_await send(socket, reply) || reply.closes) break;
      if (reply.hangs) {
        char byte;
        co_await asio::async_read(socket, asio::buffer(&byte, 1), into(code));
        break;
      }
      if (early) {
        while (!mayReadBody) co_await pauseFor(1ms);
        co_await asio::async_read(socket, asio::dynamic_buffer(buffered), into(code));
        std::lock_guard lock(mutex);
        trailingBytes += buffered;
        break;
      }
    }
    ErrorCode ignored;
    socket.close(ignored);
    ++closed;
    if (hadFault) ++faultyClosed;
  }
  // The last connection whose reply hangs. Expires when that connection is closed.
  std::weak_ptr<Tcp::socket> hungConnection() {
    std::lock_guard lock(mutex);
    return hungSocket;
  }
  // Sends bytes on the last connection whose reply hangs.
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
  void setScript(Script newScript) {
    std::lock_guard lock(mutex);
    script = std::move(newScript);
  }
};

}  // namespace quayrill::tests
