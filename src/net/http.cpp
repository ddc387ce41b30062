#include "net/http.h"

#include <cxxtools/query_params.h>

#include <vector>

#include "base/json_text.h"
#include "base/numbers.h"
#include "net/body_reader.h"
#include "net/outgoing.h"
#include "net/read_buffer.h"
#include "net/spawn.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Duration kDrainTimeout = 1s;         // for a sender to read an error response
constexpr std::size_t kDrainBlock = 16 << 10;  // bytes discarded at once
}  // namespace

Tcp::endpoint endpointOf(const Address& address) {
  const auto colon = address.value.rfind(':');
  ErrorCode error;
  const auto ip = asio::ip::make_address(address.value.substr(0, colon), error);
  if (error || colon == std::string::npos) return {};
  const auto port = wholeNumber<std::uint16_t>(std::string_view(address.value).substr(colon + 1));
  return port ? Tcp::endpoint{ip, *port} : Tcp::endpoint{};
}

bool isMachineShortage(const ErrorCode& code) {
  namespace errc = boost::system::errc;
  return code == errc::too_many_files_open_in_system || code == errc::no_buffer_space ||
         code == errc::not_enough_memory;
}

absl::Status listenAt(Tcp::acceptor& acceptor, const Address& address, int backlog) {
  const Tcp::endpoint endpoint = endpointOf(address);
  ErrorCode code;
  acceptor.open(endpoint.protocol(), code);
  if (!code) acceptor.set_option(Tcp::acceptor::reuse_address(true), code);
  if (!code) acceptor.bind(endpoint, code);
  if (!code) acceptor.listen(backlog, code);
  if (!code) return absl::OkStatus();
  const std::string what = "can't listen on " + address.value + " (" + code.message() + "): ";
  ErrorCode ignored;
  acceptor.close(ignored);
  if (code == asio::error::address_in_use)
    return absl::AlreadyExistsError(what + "free the port or name another");
  if (isMachineShortage(code))
    return absl::ResourceExhaustedError(what + "end other processes of this machine");
  if (code == asio::error::no_descriptors)
    return absl::UnavailableError(what + "raise the limit on open files");
  return absl::UnavailableError(what + "name an address of this machine that this user may use");
}

awaitable<void> pauseFor(Duration span) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(span);
  ErrorCode code;
  co_await timer.async_wait(into(code));
}

awaitable<absl::StatusOr<HttpResponse>> httpCall(HttpCall call) {
  Connection connection(co_await asio::this_coro::executor);
  // One expiry for the whole call. It is never extended, so a peer that sends byte by byte can't
  // prolong the call.
  connection.expires_after(call.timeout);
  ErrorCode code;
  const Tcp::endpoint endpoint = endpointOf(call.to);
  openOutgoing(connection.socket(), endpoint, call.from, &code);
  if (code) co_return absl::UnavailableError("connect: " + code.message());
  co_await connection.async_connect(endpoint, into(code));
  if (code) co_return absl::UnavailableError("connect: " + code.message());
  if (call.sendDeadline && BootClock::now() > *call.sendDeadline)
    co_return absl::DeadlineExceededError("connect: took too long, the request was not sent");
  HttpRequest request(call.verb, call.target, 11);
  request.set(http::field::host, call.to.value);
  request.set(http::field::connection, "close");
  for (const auto& [name, value] : call.headers) request.set(name, value);
  request.body() = std::move(call.body);
  request.prepare_payload();
  co_await http::async_write(connection, request, into(code));
  if (code) co_return absl::UnknownError("send: " + code.message());
  ReadBuffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(call.bodyLimit);
  co_await http::async_read(connection, buffer, parser, into(code));
  if (code) co_return absl::UnknownError("answer: " + code.message());
  co_return parser.release();
}

HttpServer::HttpServer(asio::io_context& io, HttpServerSettings settings, HttpHandler handler)
    : io_(io),
      settings_(std::move(settings)),
      bodies_(settings_.bodyBudget),
      handler_(std::move(handler)),
      acceptor_(asio::make_strand(io)),
      connections_(std::make_shared<std::atomic<std::size_t>>(0)) {}

absl::Status HttpServer::start() {
  if (auto status = listenAt(acceptor_, settings_.listen, 512); !status.ok()) return status;
  spawnLoop(acceptor_.get_executor(), "an HTTP listener", [this] { return accept(); });
  return absl::OkStatus();
}

void HttpServer::stopAccepting() {
  stopping_ = true;
  asio::post(acceptor_.get_executor(), [this] {
    ErrorCode code;
    acceptor_.close(code);
  });
}

awaitable<void> HttpServer::accept() {
  while (!stopping_) {
    ErrorCode code;
    auto executor = asio::make_strand(io_);
    Tcp::socket socket(executor);
    co_await acceptor_.async_accept(socket, into(code));
    if (stopping_) co_return;
    if (code) {
      co_await pauseFor(10ms);  // out of file descriptors: wait until some are closed
      continue;
    }
    if (connections_->load() >= settings_.connectionLimit) continue;  // closes the socket
    spawnTask(executor, "an HTTP connection", serve(std::move(socket)));
  }
}

// Waits for the next request's first byte. Waits in short steps to notice stopAccepting().
awaitable<bool> HttpServer::waitReadable(Tcp::socket& socket) {
  const Instant idleDeadline = BootClock::now() + settings_.idleTimeout;
  asio::steady_timer stopPollTimer(co_await asio::this_coro::executor);
  while (!stopping_ && BootClock::now() < idleDeadline) {
    stopPollTimer.expires_after(250ms);
    stopPollTimer.async_wait([&socket](const ErrorCode& timerError) {
      ErrorCode ignored;
      if (!timerError) socket.cancel(ignored);
    });
    ErrorCode code;
    co_await socket.async_wait(Tcp::socket::wait_read, into(code));
    // The timer's handler must have run or been dropped before `socket` and the timer are
    // destroyed.
    ErrorCode posted;
    if (stopPollTimer.cancel() == 0) co_await asio::post(into(posted));
    if (!code) co_return true;
  }
  co_return false;
}

// Closing a socket with unread bytes resets the connection, and the response may be lost with it.
// Therefore discards for a while what the other end still sends.
awaitable<void> HttpServer::drain(Connection& connection) const {
  ErrorCode code;
  connection.socket().shutdown(Tcp::socket::shutdown_send, code);
  connection.expires_after(kDrainTimeout);
  std::vector<char> discarded(kDrainBlock);
  for (std::size_t drained = 0; !code && drained < settings_.bodyLimit;)
    drained += co_await connection.async_read_some(asio::buffer(discarded), into(code));
}

awaitable<void> HttpServer::serve(Tcp::socket socket) {
  struct Counted {
    std::shared_ptr<std::atomic<std::size_t>> count;
    explicit Counted(std::shared_ptr<std::atomic<std::size_t>> counter)
        : count(std::move(counter)) {
      ++*count;
    }
    ~Counted() { --*count; }
  } counted(connections_);
  ErrorCode code;
  socket.set_option(Tcp::no_delay(true), code);
  Connection connection(std::move(socket));
  ReadBuffer buffer(std::max<std::size_t>(kReadBufferLimit, 2 * settings_.headerLimit));
  while (!stopping_) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(settings_.bodyLimit);
    parser.header_limit(settings_.headerLimit);
    if (buffer.size() == 0) {
      buffer.trim();
      const bool readable = co_await waitReadable(connection.socket());
      if (!readable) co_return;
    }
    connection.expires_after(settings_.readTimeout);
    ByteBudget::Share share = bodies_.open();
    co_await http::async_read_header(connection, buffer, parser, into(code));
    if (!code)
      co_await readBodyWithin(connection, buffer, parser, share, &code, [] { return true; });
    if (code == http::error::end_of_stream) co_return;
    if (code) {
      if (code == beast::error::timeout || !connection.socket().is_open()) co_return;
      HttpResponse response = readErrorResponse(code);
      response.keep_alive(false);
      connection.expires_after(2s);
      co_await http::async_write(connection, response, into(code));
      if (!code) co_await drain(connection);
      co_return;
    }
    HttpRequest request = parser.release();
    const bool keepAlive = request.keep_alive();
    std::optional<HttpResponse> response = co_await handler_(connection, request);
    if (!response) co_return;
    response->version(11);
    response->keep_alive(keepAlive && !stopping_);
    response->prepare_payload();
    connection.expires_after(settings_.readTimeout);
    co_await http::async_write(connection, *response, into(code));
    if (code || !response->keep_alive()) {
      connection.socket().shutdown(Tcp::socket::shutdown_send, code);
      co_return;
    }
  }
}

HttpResponse readErrorResponse(const ErrorCode& code) {
  if (code == boost::system::errc::not_enough_memory) {
    HttpResponse response = errorResponse(
        {ErrorKind::Rejected, "other bodies take the memory that there is for bodies"});
    response.set(http::field::retry_after, "0.2");
    return response;
  }
  const bool isLarge = code == http::error::body_limit || code == http::error::header_limit;
  if (code == http::error::buffer_overflow)
    return errorResponse({ErrorKind::MalformedRequest, kFramingTooLong});
  return errorResponse({isLarge ? ErrorKind::BodyTooLarge : ErrorKind::MalformedRequest,
                        "the request can't be read (" + code.message() + ")"});
}

HttpResponse textResponse(unsigned status, std::string body) {
  HttpResponse response;
  response.result(status);
  response.set(http::field::content_type, "text/plain");
  response.body() = std::move(body);
  return response;
}

HttpResponse jsonResponse(unsigned status, const nlohmann::json& body) {
  HttpResponse response = textResponse(status, printJson(body) + "\n");
  response.set(http::field::content_type, "application/json");
  return response;
}

HttpResponse errorResponse(const Error& error) {
  return jsonResponse(static_cast<unsigned>(httpStatus(error.kind)),
                      {{"defect", errorName(error.kind)}, {"message", errorMessage(error)}});
}

std::string pathOf(const HttpRequest& request) {
  const std::string target(request.target());
  return target.substr(0, target.find('?'));
}

std::string queryValue(const HttpRequest& request, const std::string& name) {
  const std::string target(request.target());
  const auto queryStart = target.find('?');
  if (queryStart == std::string::npos) return {};
  const cxxtools::QueryParams params(target.substr(queryStart + 1));
  return params.param(name);
}

}  // namespace quayrill
