// The relay's front: connections of callers, what they may send and how long it may take.
#include <glog/logging.h>
#include <sys/socket.h>

#include "relay/relay.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Span kBodyDue = 30s;
constexpr Span kWriteDue = 10s;
constexpr std::size_t kCallerLimit = 3000;
// Ours: prompts wait for each other's reading, so a few requests over the mean are many.
constexpr double kSpreadRequests = 4, kSpreadFactor = 1.5;
}  // namespace

Relay::Relay(Boot boot, Dialect dialect)
    : boot_(std::move(boot)),
      dialect_(std::move(dialect)),
      names_(dialect_.relayNames.value()),
      callers_(io_),
      placement_({boot_.blockTokens, PlacementRule::LongestPrefix, kSpreadRequests, kSpreadFactor}),
      budgets_(boot_.extraShare, boot_.extraWindow),
      slackShare_(boot_.extraWindow),
      pool_(io_, 32, 4s) {}

Relay::~Relay() {
  stop();
  *alive_ = false;
}

absl::Status Relay::start() {
  if (auto status = listenAt(callers_, boot_.callers, 1024); !status.ok()) return status;
  if (!boot_.ready.value.empty()) {
    HttpServerBoot readyBoot;
    readyBoot.listen = boot_.ready;
    readyBoot.circuitLimit = 64;
    ready_ = std::make_unique<HttpServer>(
        io_, readyBoot, [this](Circuit&, HttpRequest& request) { return handleOwn(request); });
    if (auto status = ready_->start(); !status.ok()) return status;
  }
  asio::co_spawn(io_, accept(callers_), asio::detached);
  if (dialect_.partEvents) asio::co_spawn(io_, eventLoop(), asio::detached);
  thread_ = std::thread([this] { io_.run(); });
  return absl::OkStatus();
}

void Relay::stop() {
  io_.stop();
  if (thread_.joinable()) thread_.join();
}

void Relay::beginLeaving() { leaving_ = true; }

void Relay::stopAccepting() {
  stopping_ = true;
  asio::post(io_, [this] {
    ErrorCode code;
    callers_.close(code);
    for (const auto& weak : open_) {
      const auto caller = weak.lock();
      if (caller && caller->isIdle) caller->socket.close(code);
    }
  });
}

bool Relay::isReady(Instant now) const {
  return !leaving_ && view_->spec && !view_->servers.empty() &&
         now - view_->confirmedAt < boot_.freshLimit;
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
  co_return defectResponse({DefectKind::UnknownWay, "no such call: " + path});
}

awaitable<void> Relay::accept(Tcp::acceptor& acceptor) {
  while (!stopping_) {
    ErrorCode code;
    Tcp::socket socket(io_);
    co_await acceptor.async_accept(socket, into(code));
    if (stopping_) co_return;
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

// Sees a caller leave while its answer is being made. Bytes that come meanwhile are a next request.
void Relay::watch(const std::shared_ptr<Caller>& caller) {
  if (caller->isWatched) return;
  caller->isWatched = true;
  caller->socket.async_wait(
      Tcp::socket::wait_read, [weak = std::weak_ptr(caller)](const ErrorCode& code) {
        const auto watched = weak.lock();
        if (!watched) return;
        watched->isWatched = false;
        if (code || !watched->onGone) return;
        char byte = 0;
        const auto got = ::recv(watched->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (got > 0 || (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))) return;
        watched->isGone = true;
        watched->onGone();
      });
}

bool Relay::mayKeep(const HttpRequest& request) const {
  return request.keep_alive() && !leaving_ && !stopping_;
}

awaitable<bool> Relay::answer(const std::shared_ptr<Caller>& caller, HttpResponse response,
                              bool keepAlive) {
  response.version(11);
  response.keep_alive(keepAlive);
  response.prepare_payload();
  ErrorCode code;
  setDeadline(caller, BootClock::now() + kWriteDue);
  co_await http::async_write(caller->socket, response, into(code));
  co_return !code;
}

// False: the connection is to be closed; what could be said was said.
awaitable<bool> Relay::readRequest(const std::shared_ptr<Caller>& caller, HttpRequest* request) {
  const auto spec = view_->spec;
  const CallerLimits limits = spec ? spec->callerLimits : CallerLimits{};
  ErrorCode code;
  caller->timedOut = false;
  caller->isIdle = true;
  if (caller->buffer.size() == 0) {
    setDeadline(caller, BootClock::now() + limits.idleDue);
    co_await caller->socket.async_wait(Tcp::socket::wait_read, into(code));
    if (code || stopping_) co_return false;
  }
  caller->isIdle = false;
  http::request_parser<http::string_body> parser;
  parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
  parser.body_limit(limits.bodyBytes);
  setDeadline(caller, BootClock::now() + limits.headerDue);
  co_await http::async_read_header(caller->socket, caller->buffer, parser, into(code));
  if (!code && !parser.is_done()) {
    setDeadline(caller, BootClock::now() + kBodyDue);
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
  Defect defect{DefectKind::MalformedRequest, "the request can't be read: " + code.message()};
  if (caller->timedOut) defect = {DefectKind::SlowCaller, "the request did not come whole in time"};
  if (code == http::error::header_limit) defect = {DefectKind::HeaderOversize, "the headers"};
  if (code == http::error::body_limit) defect = {DefectKind::Oversize, "the body"};
  const bool closed = code == asio::error::eof || code == asio::error::connection_reset ||
                      code == http::error::partial_message;
  if (!closed) {
    ++counters_.badInput;
    co_await answer(caller, defectResponse(defect), false);
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
  while (!stopping_) {
    RelayRequest job;
    const bool whole = co_await readRequest(caller, &job.original);
    if (!whole) break;
    ++counters_.requests;
    job.begun = BootClock::now();
    const bool keepAlive = mayKeep(job.original);
    std::optional<HttpResponse> refusal = intake(job.original, &job);
    if (!refusal) refusal = co_await run(caller, job, keepAlive);
    if (caller->isGone || !caller->socket.is_open()) break;
    if (refusal) {
      const bool written = co_await answer(caller, std::move(*refusal), keepAlive);
      if (!written) break;
    }
    caller->deadline = Instant::max();
    if (!keepAlive) break;
  }
  ErrorCode code;
  caller->timer.cancel();
  if (caller->socket.is_open()) caller->socket.shutdown(Tcp::socket::shutdown_send, code);
  caller->socket.close(code);
}

}  // namespace quayrill
