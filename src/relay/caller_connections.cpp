// Connections from callers: what they may send, and how long that may take.
#include <sys/socket.h>

#include "base/numbers.h"
#include "net/body_reader.h"
#include "net/log.h"
#include "net/metrics.h"
#include "net/spawn.h"
#include "net/start_thread.h"
#include "relay/relay.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Duration kWriteTimeout = 10s;
constexpr Duration kDrainTimeout = 1s;            // for a caller to receive an error response
constexpr std::size_t kDrainLimit = 1 << 20;      // discarded at most while a caller keeps sending
constexpr std::size_t kPipelinedReadSize = 4096;  // bytes read at once of a pipelined request
// A disconnect behind more pipelined bytes than this goes unnoticed.
constexpr std::size_t kMaxPipelinedBytes = 64 << 10;
// Beyond a head of the greatest size.
constexpr std::size_t kReadAheadSize = 16 << 10;
constexpr std::size_t kMaxCallerConnections = 3000;
constexpr std::size_t kMaxIdlePerServer = 32;
// Of the memory, for the heads and bodies of requests.
constexpr std::size_t kRequestFraction = 3;
// The same for answers of servers that are held.
constexpr std::size_t kAnswerFraction = 8;
constexpr Duration kDefaultIdleTimeout = 4s;  // if the server does not specify a time
// Prompts at a server wait for each other's prefill, so even a few requests above the mean matter.
constexpr double kSpreadRequests = 4, kSpreadFactor = 1.5;

PlacementSettings placementSettings(const Settings& settings) {
  PlacementSettings placement{settings.blockTokens};
  placement.spreadRequests = kSpreadRequests;
  placement.spreadFactor = kSpreadFactor;
  placement.byExpectedPrefill = settings.mechanisms.isEnabled(Mechanism::ExpectedPrefill);
  placement.mechanisms = settings.mechanisms;
  return placement;
}
}  // namespace

Relay::Relay(Settings settings, Dialect dialect)
    : settings_(std::move(settings)),
      dialect_(std::move(dialect)),
      headerNames_(dialect_.relayHeaderNames.value()),
      callers_(io_),
      placement_(placementSettings(settings_)),
      budgets_(settings_.retryShare, settings_.retryWindow),
      retrySlack_(settings_.retryWindow),
      pool_(io_, settings_.mechanisms.isEnabled(Mechanism::ConnectionReuse) ? kMaxIdlePerServer : 0,
            kDefaultIdleTimeout),
      requests_(memoryLimitOf(settings_) / kRequestFraction),
      answers_(memoryLimitOf(settings_) / kAnswerFraction) {}

Relay::~Relay() {
  stop();
  *alive_ = false;
}

absl::Status Relay::listen() {
  if (auto status = listenAt(callers_, settings_.callerAddress, 1024); !status.ok()) return status;
  if (!settings_.readinessAddress.value.empty()) {
    HttpServerSettings readySettings;
    readySettings.listen = settings_.readinessAddress;
    readySettings.connectionLimit = 64;
    ready_ = std::make_unique<HttpServer>(
        io_, readySettings,
        [this](Connection&, HttpRequest& request) { return handleAdminRequest(request); });
    if (auto status = ready_->start(); !status.ok()) return status;
  }
  return absl::OkStatus();
}

void Relay::serve() {
  spawnLoop(io_, "the callers' listener", [this] { return accept(callers_); });
  if (dialect_.partEvents && settings_.mechanisms.isEnabled(Mechanism::Events))
    spawnLoop(io_, "the loop of cache events", [this] { return eventLoop(); });
  spawnLoop(io_, "the loop of reports", [this] { return reportLoop(); });
  thread_ = startThread("traffic", [this] { runEventLoop(io_, "a traffic handler"); });
}

absl::Status Relay::start() {
  if (auto status = listen(); !status.ok()) return status;
  serve();
  return absl::OkStatus();
}

void Relay::stop() {
  io_.stop();
  if (thread_.joinable()) thread_.join();
}

// True if the configuration was confirmed recently, there are servers to use, and this daemon is
// not shutting down.
bool Relay::isReady(Instant now) const {
  return !leaving_ && !view_->servers.empty() && isConfigurationUsable(now);
}

// Handles health checks, metrics and queries about past decisions.
awaitable<std::optional<HttpResponse>> Relay::handleAdminRequest(HttpRequest& request) {
  const std::string path = pathOf(request);
  if (path == "/readyz") {
    const bool ready = isReady(BootClock::now());
    co_return textResponse(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
  }
  if (path == "/healthz") co_return textResponse(200, "ok\n");
  if (path == "/metrics") {
    HttpResponse response = metricsResponse(counters_);
    response.body() += answerFaults_.render();
    co_return response;
  }
  if (path == "/q/explain") {
    if (const auto line = decisions_.find(queryValue(request, "id")))
      co_return textResponse(200, *line + "\n");
  }
  if (path == "/q/decisions") {
    const std::string from = queryValue(request, "from");
    const DecisionPage page = decisions_.read(wholeNumber(from).value_or(0), 500);
    co_return jsonResponse(200,
                           {{"first", page.first}, {"next", page.next}, {"lines", page.lines}});
  }
  co_return errorResponse({ErrorKind::UnknownRoute, "no such call: " + path});
}

awaitable<void> Relay::accept(Tcp::acceptor& acceptor) {
  for (;;) {
    ErrorCode code;
    Tcp::socket socket(io_);
    co_await acceptor.async_accept(socket, into(code));
    if (code) {
      co_await pauseFor(10ms);  // probably out of file descriptors: wait until some are closed
      continue;
    }
    if (openCallers_ >= kMaxCallerConnections) continue;  // closes the connection without reading
    socket.set_option(Tcp::no_delay(true), code);
    auto caller = std::make_shared<Caller>(std::move(socket));
    callerList_.remove_if([](const auto& weak) { return weak.expired(); });
    callerList_.push_back(caller);
    spawnTask(io_, "a caller's connection", serveCaller(std::move(caller)));
  }
}

// Sets the timer only if it would fire too late otherwise. If the deadline moves to a later time,
// the timer is set again when it fires.
void Relay::setDeadline(const std::shared_ptr<Caller>& caller, Instant deadline) {
  caller->deadline = deadline;
  if (caller->timerSetFor <= deadline) return;
  caller->timerSetFor = deadline;
  caller->timer.expires_after(deadline - BootClock::now());
  caller->timer.async_wait([this, weak = std::weak_ptr(caller)](const ErrorCode& code) {
    const auto timed = weak.lock();
    if (code || !timed) return;
    timed->timerSetFor = Instant::max();
    if (BootClock::now() < timed->deadline) {
      if (timed->deadline != Instant::max()) setDeadline(timed, timed->deadline);
      return;
    }
    timed->timedOut = true;
    ErrorCode ignored;
    timed->socket.cancel(ignored);
  });
}

// Detects that a caller disconnects while its response is pending. A half-close cannot be told from
// a close and counts as one. Bytes that arrive meanwhile belong to a pipelined request; they are
// read, up to a limit, because a close behind them would not be seen otherwise.
void Relay::watchForDisconnect(const std::shared_ptr<Caller>& caller) {
  if (caller->isDisconnectWatched) return;
  caller->isDisconnectWatched = true;
  caller->socket.async_wait(
      Tcp::socket::wait_read,
      [this, alive = alive_, weak = std::weak_ptr(caller)](const ErrorCode& code) {
        const auto watched = weak.lock();
        if (!watched) return;
        watched->isDisconnectWatched = false;
        if (code || !watched->isAwaitingResponse || !*alive) return;
        const auto space = watched->buffer.prepare(kPipelinedReadSize);
        const auto got =
            ::recv(watched->socket.native_handle(), space.data(), space.size(), MSG_DONTWAIT);
        if (got > 0) watched->buffer.commit(static_cast<std::size_t>(got));
        const bool isConnected = got > 0 || (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
        if (isConnected) {
          if (watched->buffer.size() < kMaxPipelinedBytes) watchForDisconnect(watched);
          return;
        }
        watched->isDisconnected = true;
        if (watched->abortAttempt && watched->mayAbort) watched->abortAttempt();
      });
}

bool Relay::keepsOpen(const std::shared_ptr<Caller>& caller, bool keepAlive) const {
  caller->staysOpen = keepAlive && !leaving_;
  return caller->staysOpen;
}

// Closing a socket with unread bytes resets the connection, and the response may be lost with it.
// Therefore closes the sending side first, then reads and discards for a while what the caller
// still sends.
awaitable<void> Relay::drain(const std::shared_ptr<Caller>& caller) {
  char discarded[4096];
  std::size_t remaining = kDrainLimit;
  ErrorCode code;
  caller->isIdle = true;
  caller->socket.shutdown(Tcp::socket::shutdown_send, code);
  setDeadline(caller, BootClock::now() + kDrainTimeout);
  while (!code && remaining > 0) {
    const auto got = co_await caller->socket.async_read_some(asio::buffer(discarded), into(code));
    remaining -= std::min(remaining, got);
  }
}

awaitable<bool> Relay::sendResponse(const std::shared_ptr<Caller>& caller, HttpResponse response,
                                    bool keepAlive) {
  response.version(11);
  response.keep_alive(keepsOpen(caller, keepAlive));
  response.prepare_payload();
  ErrorCode code;
  setDeadline(caller, BootClock::now() + kWriteTimeout);
  co_await http::async_write(caller->socket, response, into(code));
  co_return !code;
}

// Reads one request. Returns false if the connection is to be closed; any error response has been
// sent by then.
awaitable<bool> Relay::readRequest(const std::shared_ptr<Caller>& caller, HttpRequest* request) {
  const auto limitsNow = [this] {
    return view_->configuration ? view_->configuration->callerLimits : CallerLimits{};
  };
  ErrorCode code;
  caller->isIdle = true;
  caller->headShare = requests_.open();
  caller->bodyShare = requests_.open();
  if (caller->buffer.size() == 0) {
    caller->buffer.trim();
    const Instant idleSince = BootClock::now();
    do {  // a configuration that arrives meanwhile may extend the limit
      caller->timedOut = false;
      setDeadline(caller, idleSince + limitsNow().idleTimeout);
      co_await caller->socket.async_wait(Tcp::socket::wait_read, into(code));
    } while (code && caller->timedOut && BootClock::now() < idleSince + limitsNow().idleTimeout);
    if (code) co_return false;
  }
  caller->isIdle = false;
  caller->timedOut = false;
  caller->requestStartedAt = BootClock::now();
  const CallerLimits limits = limitsNow();
  const auto headerLimit = clamped<std::uint32_t>(limits.headerBytes);
  caller->buffer.max_size(
      std::max<std::size_t>(kMaxPipelinedBytes + kPipelinedReadSize, headerLimit + kReadAheadSize));
  http::request_parser<http::string_body> parser;
  parser.header_limit(headerLimit);
  parser.body_limit(limits.bodyBytes);
  setDeadline(caller, BootClock::now() + limits.headerTimeout);
  co_await readHeadWithin(caller->socket, caller->buffer, parser, caller->headShare,
                          requests_.limit(), &code);
  // The framing of a body has no need of the room for a large head.
  caller->buffer.max_size(
      std::max(kMaxPipelinedBytes + kPipelinedReadSize, caller->buffer.size() + kReadAheadSize));
  if (!code && !parser.is_done()) {
    setDeadline(caller, bodyDeadline(parser.get(), caller->requestStartedAt));
    if (parser.get()[http::field::expect] == "100-continue") {
      static const std::string kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
      co_await asio::async_write(caller->socket, asio::buffer(kContinue), into(code));
    }
    if (!code)
      co_await readBodyWithin(caller->socket, caller->buffer, parser, caller->bodyShare, &code,
                              [&caller] { return !caller->timedOut; });
  }
  caller->deadline = Instant::max();
  if (!code) {
    *request = parser.release();
    co_return true;
  }
  if (code == http::error::end_of_stream || !caller->socket.is_open()) co_return false;
  Error error{ErrorKind::MalformedRequest, "the request can't be read: " + code.message()};
  if (caller->timedOut)
    error = {ErrorKind::RequestTimeout, "the request did not come whole in time"};
  if (code == http::error::header_limit) error = {ErrorKind::HeadersTooLarge, "the headers"};
  if (code == http::error::body_limit) error = {ErrorKind::BodyTooLarge, "the body"};
  if (code == http::error::buffer_overflow) error = {ErrorKind::MalformedRequest, kFramingTooLong};
  if (code == boost::system::errc::not_enough_memory) {
    co_await sendResponse(caller,
                          reject(ErrorKind::Rejected, "other requests take the memory for requests",
                                 std::string(parser.get()[headerNames_.requestId])),
                          false);
    co_await drain(caller);
    co_return false;
  }
  const bool isClosed = code == asio::error::eof || code == asio::error::connection_reset ||
                        code == http::error::partial_message;
  if (!isClosed) {
    ++counters_.badInput;
    co_await sendResponse(caller, errorResponse(error), false);
    co_await drain(caller);
  }
  co_return false;
}

// Serves the requests of one connection, one after the other.
awaitable<void> Relay::serveCaller(std::shared_ptr<Caller> caller) {
  struct CallerCount {
    std::atomic<std::size_t>& count;
    std::shared_ptr<bool> alive;
    CallerCount(std::atomic<std::size_t>& c, std::shared_ptr<bool> a)
        : count(c), alive(std::move(a)) {
      ++count;
    }
    ~CallerCount() {
      if (*alive) --count;
    }
  } counted(openCallers_, alive_);
  for (;;) {
    RelayRequest job;
    const bool hasRequest = co_await readRequest(caller, &job.original);
    if (!hasRequest) break;
    ++counters_.requests;
    job.startedAt = caller->requestStartedAt;
    const bool keepAlive = job.original.keep_alive();
    std::optional<HttpResponse> rejection = intake(job.original, &job);
    if (!rejection) {
      caller->isAwaitingResponse = true;
      caller->mayAbort = job.policy.repeatable || job.policy.isStream;
      watchForDisconnect(caller);
      rejection = co_await run(caller, job, keepAlive);
      caller->isAwaitingResponse = false;
    }
    if (caller->isDisconnected || !caller->socket.is_open()) break;
    if (rejection) {
      const bool written = co_await sendResponse(caller, std::move(*rejection), keepAlive);
      if (!written) break;
    }
    caller->deadline = Instant::max();
    const bool hasMore = caller->buffer.size() > 0;
    if (!caller->staysOpen || (isRejecting_ && !hasMore)) break;
  }
  ErrorCode code;
  caller->timer.cancel();
  if (caller->socket.is_open()) caller->socket.shutdown(Tcp::socket::shutdown_send, code);
  caller->socket.close(code);
}

}  // namespace quayrill
