// Handles a request from admission to the last piece of its answer: attempts, fetches and outcome.

#include "base/json_text.h"
#include "base/scope_exit.h"
#include "net/log.h"
#include "proxy/proxy.h"

namespace quayrill {

using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {
constexpr Duration kFetchTimeout = 300ms;         // beyond this, prefill is likely faster
constexpr std::size_t kMinFetchGainTokens = 256;  // fewer are not worth the calls
constexpr Duration kMaxStartDelay = 2s;           // allowed from sending to the first piece

// The first attempt of a repeatable request leaves half of the remaining time for another one, if
// the retry budget may allow it.
Instant firstPieceDeadlineOf(const RoutePolicy& policy, const AdmissionResult& entered,
                             std::size_t attempt, Instant deadline) {
  if (!policy.repeatable || policy.tries < 2 || attempt > 0 || !entered.canRetry) return deadline;
  const Instant now = BootClock::now();
  return now + (deadline - now) / 2;
}

Json candidatesJson(const std::vector<Candidate>& candidates) {
  Json rows = Json::array();
  for (const Candidate& candidate : candidates) {
    rows.push_back({{"server", candidate.server.value},
                    {"matched_tokens", candidate.matchedTokens},
                    {"burden", candidate.load},
                    {"capped", candidate.capped}});
  }
  return rows;
}
}  // namespace

awaitable<std::optional<HttpResponse>> Proxy::serve(Connection& connection, HttpRequest& request) {
  ++counters_.requests;
  Job job;
  job.receivedAt = BootClock::now();
  job.id = RequestId{idPrefix_ + std::to_string(++idCounter_)};
  const auto currentView = view();
  if (!isFresh(*currentView, job.receivedAt)) {
    ++counters_.unconfirmed;
    co_return reject(ErrorKind::Rejected, "this daemon can't confirm the configuration now",
                     job.id);
  }
  if (const auto error = parseRequest(request, *currentView, &job)) {
    ++counters_.badInput;
    HttpResponse response = errorResponse(*error);
    response.set("Quayrill-Request-Id", job.id.value);
    co_return response;
  }
  const Tenant& tenant = currentView->configuration->tenants.at(job.tenant);
  const std::function<AdmissionResult(Admission&)> enter =
      [name = job.tenant, policy = job.policyName, tenantLimit = tenant.concurrency,
       policyLimit = job.policy.concurrency, model = job.policy.model](Admission& admission) {
        const Instant now = BootClock::now();
        AdmissionResult entered = admission.enter(name, tenantLimit, policy, policyLimit, now);
        entered.canRetry = admission.canTakeRetry(model, now);
        return entered;
      };
  const auto entered = co_await admission_.ask<AdmissionResult>(enter);
  Trace trace;
  std::optional<HttpResponse> response;
  if (!entered || !entered->isAdmitted) {
    trace.outcome = "turned away at admission";
    response = reject(ErrorKind::Overloaded, "the tenant or the policy is at its limit", job.id);
  } else {
    ScopeExit leaveAdmission([this, name = job.tenant, policy = job.policyName] {
      admission_.mustPost([=](Admission& admission) { admission.leave(name, policy); });
    });
    job.entered = *entered;
    response = co_await run(connection, job, &trace);
  }
  record(job, trace);
  co_return response;
}

awaitable<std::optional<HttpResponse>> Proxy::run(Connection& connection, const Job& job,
                                                  Trace* trace) {
  std::set<ServerName> tried;
  // mayHaveRun is never reset. While it is false, reporting the request as rejected is correct.
  bool mayHaveRun = false, isLate = false, wasSent = false;
  std::string lastDetail = "no server is free";
  for (std::size_t attempt = 0; attempt < std::max<std::size_t>(1, job.policy.tries); ++attempt) {
    if (BootClock::now() >= job.deadline) {
      isLate = true;
      break;
    }
    const auto currentView = view();
    // The tenant may have become isolated since the request was admitted.
    CacheSalt salt;
    if (!resolveCacheSalt(*currentView->configuration, job.tenant, job.requestedSalt, &salt)) break;
    PlacementRequest placementRequest{job.policy.model, job.tenant, salt,
                                      job.prefix,       tried,      job.entered.isOverShare};
    // A request sent now may queue at the server before it starts.
    placementRequest.isAllowed =
        [currentView, bound = Duration(settings_.rolloutTimeLimit)](const ServerState& server) {
          return currentView->usableUntil(server, bound) > BootClock::now() + kMaxStartDelay;
        };
    const std::function<std::optional<PlacementResult>(Placement&)> place =
        [placementRequest](Placement& placement) {
          return placement.place(placementRequest, BootClock::now());
        };
    const auto placeResult = co_await placement_.ask<std::optional<PlacementResult>>(place);
    if (!placeResult || !*placeResult) break;
    const PlacementResult placed = **placeResult;
    tried.insert(placed.chosenServer.name);
    counters_.promptTokens += placed.promptTokens;
    counters_.matchedTokens += placed.matchedTokens;
    bool ran = false;
    ScopeExit releaseTicket([this, &ran, ticket = placed.ticket] {
      placement_.mustPost([ticket, didRun = ran](Placement& placement) {
        placement.release(ticket, didRun, BootClock::now());
      });
    });
    // Only a further send counts as an extra attempt. If nothing was sent yet, this is the first
    // one.
    if (wasSent) {
      const std::function<bool(Admission&)> takeBudget =
          [model = job.policy.model](Admission& admission) {
            return admission.takeRetry(model, BootClock::now());
          };
      const auto granted = co_await admission_.ask<bool>(takeBudget);
      if (!granted || !*granted) break;
      ++counters_.retries;
    }
    const FetchResult fetched = co_await fetch(job, placed);

    const Instant firstPieceDeadline =
        std::min(firstPieceDeadlineOf(job.policy, job.entered, attempt, job.deadline),
                 view()->usableUntil(placed.chosenServer, settings_.rolloutTimeLimit));
    // mayRun() checks right before the request is sent that it goes under this view's cache scope.
    const std::function<Instant()> scopeDeadline = [this, sentUnder = currentView->configuration,
                                                    tenant = job.tenant] {
      const Instant until = view()->scopeUsableUntil(*sentUnder, tenant, settings_.applyLimit);
      return until == Instant::max() ? until : until - kStartDeadlineMargin;
    };
    Delivery delivery{job.id,   placed.chosenServer, placed.salt,       formatPrefix(job.prefix),
                      job.body, job.deadline,        firstPieceDeadline};
    delivery.startDeadline = scopeDeadline;
    const std::function<bool()> mayStart = [this, &job, &placed, wasSent] {
      if (!mayRun(job, placed)) return false;
      if (!wasSent)
        admission_.mustPost([model = job.policy.model](Admission& admission) {
          admission.countRequest(model, BootClock::now());
        });
      return true;
    };
    DeliveryResult result{DeliveryOutcome::NeverSent,
                          "a fetch left cache of doubtful weights there"};
    if (fetched.safe) result = co_await deliver(std::move(delivery), connection, mayStart);
    wasSent = wasSent || result.outcome != DeliveryOutcome::NeverSent;
    ran = result.outcome != DeliveryOutcome::NeverSent && result.outcome != DeliveryOutcome::NotRun;
    trace->tries.push_back(
        {{"server", placed.chosenServer.name.value},
         {"weights", placed.chosenServer.weights.value},
         {"reason", placed.reason},
         {"matched_tokens", placed.matchedTokens},
         {"prompt_tokens", placed.promptTokens},
         {"fetch", fetched.text},
         {"end", deliveryOutcomeName(result.outcome)},
         {"detail", result.detail},
         {"pieces", result.pieces},
         {"first_piece_us",
          std::chrono::duration_cast<std::chrono::microseconds>(result.firstPieceAfter).count()},
         {"candidates", candidatesJson(placed.candidates)}});
    trace->outcome = deliveryOutcomeName(result.outcome);
    lastDetail = result.detail;
    switch (result.outcome) {
      case DeliveryOutcome::Done:
        ++counters_.completed;
        co_return std::nullopt;
      case DeliveryOutcome::Truncated:
        ++counters_.truncated;
        co_return std::nullopt;
      case DeliveryOutcome::CallerGone:
        ++counters_.callerDisconnected;
        co_return std::nullopt;
      case DeliveryOutcome::NeverSent:
      case DeliveryOutcome::NotRun:
        break;
      case DeliveryOutcome::DeadlineExceeded:
        mayHaveRun = true;
        isLate = BootClock::now() >= job.deadline;
        break;
      case DeliveryOutcome::StartRevoked:
        // It may go to the same server under the scope that is in force now.
        ++counters_.startsRevoked;
        tried.erase(placed.chosenServer.name);
        mayHaveRun = true;
        break;
      case DeliveryOutcome::Unknown:
        mayHaveRun = true;
        break;
    }
    if (isLate || (mayHaveRun && !job.policy.repeatable)) break;
  }
  if (mayHaveRun) {
    trace->outcome = "unknown";
    const ErrorKind kind =
        job.policy.repeatable
            ? (isLate ? ErrorKind::DeadlineExceededRepeatable : ErrorKind::OutcomeUnknownRepeatable)
            : (isLate ? ErrorKind::DeadlineExceeded : ErrorKind::OutcomeUnknown);
    co_return respondUnknown(kind, "the request may have run (" + lastDetail + ")", job);
  }
  trace->outcome = "turned away";
  co_return reject(ErrorKind::Rejected, isLate ? "the due passed before it ran" : lastDetail,
                   job.id);
}

// Makes the chosen server pull the missing part of the prefix if that is cheaper than prefill.
// Neither side of a pull checks the weights, so the source is checked before and after it. If a
// check fails, the pulled part is dropped.
awaitable<Proxy::FetchResult> Proxy::fetch(const Job& job, const PlacementResult& placed) {
  const ServerState& server = placed.chosenServer;
  const Address chosenAddress{server.name.value};
  Address source;
  std::string from = "none";
  if (placed.source) {
    source = Address{placed.source->server.value};
    from = "peer " + source.value;
  } else if (placed.isFetchWorthwhile && !settings_.storeAddress.value.empty()) {
    source = settings_.storeAddress;
    from = "store";
  }
  // No fetches during a rollout of the model's weights: the source may switch at any moment.
  const auto currentView = view();
  const auto weightsUpdate = currentView->configuration->weights.find(job.policy.model);
  const bool isWeightsSteady = weightsUpdate != currentView->configuration->weights.end() &&
                               weightsUpdate->second == server.weights;
  if (!settings_.fetch || !isWeightsSteady || source.value.empty() ||
      job.deadline - BootClock::now() < 2 * kFetchTimeout)
    co_return FetchResult{};
  // How many tokens the source holds under the request's weights; 0 if that is uncertain. A store
  // keeps blocks of several weights side by side, so only the part that it confirms is pulled.
  const auto heldBySource = [&]() -> awaitable<std::size_t> {
    if (placed.source) {
      const auto state = co_await readServer(source, kFetchTimeout);
      const bool isUnchanged = state.ok() && state->healthy && state->weights == server.weights &&
                               state->identity == placed.source->identity;
      co_return isUnchanged ? placed.source->matchedTokens : 0;
    }
    const auto storedTokens =
        co_await readStoredPrefixTokens(source, settings_.callerAddress, job.policy.model,
                                        placed.salt, server.weights, job.prefix, kFetchTimeout);
    co_return storedTokens.ok() ? *storedTokens : 0;
  };
  const std::size_t before = co_await heldBySource();
  if (before < placed.matchedTokens + kMinFetchGainTokens)
    co_return FetchResult{from + ": not there under these weights", true};
  ++counters_.fetches;
  const auto pulled = co_await pullPrefix(chosenAddress, source, job.policy.model, placed.salt,
                                          server.weights, job.prefix, before, kFetchTimeout);
  const std::size_t after = co_await heldBySource();
  const auto target = co_await readServer(chosenAddress, kFetchTimeout);
  const bool isTargetUnchanged =
      target.ok() && target->identity == server.identity && target->weights == server.weights;
  if (pulled.ok() && after >= before && isTargetUnchanged)
    co_return FetchResult{from + ": fetched", true};
  ++counters_.fetchErrors;
  const auto dropped = co_await dropPrefix(chosenAddress, placed.salt, job.prefix, kFetchTimeout);
  // A pull that failed from this side may still complete on the server until its deadline.
  const bool safe = pulled.ok() && dropped.ok();
  co_return FetchResult{from + (safe ? ": dropped, a check failed" : ": failed"), safe};
}

void Proxy::record(const Job& job, const Trace& trace) {
  const Json row{{"decision", "request"},
                 {"request", job.id.value},
                 {"tenant", job.tenant.value},
                 {"contract", job.policyName.value},
                 {"repeatable", job.policy.repeatable},
                 {"outcome", trace.outcome},
                 {"took_us", std::chrono::duration_cast<std::chrono::microseconds>(
                                 BootClock::now() - job.receivedAt)
                                 .count()},
                 {"tries", trace.tries}};
  decisions_.add(job.id.value, printJson(row));
}

}  // namespace quayrill
