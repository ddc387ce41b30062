// The relay's front: connections of callers, what they may send and how long it may take.
#include <glog/logging.h>
#include <sys/socket.h>

#include "relay/relay.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Span kWriteDue = 10s;
constexpr Span kDrainSpan = 1s;                // ours: for a caller to see a refusal
constexpr std::size_t kDrainLimit = 1 << 20;   // ours: of what it goes on sending meanwhile
constexpr std::size_t kEarlyBlock = 4096;      // ours: read at once of a next request
constexpr std::size_t kEarlyLimit = 64 << 10;  // ours: kept of one; a close behind more is not seen
constexpr std::size_t kCallerLimit = 3000;
constexpr std::size_t kMostIdle = 32;  // ours: connections kept for each server
constexpr Span kIdleSpan = 4s;         // ours: how long, where the server names no time
// Ours: prompts wait for each other's reading, so a few requests over the mean are many.
constexpr double kSpreadRequests = 4, kSpreadFactor = 1.5;

PlacementSettings placementSettings(const Settings& settings) {
  PlacementSettings made{settings.blockTokens};
  made.spreadRequests = kSpreadRequests;
  made.spreadFactor = kSpreadFactor;
  made.byExpectedRead = settings.mechanisms.has(Mechanism::ExpectedRead);
  made.mechanisms = settings.mechanisms;
  return made;
}
}  // namespace

Relay::Relay(Settings settings, Dialect dialect)
    : settings_(std::move(settings)),
      dialect_(std::move(dialect)),
      names_(dialect_.relayHeaderNames.value()),
      callers_(io_),
      placement_(placementSettings(settings_)),
      budgets_(settings_.extraShare, settings_.extraWindow),
      slackShare_(settings_.extraWindow),
      pool_(io_, settings_.mechanisms.has(Mechanism::KeptConnections) ? kMostIdle : 0, kIdleSpan) {}

Relay::~Relay() {
  stop();
  *alive_ = false;
}

absl::Status Relay::start() {
  if (auto status = listenAt(callers_, settings_.callers, 1024); !status.ok()) return status;
  if (!settings_.ready.value.empty()) {
    HttpServerSettings readySettings;
    readySettings.listen = settings_.ready;
    readySettings.connectionLimit = 64;
    ready_ = std::make_unique<HttpServer>(
        io_, readySettings,
        [this](Connection&, HttpRequest& request) { return handleOwn(request); });
    if (auto status = ready_->start(); !status.ok()) return status;
  }
  asio::co_spawn(io_, accept(callers_), asio::detached);
  if (dialect_.partEvents && settings_.mechanisms.has(Mechanism::Events))
    asio::co_spawn(io_, eventLoop(), asio::detached);
  asio::co_spawn(io_, reportLoop(), asio::detached);
  thread_ = std::thread([this] { io_.run(); });
  return absl::OkStatus();
}

void Relay::stop() {
  io_.stop();
  if (thread_.joinable()) thread_.join();
}

bool Relay::isReady(Instant now) const {
  return !leaving_ && view_->configuration && !view_->servers.empty() &&
         now - view_->confirmedAt < settings_.freshLimit;
}

awaitable<std::optional<HttpResponse>> Relay::handleOwn(HttpRequest& request) {
  const std::string path = pathOf(request);
  if (path == "/readyz") {
    const bool ready = isReady(BootClock::now());
    co_return textResponse(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
  }
  if (path == "/healthz") co_return textResponse(200, "ok\n");
  if (path == "/metrics") co_return textResponse(200, renderCounters(counters_));
  if (path == "/q/explain") {
    if (const auto line = decisions_.find(queryValue(request, "id")))
      co_return textResponse(200, *line + "\n");
  }
  if (path == "/q/decisions") {
    const std::string from = queryValue(request, "from");
    const DecisionPage page =
        decisions_.read(static_cast<std::uint64_t>(std::atoll(from.c_str())), 500);
    co_return jsonResponse(200,
                           {{"first", page.first}, {"next", page.next}, {"lines", page.lines}});
  }
  co_return errorResponse({ErrorKind::UnknownWay, "no such call: " + path});
}

awaitable<void> Relay::accept(Tcp::acceptor& acceptor) {
  for (;;) {
    ErrorCode code;
    Tcp::socket socket(io_);
    co_await acceptor.async_accept(socket, into(code));
    if (code) {
      co_await pauseFor(10ms);  // out of descriptors: let some go
      continue;
    }
    if (openCallers_ >= kCallerLimit) continue;  // closes it, unread
    socket.set_option(Tcp::no_delay(true), code);
    auto caller = std::make_shared<Caller>(std::move(socket));
    open_.remove_if([](const auto& weak) { return weak.expired(); });
    open_.push_back(caller);
    asio::co_spawn(io_, serveCaller(std::move(caller)), asio::detached);
  }
}

// The timer is moved only where it would fire too late; a deadline that moves away is met when the
// timer fires.
void Relay::setDeadline(const std::shared_ptr<Caller>& caller, Instant deadline) {
  caller->deadline = deadline;
  if (caller->armedFor <= deadline) return;
  caller->armedFor = deadline;
  caller->timer.expires_after(deadline - BootClock::now());
  caller->timer.async_wait([this, weak = std::weak_ptr(caller)](const ErrorCode& code) {
    const auto timed = weak.lock();
    if (code || !timed) return;
    timed->armedFor = Instant::max();
    if (BootClock::now() < timed->deadline) {
      if (timed->deadline != Instant::max()) setDeadline(timed, timed->deadline);
      return;
    }
    timed->timedOut = true;
    ErrorCode ignored;
    timed->socket.cancel(ignored);
  });
}

// Sees a caller leave while its answer is being made. A half-close looks like a close and is taken
// for one. Bytes that come meanwhile are a next request: they are read, within a bound, since the
// close behind them shows only then.
void Relay::watch(const std::shared_ptr<Caller>& caller) {
  if (caller->isWatched) return;
  caller->isWatched = true;
  caller->socket.async_wait(
      Tcp::socket::wait_read,
      [this, alive = alive_, weak = std::weak_ptr(caller)](const ErrorCode& code) {
        const auto watched = weak.lock();
        if (!watched) return;
        watched->isWatched = false;
        if (code || !watched->isOwed || !*alive) return;
        const auto room = watched->buffer.prepare(kEarlyBlock);
        const auto got =
            ::recv(watched->socket.native_handle(), room.data(), room.size(), MSG_DONTWAIT);
        if (got > 0) watched->buffer.commit(static_cast<std::size_t>(got));
        const bool isThere = got > 0 || (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
        if (isThere) {
          if (watched->buffer.size() < kEarlyLimit) watch(watched);
          return;
        }
        watched->isGone = true;
        if (watched->endTry && watched->mayBreakOff) watched->endTry();
      });
}

bool Relay::keepsOpen(const std::shared_ptr<Caller>& caller, bool keepAlive) const {
  caller->staysOpen = keepAlive && !leaving_;
  return caller->staysOpen;
}

// Closing over unread bytes resets the connection, and the answer may be lost with it: the caller
// is told that no more comes, and what it still sends is thrown away for a while.
awaitable<void> Relay::drain(const std::shared_ptr<Caller>& caller) {
  char scrap[4096];
  std::size_t left = kDrainLimit;
  ErrorCode code;
  caller->isIdle = true;
  caller->socket.shutdown(Tcp::socket::shutdown_send, code);
  setDeadline(caller, BootClock::now() + kDrainSpan);
  while (!code && left > 0) {
    const auto got = co_await caller->socket.async_read_some(asio::buffer(scrap), into(code));
    left -= std::min(left, got);
  }
}

awaitable<bool> Relay::answer(const std::shared_ptr<Caller>& caller, HttpResponse response,
                              bool keepAlive) {
  response.version(11);
  response.keep_alive(keepsOpen(caller, keepAlive));
  response.prepare_payload();
  ErrorCode code;
  setDeadline(caller, BootClock::now() + kWriteDue);
  co_await http::async_write(caller->socket, response, into(code));
  co_return !code;
}

// False: the connection is to be closed; what could be said was said.
awaitable<bool> Relay::readRequest(const std::shared_ptr<Caller>& caller, HttpRequest* request) {
  const auto limitsNow = [this] {
    return view_->configuration ? view_->configuration->callerLimits : CallerLimits{};
  };
  ErrorCode code;
  caller->isIdle = true;
  if (caller->buffer.size() == 0) {
    const Instant idleSince = BootClock::now();
    do {  // a configuration that came meanwhile may let it rest longer
      caller->timedOut = false;
      setDeadline(caller, idleSince + limitsNow().idleDue);
      co_await caller->socket.async_wait(Tcp::socket::wait_read, into(code));
    } while (code && caller->timedOut && BootClock::now() < idleSince + limitsNow().idleDue);
    if (code) co_return false;
  }
  caller->isIdle = false;
  caller->timedOut = false;
  caller->requestBegun = BootClock::now();
  const CallerLimits limits = limitsNow();
  http::request_parser<http::string_body> parser;
  parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
  parser.body_limit(limits.bodyBytes);
  setDeadline(caller, BootClock::now() + limits.headerDue);
  co_await http::async_read_header(caller->socket, caller->buffer, parser, into(code));
  if (!code && !parser.is_done()) {
    setDeadline(caller, bodyDeadline(parser.get(), caller->requestBegun));
    if (parser.get()[http::field::expect] == "100-continue") {
      static const std::string kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
      co_await asio::async_write(caller->socket, asio::buffer(kContinue), into(code));
    }
    if (!code) co_await http::async_read(caller->socket, caller->buffer, parser, into(code));
  }
  caller->deadline = Instant::max();
  if (!code) {
    *request = parser.release();
    co_return true;
  }
  if (code == http::error::end_of_stream || !caller->socket.is_open()) co_return false;
  Error error{ErrorKind::MalformedRequest, "the request can't be read: " + code.message()};
  if (caller->timedOut) error = {ErrorKind::SlowCaller, "the request did not come whole in time"};
  if (code == http::error::header_limit) error = {ErrorKind::HeaderOversize, "the headers"};
  if (code == http::error::body_limit) error = {ErrorKind::Oversize, "the body"};
  const bool closed = code == asio::error::eof || code == asio::error::connection_reset ||
                      code == http::error::partial_message;
  if (!closed) {
    ++counters_.badInput;
    co_await answer(caller, errorResponse(error), false);
    co_await drain(caller);
  }
  co_return false;
}

awaitable<void> Relay::serveCaller(std::shared_ptr<Caller> caller) {
  struct Counted {
    std::atomic<std::size_t>& count;
    std::shared_ptr<bool> alive;
    Counted(std::atomic<std::size_t>& c, std::shared_ptr<bool> a) : count(c), alive(std::move(a)) {
      ++count;
    }
    ~Counted() {
      if (*alive) --count;
    }
  } counted(openCallers_, alive_);
  for (;;) {
    RelayRequest job;
    const bool whole = co_await readRequest(caller, &job.original);
    if (!whole) break;
    ++counters_.requests;
    job.begun = caller->requestBegun;
    const bool keepAlive = job.original.keep_alive();
    std::optional<HttpResponse> refusal = intake(job.original, &job);
    if (!refusal) {
      caller->isOwed = true;
      caller->mayBreakOff = job.policy.repeatable || job.policy.isStream;
      watch(caller);
      refusal = co_await run(caller, job, keepAlive);
      caller->isOwed = false;
    }
    if (caller->isGone || !caller->socket.is_open()) break;
    if (refusal) {
      const bool written = co_await answer(caller, std::move(*refusal), keepAlive);
      if (!written) break;
    }
    caller->deadline = Instant::max();
    const bool hasMore = caller->buffer.size() > 0;
    if (!caller->staysOpen || (refusing_ && !hasMore)) break;
  }
  ErrorCode code;
  caller->timer.cancel();
  if (caller->socket.is_open()) caller->socket.shutdown(Tcp::socket::shutdown_send, code);
  caller->socket.close(code);
}

}  // namespace quayrill
