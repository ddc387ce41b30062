// One attempt at one server: gets a connection, makes the final checks and sends the request.
#include "relay/attempt.h"

#include "base/numbers.h"
#include "base/scope_exit.h"
#include "net/request_sender.h"
#include "relay/header_text.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Duration kConnectTimeout = 400ms;
constexpr std::chrono::seconds kMaxKeepAlive{3600};  // for which an idle connection is kept
// If this much time passes between two steps that do not wait for anything, the process was
// stalled.
constexpr Duration kStallThreshold = 100ms;

// Why the attempt was ended by its timer.
const char* describeExpiry(StartLimit limit) {
  switch (limit) {
    case StartLimit::Weights:
      return "its weights were superseded too long ago";
    case StartLimit::Isolation:
      return "a tenant became isolated while it waited at the server";
    case StartLimit::None:
      break;
  }
  return "silent";
}
}  // namespace

void Relay::Attempt::arm(Instant deadline) {
  watch->deadline = deadline;
  const Instant now = BootClock::now();
  const Instant until = watch->currentStartDeadline().at;
  Instant wakeAt = deadline;
  if (!watch->hasStarted) wakeAt = std::min(wakeAt, now + kStartCheckInterval);
  if (until > now) wakeAt = std::min(wakeAt, until);
  timer.expires_after(std::max(wakeAt, now) - now);
  timer.async_wait([this, watch = watch](const ErrorCode& code) {
    if (!code && watch->socket) onTimer();
  });
}

// Ends the attempt at its deadline, but never discards a response that has arrived by then: bytes
// received before are processed first, and once a head was read, its events are waited for.
void Relay::Attempt::onTimer() {
  const Instant now = BootClock::now();
  const StartDeadline start = watch->currentStartDeadline();
  const bool isTooLateToStart = now >= start.at;
  watch->startLimit = isTooLateToStart ? start.limit : StartLimit::None;
  if (!isTooLateToStart && now < watch->deadline) return arm(watch->deadline);
  if (!watch->hasStarted) {
    if (!std::exchange(watch->isDeferred, true))
      return asio::post(timer.get_executor(), [this, watch = watch] {
        if (watch->socket) onTimer();
      });
    watch->isDeferred = false;
    const bool isAlive =
        watch->isReceiving(now) || (!isTooLateToStart && watch->deservesExtension(now));
    if (isAlive) return arm(std::min(watch->hardDeadline, now + kActivityWindow));
  }
  watch->expired = true;
  ErrorCode ignored;
  watch->socket->close(ignored);
}

// Called right before bytes of the request are sent. Returns "" if they may be sent.
std::string Relay::reasonNotToSend(const Caller& caller, const RelayRequest& job,
                                   const PlacementResult& placed, Instant now) const {
  if (now >= job.deadline) return "the deadline passed";
  if (caller.isDisconnected) return "the caller left";
  if (!isStillAllowed(job, placed)) return "no longer allowed at the point of use";
  return "";
}

awaitable<AttemptResult> Relay::attempt(const std::shared_ptr<Caller>& caller,
                                        const RelayRequest& job, const PlacementResult& placed,
                                        ResponseProgress* progress, const AttemptOptions& options) {
  const ServerState& server = placed.chosenServer;
  Attempt attempt(caller, job, placed, progress, options.keepAlive, io_, answers_);
  // Without a request id, a late response to an earlier request could not be told from this one's.
  if (!job.id.value.empty())
    attempt.connection = pool_.acquireIdle(server.name, attempt.startedAt, job.id);
  if (!attempt.connection) {
    const Duration timeout = std::min<Duration>(kConnectTimeout, job.deadline - attempt.startedAt);
    auto connected = co_await pool_.connect(server.name, timeout);
    if (!connected.ok()) {
      AttemptResult result{AttemptOutcome::NeverSent, std::string(connected.status().message())};
      result.isUnreachable = true;
      co_return result;
    }
    attempt.connection = std::move(*connected);
  }
  // There must be no suspension point from here until the first bytes are sent.
  const Instant now = BootClock::now();
  const std::string blocker = reasonNotToSend(*caller, job, placed, now);
  if (caller->isDisconnected)
    co_return AttemptResult{AttemptOutcome::CallerGone, "before it was sent"};
  if (!blocker.empty()) co_return AttemptResult{AttemptOutcome::NeverSent, blocker};
  if (options.isRetry && !budgets_.takeRetry(server.service, now)) {
    AttemptResult result{AttemptOutcome::NeverSent, "the budget of extra tries is spent"};
    result.isRetryBudgetSpent = true;
    co_return result;
  }

  Tcp::socket& socket = attempt.connection->socket;
  attempt.watch->socket = &socket;
  attempt.watch->lastActivity = lastActivityOf(server.name);
  attempt.watch->startedAt = now;
  attempt.watch->hardDeadline = job.deadline;
  attempt.sentUnder = view_->configuration;
  attempt.watch->startDeadline = [this, &attempt] { return startDeadline(attempt); };
  caller->recheckStart = [this, &attempt, watch = attempt.watch] {
    if (!watch->socket) return;
    const bool isBounded = watch->currentStartDeadline().limit == StartLimit::Isolation;
    if (isBounded && !attempt.job.policy.isStream) askQueue(attempt.placed.chosenServer);
    attempt.onTimer();
  };
  caller->abortAttempt = [watch = attempt.watch] {
    ErrorCode ignored;
    if (watch->socket) watch->socket->close(ignored);
  };
  // Also when an exception ends the attempt.
  const ScopeExit detach([caller, watch = attempt.watch] {
    watch->socket = nullptr;
    caller->abortAttempt = caller->recheckStart = nullptr;
  });
  attempt.watch->receivingUntil = options.firstDeadline + kActivityWindow;
  attempt.arm(options.firstDeadline);
  RequestSender sender(socket, requestHead(job, placed, now, *progress), job.original.body(),
                       [&, now] {
                         const Instant sendingAt = BootClock::now();
                         const bool isFirst = attempt.sentAt == Instant{};
                         attempt.sentAt = sendingAt;
                         // The head contains the time that was left at `now`, which would be wrong
                         // after a stall.
                         if (isFirst && sendingAt - now >= kStallThreshold) return false;
                         return reasonNotToSend(*caller, job, placed, sendingAt).empty();
                       });
  sender.begin();
  AttemptResult result;
  if (sender.hasSentNothing() && sender.hasStopped())
    result = {AttemptOutcome::NeverSent, "send: " + sender.code().message()};
  else if (BootClock::now() - attempt.sentAt >= kStallThreshold &&
           !reasonNotToSend(*caller, job, placed, BootClock::now()).empty())
    result = {AttemptOutcome::Unknown, "stood still while it was sent"};
  else
    result = co_await readResponse(attempt);
  if (!sender.isComplete()) {
    ErrorCode ignored;
    socket.close(ignored);
    co_await sender.waitUntilStopped();
  }
  attempt.watch->socket = nullptr;
  attempt.timer.cancel();
  caller->abortAttempt = caller->recheckStart = nullptr;
  if (result.outcome != AttemptOutcome::Done && caller->isDisconnected)
    co_return AttemptResult{AttemptOutcome::CallerGone, result.detail};
  if (attempt.watch->expired && result.outcome == AttemptOutcome::Unknown) {
    result.startLimit = attempt.watch->startLimit;
    if (result.startLimit == StartLimit::None) result.outcome = AttemptOutcome::Silent;
    result.detail = describeExpiry(result.startLimit);
  }
  if (sender.isComplete()) returnConnection(attempt, result);
  co_return result;
}

// Returns the connection to the pool if it carried only complete requests and complete responses,
// each identified by its id.
void Relay::returnConnection(Attempt& attempt, const AttemptResult& result) {
  const auto& response = attempt.parser;
  const bool isResponseComplete =
      response && response->is_done() && response->keep_alive() &&
      (result.outcome == AttemptOutcome::Done || result.outcome == AttemptOutcome::NotRun);
  if (!isResponseComplete || attempt.strayResponses > 0 || attempt.job.id.value.empty()) return;
  std::optional<Duration> keepFor;
  const auto announced = digitRuns(view(response->get()["Keep-Alive"]));
  if (!announced.empty()) {
    const auto seconds = wholeNumber<std::uint32_t>(announced.front());
    keepFor = std::min<Duration>(kMaxKeepAlive,
                                 std::chrono::seconds(seconds.value_or(kMaxKeepAlive.count())));
  }
  attempt.connection->lastRequest = attempt.job.id;
  pool_.returnIdle(attempt.placed.chosenServer.name, std::move(attempt.connection), keepFor,
                   BootClock::now());
}

}  // namespace quayrill
