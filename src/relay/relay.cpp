// Runs one request over its attempts: places it, evaluates each attempt, and decides on retries.
#include "relay/relay.h"

#include <cmath>
#include <nlohmann/json.hpp>

#include "base/scope_exit.h"
#include "net/log.h"
#include "net/spawn.h"
#include "relay/attempt.h"
#include "relay/header_text.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
// The usual upper limit for the time between sending a request and its first token. A request that
// waits longer is aborted when its server's weights may no longer be used for new responses.
constexpr Duration kExpectedStartDelay = 2s;
// Figures that arrive later than this after a request was sent were taken after it had arrived.
constexpr Duration kLoadReportDelay = 500ms;
// How old the figures in a server's report of its queue may be.
constexpr Duration kQueueReportAge = 400ms;
constexpr Duration kQueueReadInterval = 400ms;
constexpr int kQueueReads = 4;
constexpr Duration kFirstEventSlack = 400ms;  // added to the route's target for the first event

// Logs, once `span` has passed, how many of the requests that servers had at a change of who is
// isolated were ended for it.
awaitable<void> reportRevokedStarts(const Counters& counters, std::uint64_t configurationVersion,
                                    std::size_t requests, std::uint64_t revokedBefore,
                                    Duration span) {
  co_await pauseFor(span);
  LOG_LINE(kInfo) << "configuration " << configurationVersion
                  << " changed who is isolated while servers had " << requests
                  << " requests: " << counters.startsRevoked - revokedBefore
                  << " were ended before their start";
}
}  // namespace

std::string describeAttempt(const PlacementResult& placed, const AttemptResult& result) {
  const Candidate& chosen = placed.chosen;
  const auto first = std::chrono::duration_cast<std::chrono::milliseconds>(result.timeToFirstEvent);
  std::string text = placed.chosenServer.name.value + " " + attemptOutcomeName(result.outcome) +
                     " " + result.detail + ", " + placed.reason;
  text += ", matched " + std::to_string(placed.matchedTokens) + "/" +
          std::to_string(placed.promptTokens);
  text += ", waiting " + std::to_string(std::llround(chosen.pendingPrefillTokens)) + ", expected " +
          std::to_string(std::llround(chosen.expectedTokens)) + " of at least " +
          std::to_string(std::llround(placed.minExpectedTokens)) + " tokens";
  if (!placed.fetchFrom.value.empty()) text += ", from " + placed.fetchFrom.value;
  return text + ", first " + std::to_string(first.count()) + " ms";
}

const char* attemptOutcomeName(AttemptOutcome outcome) {
  static constexpr const char* kNames[] = {"never sent", "not run", "unknown",    "silent",
                                           "done",       "cut",     "caller gone"};
  return kNames[static_cast<std::size_t>(outcome)];
}

void Relay::applySnapshot(Snapshot snapshot, Instant requestedAt,
                          std::shared_ptr<const Configuration> configuration) {
  asio::post(io_, [this, snapshot = std::move(snapshot), requestedAt,
                   configuration = std::move(configuration)]() mutable {
    if (!configuration)
      configuration = readConfigurationOf(snapshot, *view_, dialect_.readConfiguration);
    auto next = std::make_shared<ProxyView>(
        nextView(*view_, snapshot, requestedAt, std::move(configuration)));
    const auto configurationBefore = view_->configuration;
    if (next->configurationVersion != view_->configurationVersion) {
      ++counters_.configurationChanges;
      const auto& stores = next->configuration->stores;
      if (stores.empty())
        placement_.setStore({}, 0);
      else
        placement_.setStore(stores.begin()->second.address, stores.begin()->second.cacheTokens);
    }
    // The platform's list does not report load; keeps the load that responses reported.
    for (ServerState& server : next->servers) server.polledAt = Instant{};
    view_ = std::move(next);
    serverRows_.clear();
    for (std::size_t i = 0; i < view_->servers.size(); ++i) serverRows_[view_->servers[i].name] = i;
    placement_.setServers(view_->servers);
    const Instant now = BootClock::now();
    pool_.closeExpired(now);
    updateRetryBudgets(snapshot.proxies, now);
    const auto isGone = [this](const auto& row) { return !serverRows_.contains(row.first); };
    std::erase_if(lastActivity_, isGone);
    std::erase_if(noneQueuedAt_, isGone);
    std::set<ServerName> listed;
    for (const auto& [name, index] : serverRows_) listed.insert(name);
    answerFaults_.retain(listed);
    if (configurationBefore && configurationBefore->sharedScope != view_->sharedScope())
      recheckStarts();
  });
}

void Relay::updateRetryBudgets(std::size_t daemons, Instant now) {
  retrySlack_.noteDaemons(daemons, now);
  budgets_.setSlack(retrySlack_.shareOf(static_cast<double>(settings_.retryHeadroom), now));
  budgets_.removeIdle(now);
}

std::shared_ptr<Instant> Relay::lastActivityOf(const ServerName& server) {
  auto& lastActivity = lastActivity_[server];
  if (!lastActivity) lastActivity = std::make_shared<Instant>();
  return lastActivity;
}

bool Relay::isConfigurationUsable(Instant now) const {
  return view_->isUsable(now, {settings_.applyLimit, settings_.stalenessLimit});
}

// Called right before the first byte of a request is sent: everything that admitted the request
// must still hold.
bool Relay::isStillAllowed(const RelayRequest& job, const PlacementResult& placed) const {
  const ServerState& server = placed.chosenServer;
  const auto& currentView = *view_;
  if (isAborting_) return false;
  if (!isConfigurationUsable(BootClock::now())) return false;
  if (job.needsKey) {
    const auto owner = currentView.configuration->tenantByKeyDigest.find(job.keyDigest);
    if (owner == currentView.configuration->tenantByKeyDigest.end() || owner->second != job.tenant)
      return false;
  }
  if (cacheScope(*currentView.configuration, job.tenant) != placed.salt) return false;
  const auto row = serverRows_.find(server.name);
  if (row == serverRows_.end()) return false;
  const ServerState& current = currentView.servers[row->second];
  return !current.leaving && current.identity == server.identity &&
         weightsDeadline(server) > BootClock::now();
}

// The time until which a response may start, given the weights that the request asks the
// server for.
Instant Relay::weightsDeadline(const ServerState& server) const {
  const Instant usableUntil = view_->usableUntil(server, settings_.rolloutTimeLimit);
  return usableUntil == Instant::max() || usableUntil == Instant::min()
             ? usableUntil
             : usableUntil - kStartDeadlineMargin;
}

// The time until which a response may start, given the cache scope that the request was sent under.
// Without a prompt prefix it uses no cache.
Instant Relay::scopeDeadline(const RelayRequest& job, const Configuration& sentUnder) const {
  if (view(job.original[headerNames_.prefix]).empty()) return Instant::max();
  const Instant usableUntil = view_->scopeUsableUntil(sentUnder, job.tenant, settings_.applyLimit);
  return usableUntil == Instant::max() ? usableUntil : usableUntil - kStartDeadlineMargin;
}

// An answer in one piece does not show when it starts. True if its server's figures do: some time
// after the request was sent, no request waited there.
bool Relay::isKnownToRun(const Attempt& attempt) const {
  const auto row = noneQueuedAt_.find(attempt.placed.chosenServer.name);
  return row != noneQueuedAt_.end() && attempt.sentAt != Instant{} &&
         row->second - attempt.sentAt > kLoadReportDelay;
}

StartDeadline Relay::startDeadline(const Attempt& attempt) const {
  StartDeadline deadline;
  const bool isStream = attempt.job.policy.isStream;
  if (isStream) deadline = {weightsDeadline(attempt.placed.chosenServer), StartLimit::Weights};
  if (!isStream && isKnownToRun(attempt)) return deadline;
  const Instant scopeUsableUntil = scopeDeadline(attempt.job, *attempt.sentUnder);
  if (scopeUsableUntil < deadline.at) deadline = {scopeUsableUntil, StartLimit::Isolation};
  return deadline;
}

// Called when the cache scopes have changed: attempts that wait at servers may have less time.
void Relay::recheckStarts() {
  std::size_t requests = 0;
  const std::uint64_t revokedBefore = counters_.startsRevoked;
  for (const auto& weak : callerList_) {
    const auto caller = weak.lock();
    if (!caller || !caller->recheckStart) continue;
    caller->recheckStart();
    ++requests;
  }
  spawnTask(io_, "reporting revoked starts",
            reportRevokedStarts(counters_, view_->configurationVersion, requests, revokedBefore,
                                settings_.applyLimit));
}

// Asks a server how many requests wait there, if it can tell and is not being asked.
void Relay::askQueue(const ServerState& server) {
  if (!dialect_.readQueued || !queuesAsked_.insert(server.name).second) return;
  spawnTask(io_, "reading a server's queue", readQueue(server.name, server.identity));
}

// Several times, because a report shows requests that were sent some time before it only.
awaitable<void> Relay::readQueue(ServerName server, ServerIdentity identity) {
  const ScopeExit done([this, alive = alive_, server] {
    if (*alive) queuesAsked_.erase(server);
  });
  // A variable, because GCC 12 destroys temporaries twice that initialize an aggregate in a
  // coroutine.
  const Address address{server.value};
  for (int call = 0; call < kQueueReads; ++call) {
    if (call > 0) co_await pauseFor(kQueueReadInterval);
    const Instant askedAt = BootClock::now();
    const auto queued = co_await dialect_.readQueued(address, identity, kQueueReadInterval);
    Instant& noneQueuedAt = noneQueuedAt_[server];
    if (queued.ok() && *queued == 0)
      noneQueuedAt = std::max(noneQueuedAt, askedAt - Instant::duration(kQueueReportAge));
  }
}

std::optional<PlacementResult> Relay::place(const RelayRequest& job,
                                            const std::set<ServerName>& tried) {
  // The tenant may have become isolated since the request was admitted.
  PlacementRequest request{job.model, job.tenant, cacheScope(*view_->configuration, job.tenant),
                           job.prefix, tried};
  std::vector<SplitShare> shares = job.split;
  const Instant now = BootClock::now();
  // A request sent now may have to wait at the server before its response starts.
  request.isAllowed = [this, now](const ServerState& server) {
    return weightsDeadline(server) > now + kExpectedStartDelay;
  };
  while (!shares.empty()) {
    std::uint64_t sum = 0;
    for (const SplitShare& share : shares) sum += share.weight;
    if (sum == 0) break;
    std::uint64_t pick = random_() % sum;
    auto chosen = shares.begin();
    while (pick >= chosen->weight) pick -= (chosen++)->weight;
    request.service = chosen->service;
    if (auto placed = placement_.place(request, now)) return placed;
    shares.erase(chosen);
  }
  return std::nullopt;
}

void Relay::applyOutcome(const ServerState& server, const AttemptResult& result) {
  const Instant now = BootClock::now();
  answerFaults_.note(server.name, result.fault);
  const bool isFaultOfServer =
      result.fault != AnswerFault::None && result.fault != AnswerFault::Memory;
  if (isFaultOfServer) placement_.noteProtocolFault(server.name, now);
  switch (result.outcome) {
    case AttemptOutcome::Done:
    case AttemptOutcome::CallerGone:
      if (result.outcome == AttemptOutcome::Done) placement_.noteSuccess(server.name, now);
      break;
    case AttemptOutcome::Silent:
      placement_.noteFailure(server.name, now);
      pool_.dropIdle(server.name);
      break;
    case AttemptOutcome::NeverSent:
      // If a connection was established, the server is not the reason that nothing was sent.
      if (!result.isUnreachable) break;
      placement_.noteFailure(server.name, now);
      pool_.dropIdle(server.name);
      break;
    case AttemptOutcome::NotRun:
    case AttemptOutcome::Unknown:
    case AttemptOutcome::Cut:
      break;
  }
}

// Returns the response that is still to be sent to the caller; nullopt if nothing more is to be
// sent.
awaitable<std::optional<HttpResponse>> Relay::run(const std::shared_ptr<Caller>& caller,
                                                  const RelayRequest& job, bool keepAlive) {
  std::set<ServerName> tried, sentTo;
  ResponseProgress progress;
  progress.lastEventId = job.resumeAfter;
  // sentAttempts counts attempts that may have reached a server, uncountedAttempts those that do
  // not count against the route's limit of servers. mayHaveRun never returns to false: as long as
  // it is false, the request can be rejected as not run.
  std::size_t sentAttempts = 0, uncountedAttempts = 0;
  bool mayHaveRun = false, isCountedInBudget = false;
  std::string lastDetail = "no server is free", attemptLog;
  std::optional<HttpResponse> failure;
  ByteBudget::Share failureShare;
  AttemptOutcome lastOutcome = AttemptOutcome::NeverSent;
  const bool mayRetry = settings_.mechanisms.isEnabled(Mechanism::Retries);
  const std::size_t maxServers = mayRetry ? std::max<std::size_t>(1, job.policy.tries) : 1;
  while (BootClock::now() < job.deadline && uncountedAttempts < 4 && !caller->isDisconnected &&
         !isAborting_) {
    const auto placed = place(job, tried);
    if (!placed) break;
    const ServerState& server = placed->chosenServer;
    bool ran = false;
    ScopeExit release([this, alive = alive_, ticket = placed->ticket, &ran] {
      if (*alive) placement_.release(ticket, ran, BootClock::now());
    });
    // A server that was already sent the request does not count again against the limit.
    if (sentTo.size() >= maxServers && !sentTo.contains(server.name)) break;
    Instant firstDeadline = job.deadline;
    const Instant now = BootClock::now();
    if (!isCountedInBudget) budgets_.countRequest(server.service, now);
    isCountedInBudget = true;
    if (sentAttempts > 0 && !budgets_.canTakeRetry(server.service, now)) break;
    if (job.policy.repeatable && sentTo.size() + 1 < maxServers &&
        budgets_.canTakeRetry(server.service, now))
      firstDeadline =
          std::min(firstDeadline, now + Duration(job.policy.firstEventTarget) + kFirstEventSlack);
    ran = true;
    AttemptResult result =
        co_await attempt(caller, job, *placed, &progress,
                         AttemptOptions{firstDeadline, keepAlive, sentAttempts > 0});
    lastOutcome = result.outcome;
    lastDetail = result.detail;
    ran = result.outcome != AttemptOutcome::NeverSent && result.outcome != AttemptOutcome::NotRun;
    applyOutcome(server, result);
    counters_.promptTokens += placed->promptTokens;
    counters_.matchedTokens += placed->matchedTokens;
    attemptLog += (attemptLog.empty() ? "" : "; ") + describeAttempt(*placed, result);
    if (result.outcome == AttemptOutcome::Done || result.outcome == AttemptOutcome::CallerGone)
      break;
    if (result.isRetryBudgetSpent) break;
    if (result.outcome == AttemptOutcome::NeverSent) {
      ++uncountedAttempts;
      tried.insert(server.name);
      continue;
    }
    if (sentAttempts > 0) ++counters_.retries;
    ++sentAttempts;
    sentTo.insert(server.name);
    if (result.outcome == AttemptOutcome::NotRun && result.retrySameServer) {
      if (++uncountedAttempts >= 3) break;
      continue;  // the same server, with what it just reported
    }
    if (result.startLimit == StartLimit::Isolation) ++counters_.startsRevoked;
    // What was ended before its start may go to the same server under what is in force now.
    if (result.startLimit == StartLimit::None) tried.insert(server.name);
    failure = std::move(result.failure);
    failureShare = std::move(result.failureShare);
    if (result.outcome == AttemptOutcome::NotRun) continue;
    mayHaveRun = true;
    if (!job.policy.repeatable) break;
    const bool canContinue = job.policy.isResumable && progress.canResume;
    if (progress.headSent && !canContinue) break;
  }
  if (lastOutcome == AttemptOutcome::Done) {
    ++counters_.completed;
    recordDecision(job, attemptLog, "done");
    co_return std::nullopt;
  }
  if (lastOutcome == AttemptOutcome::CallerGone || caller->isDisconnected) {
    ++counters_.callerDisconnected;
    caller->isDisconnected = true;
    recordDecision(job, attemptLog, "caller gone");
    co_return std::nullopt;
  }
  if (progress.headSent) {  // closes without an end mark: a truncated response never looks complete
    ++counters_.truncated;
    ErrorCode code;
    caller->socket.close(code);
    recordDecision(job, attemptLog, "cut");
    co_return std::nullopt;
  }
  if (!mayHaveRun) {
    recordDecision(job, attemptLog, "refused");
    co_return reject(ErrorKind::Rejected, lastDetail, job.id.value);
  }
  ++counters_.outcomeUnknown;
  recordDecision(job, attemptLog, "unknown");
  if (failure) co_return std::move(*failure);
  const bool isLate = BootClock::now() >= job.deadline;
  const ErrorKind kind =
      job.policy.repeatable
          ? (isLate ? ErrorKind::DeadlineExceededRepeatable : ErrorKind::OutcomeUnknownRepeatable)
          : (isLate ? ErrorKind::DeadlineExceeded : ErrorKind::OutcomeUnknown);
  HttpResponse response =
      reject(kind, "the request may have run (" + lastDetail + ")", job.id.value);
  if (job.policy.repeatable) response.set(http::field::retry_after, "0.2");
  co_return response;
}

void Relay::recordDecision(const RelayRequest& job, const std::string& tries, const char* outcome) {
  const auto took =
      std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - job.startedAt);
  decisions_.add(job.id.value, "{\"decision\":\"request\",\"request\":\"" + job.id.value +
                                   "\",\"tenant\":\"" + job.tenant.value + "\",\"outcome\":\"" +
                                   outcome + "\",\"took_ms\":" + std::to_string(took.count()) +
                                   ",\"tries\":\"" + tries + "\"}");
}

}  // namespace quayrill
