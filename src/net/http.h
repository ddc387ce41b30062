#pragma once
// HTTP/1.1 for everything but the streams: bounded in size and in time, whatever the other end
// does.
#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

#include "base/error.h"
#include "net/asio.h"

namespace quayrill {

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

struct HttpCall {
  Address to;
  http::verb verb = http::verb::get;
  std::string target;
  std::string body;
  std::map<std::string, std::string> headers;
  Span timeout = std::chrono::seconds(1);  // for the whole call, connecting included
  std::size_t bodyLimit = 4 << 20;
  Address from;  // local address to call from; "" lets the system choose
  // Nothing is sent later than this, also where the process stood still while it connected.
  std::optional<Instant> sendDeadline{};
};

awaitable<absl::StatusOr<HttpResponse>> httpCall(HttpCall call);

// Answers one request. A handler that streams writes to the connection itself and returns nullopt;
// the connection is then closed.
using HttpHandler =
    std::function<awaitable<std::optional<HttpResponse>>(Connection&, HttpRequest&)>;

struct HttpServerSettings {
  Address listen;
  std::size_t bodyLimit = 1 << 20;
  std::size_t headerLimit = 16 << 10;
  std::size_t connectionLimit = 4096;
  Span readTimeout = std::chrono::seconds(10);
  Span idleTimeout = std::chrono::seconds(60);
};

class HttpServer {
 public:
  HttpServer(asio::io_context& io, HttpServerSettings settings, HttpHandler handler);
  absl::Status start();
  // No new connections; those that wait for a next request are closed, the others finish.
  void stopAccepting();
  std::size_t connections() const { return connections_->load(); }

 private:
  awaitable<void> accept();
  awaitable<bool> waitReadable(Tcp::socket& socket);
  awaitable<void> serve(Tcp::socket socket);

  asio::io_context& io_;
  HttpServerSettings settings_;
  HttpHandler handler_;
  Tcp::acceptor acceptor_;
  std::shared_ptr<std::atomic<std::size_t>> connections_;
  std::atomic<bool> stopping_{false};
};

HttpResponse jsonResponse(unsigned status, const nlohmann::json& body);
HttpResponse textResponse(unsigned status, std::string body);
HttpResponse errorResponse(const Error& error);

// The target's path, and one value of its query.
std::string pathOf(const HttpRequest& request);
std::string queryValue(const HttpRequest& request, const std::string& name);  // "" if absent

}  // namespace quayrill
