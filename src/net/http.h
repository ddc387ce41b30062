#pragma once
// HTTP/1.1 client and server for everything except streamed answers. Sizes and durations are
// limited whatever the peer does.
#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

#include "base/byte_budget.h"
#include "base/error.h"
#include "net/asio.h"

namespace quayrill {

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

// For the answers of servers to calls: many calls are open at once.
inline constexpr std::size_t kSmallBodyLimit = 64 << 10;
// For lists and whole configurations.
inline constexpr std::size_t kLargeBodyLimit = 4 << 20;

// An outgoing request.
struct HttpCall {
  Address to;
  http::verb verb = http::verb::get;
  std::string target;
  std::string body;
  std::map<std::string, std::string> headers;
  Duration timeout = std::chrono::seconds(1);  // for the whole call, connecting included
  std::size_t bodyLimit = kLargeBodyLimit;     // bytes, of the answer
  Address from;  // local address to call from; empty: the system chooses
  // The request is not sent after this, even if the process was suspended while connecting.
  std::optional<Instant> sendDeadline{};
};

// Sends the request on a new connection and reads the answer. Fails with kUnavailable if nothing
// was sent because the connection failed, with kDeadlineExceeded if nothing was sent because
// `sendDeadline` had passed, and with kUnknown if the request may have arrived.
awaitable<absl::StatusOr<HttpResponse>> httpCall(HttpCall call);

// Answers one request. A handler that streams its answer writes to the connection itself and
// returns nullopt; the connection is then closed.
using HttpHandler =
    std::function<awaitable<std::optional<HttpResponse>>(Connection&, HttpRequest&)>;

struct HttpServerSettings {
  Address listen;
  std::size_t bodyLimit = 1 << 20;       // bytes
  std::uint32_t headerLimit = 16 << 10;  // bytes
  std::size_t connectionLimit = 4096;
  std::size_t bodyBudget = 64 << 20;  // bytes, of all bodies that are read or being answered
  Duration readTimeout = std::chrono::seconds(10);  // for one request, and for writing its answer
  Duration idleTimeout = std::chrono::seconds(60);  // for the next request on a kept connection
};

// Serves keep-alive connections; each one runs on its own strand.
class HttpServer {
 public:
  HttpServer(asio::io_context& io, HttpServerSettings settings, HttpHandler handler);
  // Listens and accepts connections. An error names the address and the remedy.
  absl::Status start();
  // Accepts no new connections and closes idle ones; requests in progress finish. Thread-safe.
  void stopAccepting();
  // Open connections. Thread-safe.
  std::size_t connections() const { return connections_->load(); }

 private:
  awaitable<void> accept();
  awaitable<bool> waitReadable(Tcp::socket& socket);
  awaitable<void> serve(Tcp::socket socket);
  awaitable<void> drain(Connection& connection) const;

  asio::io_context& io_;
  HttpServerSettings settings_;
  ByteBudget bodies_;
  HttpHandler handler_;
  Tcp::acceptor acceptor_;
  std::shared_ptr<std::atomic<std::size_t>> connections_;
  std::atomic<bool> stopping_{false};
};

// A response with the JSON and a newline as its body.
HttpResponse jsonResponse(unsigned status, const nlohmann::json& body);
// A response of type text/plain.
HttpResponse textResponse(unsigned status, std::string body);
// The error for a chunk's size line or a trailer that doesn't end.
inline constexpr char kFramingTooLong[] =
    "the framing of the body has a line without an end: send shorter chunk extensions and trailers";
// The response that a connection ends with when its request can't be read.
HttpResponse readErrorResponse(const ErrorCode& code);
// The error's HTTP status, with its name and message as JSON.
HttpResponse errorResponse(const Error& error);

// The target without its query.
std::string pathOf(const HttpRequest& request);
// The value of a query parameter; empty if it is absent.
std::string queryValue(const HttpRequest& request, const std::string& name);

}  // namespace quayrill
