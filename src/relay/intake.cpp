// The relay's intake: which route, whose key, what the request may take.
#include <algorithm>
#include <charconv>

#include "base/digest.h"
#include "relay/relay.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
// A daemon that could not confirm its configuration for this long may lack a route or a key that is
// there: it turns such requests away instead of denying them.
constexpr Span kDenyLimit = 1s;
constexpr Span kLastWords = 150ms;  // ours: beyond the deadline, for what servers sent until then
constexpr Span kBodyDue = 30s;      // ours: where no route is known yet
constexpr std::uint64_t kLongestDueMs = 600000;

std::string headerOf(const http::request_header<>& request, const std::string& name) {
  const auto field = request.find(name);
  return field == request.end() ? std::string{} : std::string(field->value());
}

std::optional<std::uint64_t> numberOf(const std::string& text) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return number;
}
}  // namespace

Instant streamEnd(const RelayRequest& job) { return job.deadline + kLastWords; }

// The route's time, or the caller's own where that is shorter.
Span Relay::dueOf(const http::request_header<>& head, const RoutePolicy& policy) const {
  const Span due = policy.due;
  const auto named = numberOf(headerOf(head, names_.deadlineMs));
  if (!named) return due;
  return std::min<Span>(due, std::chrono::milliseconds(std::min(*named, kLongestDueMs)));
}

// A body that is not in by then is not worth waiting for.
Instant Relay::bodyDeadline(const http::request_header<>& head, Instant begun) const {
  const auto configuration = view_->configuration;
  const std::string target(head.target());
  const Route* route = configuration ? findRoute(*configuration, headerOf(head, "Host"),
                                                 target.substr(0, target.find('?')))
                                     : nullptr;
  if (!route) return begun + kBodyDue;
  return begun + std::min(kBodyDue, dueOf(head, configuration->policies.at(route->policy)));
}

HttpResponse Relay::refuse(ErrorKind kind, const std::string& why, const std::string& id) {
  HttpResponse response = errorResponse({kind, why});
  if (kind == ErrorKind::TurnedAway) {
    ++counters_.turnedAway;
    // Spread, so that those refused together don't come back together.
    const auto tenths = 2 + random_() % 4;
    response.set(http::field::retry_after, "0." + std::to_string(tenths));
  }
  if (!id.empty()) response.set(names_.requestId, id);
  return response;
}

std::optional<HttpResponse> Relay::intake(const HttpRequest& request, RelayRequest* job) {
  const std::string id = headerOf(request, names_.requestId);
  job->id = RequestId{id};
  if (refusing_) return refuse(ErrorKind::TurnedAway, "this daemon is leaving", id);
  const auto& seen = *view_;
  const Span unconfirmed = BootClock::now() - seen.confirmedAt;
  if (!seen.configuration || unconfirmed >= settings_.freshLimit) {
    ++counters_.unconfirmed;
    return refuse(ErrorKind::TurnedAway, "this daemon can't confirm the configuration now", id);
  }
  const auto deny = [&](ErrorKind kind, const std::string& why) {
    ++counters_.badInput;
    if (unconfirmed >= kDenyLimit)
      return refuse(ErrorKind::TurnedAway, "the configuration is not confirmed: " + why, id);
    return refuse(kind, why, id);
  };
  const Configuration& configuration = *seen.configuration;
  const std::string path = pathOf(request);
  const Route* route = findRoute(configuration, headerOf(request, "Host"), path);
  if (!route) return deny(ErrorKind::UnknownWay, "no route for '" + path + "'");
  job->needsKey = !route->isPublic && !configuration.tenants.empty();
  std::optional<unsigned> tenantPriority;
  if (job->needsKey) {
    job->keyDigest = keyDigest(headerOf(request, names_.key));
    const auto owner = configuration.tenantOfDigest.find(job->keyDigest);
    if (owner == configuration.tenantOfDigest.end())
      return deny(ErrorKind::UnknownKey, "the key is of no tenant");
    job->tenant = owner->second;
    const Tenant& tenant = configuration.tenants.at(job->tenant);
    tenantPriority = tenant.priority;
    if (tenant.isolated) job->wall = CacheSalt{job->tenant.value};
  }
  job->policy = configuration.policies.at(route->policy);
  job->split = route->split;
  job->priority = tenantPriority.value_or(job->policy.priority);
  job->deadline = job->begun + dueOf(request, job->policy);
  job->model = ModelName{headerOf(request, names_.model)};
  if (auto prefix = parsePrefix(headerOf(request, names_.prefix)); prefix.ok())
    job->prefix = std::move(*prefix);
  job->resumesAfter = numberOf(headerOf(request, names_.lastEventId)).value_or(0);
  return std::nullopt;
}

}  // namespace quayrill
