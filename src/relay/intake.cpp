// Checks a request before it is placed: route, key and time limit.
#include <algorithm>

#include "base/digest.h"
#include "base/numbers.h"
#include "relay/relay.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
// If the configuration has not been confirmed for this long, it may lack a route or a key that
// exists by now. Such requests are then rejected as retryable instead of being denied.
constexpr Duration kMaxAgeToDeny = 1s;
constexpr Duration kFinalEventGrace =
    150ms;  // beyond the deadline, for what servers have sent by then
constexpr Duration kDefaultBodyTimeout = 30s;  // if the route is not known yet
constexpr std::uint64_t kMaxTimeoutMs = 600000;
constexpr std::uint64_t kMaxToldTokens = 100'000'000;
constexpr std::uint64_t kEventsPerToken = 4, kEventsWithoutToken = 256;

std::string headerOf(const http::request_header<>& request, const std::string& name) {
  const auto field = request.find(name);
  return field == request.end() ? std::string{} : std::string(field->value());
}

// The header has the tokens of the prompt and the most tokens of the answer, joined by a comma. An
// event holds a token or more; a few hold none.
std::optional<std::uint64_t> maxEventsOf(const std::string& tokenCount) {
  const auto comma = tokenCount.rfind(',');
  if (comma == std::string::npos) return std::nullopt;
  const auto tokens = wholeNumber(tokenCount.substr(comma + 1));
  if (!tokens) return std::nullopt;
  return std::min(*tokens, kMaxToldTokens) * kEventsPerToken + kEventsWithoutToken;
}
}  // namespace

Instant streamDeadline(const RelayRequest& job) { return job.deadline + kFinalEventGrace; }

// The timeout of the route, or that of the caller if it is shorter.
Duration Relay::timeoutFor(const http::request_header<>& head, const RoutePolicy& policy) const {
  const Duration timeout = policy.timeout;
  const auto requested = wholeNumber(headerOf(head, headerNames_.timeoutMs));
  if (!requested) return timeout;
  return std::min<Duration>(timeout,
                            std::chrono::milliseconds(std::min(*requested, kMaxTimeoutMs)));
}

// The time by which the body must have arrived: after the request's deadline it is of no use.
Instant Relay::bodyDeadline(const http::request_header<>& head, Instant startedAt) const {
  const auto configuration = view_->configuration;
  const std::string target(head.target());
  const Route* route = configuration ? findRoute(*configuration, headerOf(head, "Host"),
                                                 target.substr(0, target.find('?')))
                                     : nullptr;
  if (!route) return startedAt + kDefaultBodyTimeout;
  return startedAt +
         std::min(kDefaultBodyTimeout, timeoutFor(head, configuration->policies.at(route->policy)));
}

// Builds an error response.
HttpResponse Relay::reject(ErrorKind kind, const std::string& why, const std::string& id) {
  HttpResponse response = errorResponse({kind, why});
  if (kind == ErrorKind::Rejected) {
    ++counters_.rejected;
    // Randomised, so that callers rejected at the same time do not retry at the same time.
    const auto tenths = 2 + random_() % 4;
    response.set(http::field::retry_after, "0." + std::to_string(tenths));
  }
  if (!id.empty()) response.set(headerNames_.requestId, id);
  return response;
}

// Fills in `job`, or returns the error response if the request is not admitted.
std::optional<HttpResponse> Relay::intake(const HttpRequest& request, RelayRequest* job) {
  const std::string id = headerOf(request, headerNames_.requestId);
  job->id = RequestId{id};
  if (isRejecting_) return reject(ErrorKind::Rejected, "this daemon is leaving", id);
  const auto& currentView = *view_;
  const Instant now = BootClock::now();
  const Duration confirmedAgo = now - currentView.confirmedAt;
  if (!isConfigurationUsable(now)) {
    ++counters_.unconfirmed;
    return reject(ErrorKind::Rejected, "this daemon can't confirm the configuration now", id);
  }
  const auto deny = [&](ErrorKind kind, const std::string& why) {
    ++counters_.badInput;
    if (confirmedAgo >= kMaxAgeToDeny)
      return reject(ErrorKind::Rejected, "the configuration is not confirmed: " + why, id);
    return reject(kind, why, id);
  };
  const Configuration& configuration = *currentView.configuration;
  const std::string path = pathOf(request);
  const Route* route = findRoute(configuration, headerOf(request, "Host"), path);
  if (!route) return deny(ErrorKind::UnknownRoute, "no route for '" + path + "'");
  job->needsKey = !route->isPublic && !configuration.tenants.empty();
  std::optional<unsigned> tenantPriority;
  if (job->needsKey) {
    job->keyDigest = keyDigest(headerOf(request, headerNames_.key));
    const auto owner = configuration.tenantByKeyDigest.find(job->keyDigest);
    if (owner == configuration.tenantByKeyDigest.end())
      return deny(ErrorKind::UnknownKey, "the key is of no tenant");
    job->tenant = owner->second;
    tenantPriority = configuration.tenants.at(job->tenant).priority;
  }
  job->policy = configuration.policies.at(route->policy);
  job->split = route->split;
  job->priority = tenantPriority.value_or(job->policy.priority);
  job->deadline = job->startedAt + timeoutFor(request, job->policy);
  job->model = ModelName{headerOf(request, headerNames_.model)};
  if (auto prefix = parsePrefix(headerOf(request, headerNames_.prefix)); prefix.ok())
    job->prefix = std::move(*prefix);
  job->maxEvents = maxEventsOf(headerOf(request, headerNames_.tokenCount));
  job->resumeAfter = wholeNumber(headerOf(request, headerNames_.lastEventId));
  return std::nullopt;
}

}  // namespace quayrill
