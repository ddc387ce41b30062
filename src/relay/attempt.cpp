// One try at one server: a connection, the last questions, the request's bytes.
#include "relay/attempt.h"

#include "net/request_sender.h"
#include "relay/header_text.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Span kConnectTimeout = 400ms;
// Ours: a process that took longer than this between two steps with nothing awaited stood still.
constexpr Span kStallThreshold = 100ms;
}  // namespace

void Relay::Attempt::arm(Instant deadline) {
  watch->deadline = deadline;
  const Instant now = BootClock::now();
  const Instant until = watch->hasStarted ? Instant::max() : watch->startDeadline();
  Instant next = deadline;
  if (!watch->hasStarted) next = std::min(next, now + kStartCheckInterval);
  if (until > now) next = std::min(next, until);
  timer.expires_after(std::max(next, now) - now);
  timer.async_wait([this, watch = watch](const ErrorCode& code) {
    if (!code && watch->socket) onTimer();
  });
}

// Ends the try where it is due. An answer that is there by then is never cut off by it: what was
// read before is handled first, and events that follow a head are waited for.
void Relay::Attempt::onTimer() {
  const Instant now = BootClock::now();
  watch->isOutdated = !watch->hasStarted && now >= watch->startDeadline();
  if (!watch->isOutdated && now < watch->deadline) return arm(watch->deadline);
  if (!watch->hasStarted) {
    if (!std::exchange(watch->isDeferred, true))
      return asio::post(timer.get_executor(), [this, watch = watch] {
        if (watch->socket) onTimer();
      });
    watch->isDeferred = false;
    const bool isAlive =
        watch->isReceiving(now) || (!watch->isOutdated && watch->deservesExtension(now));
    if (isAlive) return arm(std::min(watch->hardDeadline, now + kActivityWindow));
  }
  watch->expired = true;
  ErrorCode ignored;
  watch->socket->close(ignored);
}

// Asked right before bytes of the request leave. "" lets them.
std::string Relay::reasonNotToSend(const Caller& caller, const RelayRequest& job,
                                   const ServerState& server, Instant now) const {
  if (now >= job.deadline) return "the deadline passed";
  if (caller.isDisconnected) return "the caller left";
  if (!isStillAllowed(job, server)) return "no longer allowed at the point of use";
  return "";
}

awaitable<AttemptResult> Relay::attempt(const std::shared_ptr<Caller>& caller,
                                        const RelayRequest& job, const PlacementResult& placed,
                                        ResponseProgress* progress, const AttemptOptions& asked) {
  const ServerState& server = placed.chosenServer;
  Attempt attempt{caller,
                  job,
                  placed,
                  progress,
                  asked.keepAlive,
                  BootClock::now(),
                  nullptr,
                  std::nullopt,
                  std::make_shared<Attempt::Watch>(),
                  asio::steady_timer(io_)};
  // Without an id nothing tells a late answer of another request from its own.
  if (!job.id.value.empty())
    attempt.connection = pool_.acquireIdle(server.name, attempt.startedAt, job.id);
  if (!attempt.connection) {
    const Span due = std::min<Span>(kConnectTimeout, job.deadline - attempt.startedAt);
    auto connected = co_await pool_.connect(server.name, due);
    if (!connected.ok()) {
      AttemptResult result{AttemptOutcome::NeverSent, std::string(connected.status().message())};
      result.isUnreachable = true;
      co_return result;
    }
    attempt.connection = std::move(*connected);
  }
  // Nothing is awaited from here until the first bytes have left.
  const Instant now = BootClock::now();
  const std::string refused = reasonNotToSend(*caller, job, server, now);
  if (caller->isDisconnected)
    co_return AttemptResult{AttemptOutcome::CallerGone, "before it was sent"};
  if (!refused.empty()) co_return AttemptResult{AttemptOutcome::NeverSent, refused};
  if (asked.isRetry && !budgets_.takeRetry(server.service, now)) {
    AttemptResult result{AttemptOutcome::NeverSent, "the budget of extra tries is spent"};
    result.isRetryBudgetSpent = true;
    co_return result;
  }

  Tcp::socket& socket = attempt.connection->socket;
  attempt.watch->socket = &socket;
  attempt.watch->lastActivity = lastActivityOf(server.name);
  attempt.watch->startedAt = now;
  attempt.watch->hardDeadline = job.deadline;
  // Only a stream shows when it begins.
  if (job.policy.isStream)
    attempt.watch->startDeadline = [this, &server] { return startDeadline(server); };
  caller->abortAttempt = [watch = attempt.watch] {
    ErrorCode ignored;
    if (watch->socket) watch->socket->close(ignored);
  };
  attempt.arm(asked.firstDeadline);
  RequestSender sender(socket, requestHead(job, placed, now, *progress), job.original.body(),
                       [&, now] {
                         const Instant asking = BootClock::now();
                         const bool isFirst = attempt.sentAt == Instant{};
                         attempt.sentAt = asking;
                         // The head names the time that was left at `now`.
                         if (isFirst && asking - now >= kStallThreshold) return false;
                         return reasonNotToSend(*caller, job, server, asking).empty();
                       });
  sender.begin();
  AttemptResult result;
  if (sender.isUntouched() && sender.isEnded())
    result = {AttemptOutcome::NeverSent, "send: " + sender.code().message()};
  else if (BootClock::now() - attempt.sentAt >= kStallThreshold &&
           !reasonNotToSend(*caller, job, server, BootClock::now()).empty())
    result = {AttemptOutcome::Unknown, "stood still while it was sent"};
  else
    result = co_await readResponse(attempt);
  if (!sender.isWhole()) {
    ErrorCode ignored;
    socket.close(ignored);
    co_await sender.ended();
  }
  attempt.watch->socket = nullptr;
  attempt.timer.cancel();
  caller->abortAttempt = nullptr;
  if (result.outcome != AttemptOutcome::Done && caller->isDisconnected)
    co_return AttemptResult{AttemptOutcome::CallerGone, result.detail};
  if (attempt.watch->expired && result.outcome == AttemptOutcome::Unknown) {
    if (!attempt.watch->isOutdated) result.outcome = AttemptOutcome::Silent;
    result.detail =
        attempt.watch->isOutdated ? "its weights were superseded too long ago" : "silent";
  }
  if (sender.isWhole()) returnConnection(attempt, result);
  co_return result;
}

// Gives the connection back if nothing but whole requests and whole answers, each by its id, went
// over it.
void Relay::returnConnection(Attempt& attempt, const AttemptResult& result) {
  const auto& answered = attempt.parser;
  const bool whole =
      answered && answered->is_done() && answered->keep_alive() &&
      (result.outcome == AttemptOutcome::Done || result.outcome == AttemptOutcome::NotRun);
  if (!whole || attempt.strayResponses > 0 || attempt.job.id.value.empty()) return;
  std::optional<Span> keepFor;
  const auto named = parseNumbers(view(answered->get()["Keep-Alive"]));
  if (!named.empty()) keepFor = std::chrono::seconds(named.front());
  attempt.connection->lastRequest = attempt.job.id;
  pool_.returnIdle(attempt.placed.chosenServer.name, std::move(attempt.connection), keepFor,
                   BootClock::now());
}

}  // namespace quayrill
