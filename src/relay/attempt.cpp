// One try at one server: a connection, the last questions, the request's bytes.
#include "relay/attempt.h"

#include "net/request_sender.h"
#include "relay/header_text.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Span kConnectDue = 400ms;
// Ours: a process that took longer than this between two steps with nothing awaited stood still.
constexpr Span kStoodStill = 100ms;
}  // namespace

void Relay::Attempt::arm(Instant deadline) {
  watch->deadline = deadline;
  const Instant now = BootClock::now();
  const Instant until = watch->hasBegun ? Instant::max() : watch->mayBeginUntil();
  Instant next = deadline;
  if (!watch->hasBegun) next = std::min(next, now + kBeginningEvery);
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
  watch->isOutdated = !watch->hasBegun && now >= watch->mayBeginUntil();
  if (!watch->isOutdated && now < watch->deadline) return arm(watch->deadline);
  if (!watch->hasBegun) {
    if (!std::exchange(watch->isPutOff, true))
      return asio::post(timer.get_executor(), [this, watch = watch] {
        if (watch->socket) onTimer();
      });
    watch->isPutOff = false;
    const bool isAlive =
        watch->isAnswering(now) || (!watch->isOutdated && watch->deservesMore(now));
    if (isAlive) return arm(std::min(watch->latest, now + kSignsOfLife));
  }
  watch->expired = true;
  ErrorCode ignored;
  watch->socket->close(ignored);
}

// Asked right before bytes of the request leave. "" lets them.
std::string Relay::whyNot(const Caller& caller, const RelayRequest& job, const ServerState& server,
                          Instant now) const {
  if (now >= job.deadline) return "the deadline passed";
  if (caller.isGone) return "the caller left";
  if (!mayRun(job, server)) return "no longer allowed at the point of use";
  return "";
}

awaitable<TryResult> Relay::attempt(const std::shared_ptr<Caller>& caller, const RelayRequest& job,
                                    const Placed& placed, AnswerSoFar* soFar,
                                    const TryAsked& asked) {
  const ServerState& server = placed.chosenServer;
  Attempt attempt{caller,
                  job,
                  placed,
                  soFar,
                  asked.keepAlive,
                  BootClock::now(),
                  nullptr,
                  std::nullopt,
                  std::make_shared<Attempt::Watch>(),
                  asio::steady_timer(io_)};
  // Without an id nothing tells a late answer of another request from its own.
  if (!job.id.value.empty())
    attempt.connection = pool_.takeIdle(server.name, attempt.begun, job.id);
  if (!attempt.connection) {
    const Span due = std::min<Span>(kConnectDue, job.deadline - attempt.begun);
    auto connected = co_await pool_.connect(server.name, due);
    if (!connected.ok()) {
      TryResult result{TryEnd::NeverSent, std::string(connected.status().message())};
      result.isUnreachable = true;
      co_return result;
    }
    attempt.connection = std::move(*connected);
  }
  // Nothing is awaited from here until the first bytes have left.
  const Instant now = BootClock::now();
  const std::string refused = whyNot(*caller, job, server, now);
  if (caller->isGone) co_return TryResult{TryEnd::CallerGone, "before it was sent"};
  if (!refused.empty()) co_return TryResult{TryEnd::NeverSent, refused};
  if (asked.isExtra && !budgets_.takeExtra(server.service, now)) {
    TryResult result{TryEnd::NeverSent, "the budget of extra tries is spent"};
    result.isOverBudget = true;
    co_return result;
  }

  Tcp::socket& socket = attempt.connection->socket;
  attempt.watch->socket = &socket;
  attempt.watch->signs = signsOf(server.name);
  attempt.watch->begun = now;
  attempt.watch->latest = job.deadline;
  // Only a stream shows when it begins.
  if (job.policy.isStream)
    attempt.watch->mayBeginUntil = [this, &server] { return mayBeginUntil(server); };
  caller->endTry = [watch = attempt.watch] {
    ErrorCode ignored;
    if (watch->socket) watch->socket->close(ignored);
  };
  attempt.arm(asked.firstDeadline);
  RequestSender sender(socket, requestHead(job, placed, now, *soFar), job.original.body(),
                       [&, now] {
                         const Instant asking = BootClock::now();
                         const bool isFirst = attempt.sentAt == Instant{};
                         attempt.sentAt = asking;
                         // The head names the time that was left at `now`.
                         if (isFirst && asking - now >= kStoodStill) return false;
                         return whyNot(*caller, job, server, asking).empty();
                       });
  sender.begin();
  TryResult result;
  if (sender.hasSentNothing() && sender.hasStopped())
    result = {TryEnd::NeverSent, "send: " + sender.code().message()};
  else if (BootClock::now() - attempt.sentAt >= kStoodStill &&
           !whyNot(*caller, job, server, BootClock::now()).empty())
    result = {TryEnd::Unknown, "stood still while it was sent"};
  else
    result = co_await readAnswer(attempt);
  if (!sender.isComplete()) {
    ErrorCode ignored;
    socket.close(ignored);
    co_await sender.waitUntilStopped();
  }
  attempt.watch->socket = nullptr;
  attempt.timer.cancel();
  caller->endTry = nullptr;
  if (result.end != TryEnd::Done && caller->isGone)
    co_return TryResult{TryEnd::CallerGone, result.detail};
  if (attempt.watch->expired && result.end == TryEnd::Unknown) {
    if (!attempt.watch->isOutdated) result.end = TryEnd::Silent;
    result.detail =
        attempt.watch->isOutdated ? "its weights were superseded too long ago" : "silent";
  }
  if (sender.isComplete()) keepConnection(attempt, result);
  co_return result;
}

// Gives the connection back if nothing but whole requests and whole answers, each by its id, went
// over it.
void Relay::keepConnection(Attempt& attempt, const TryResult& result) {
  const auto& answered = attempt.parser;
  const bool whole = answered && answered->is_done() && answered->keep_alive() &&
                     (result.end == TryEnd::Done || result.end == TryEnd::NotRun);
  if (!whole || attempt.strays > 0 || attempt.job.id.value.empty()) return;
  std::optional<Span> keepFor;
  const auto named = numbersOf(view(answered->get()["Keep-Alive"]));
  if (!named.empty()) keepFor = std::chrono::seconds(named.front());
  attempt.connection->lastRequest = attempt.job.id;
  pool_.give(attempt.placed.chosenServer.name, std::move(attempt.connection), keepFor,
             BootClock::now());
}

}  // namespace quayrill
