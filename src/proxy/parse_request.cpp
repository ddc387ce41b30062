// Parses, authenticates and validates a caller's request.
#include <algorithm>

#include "base/digest.h"
#include "proxy/proxy.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
std::string headerOf(const HttpRequest& request, const char* name) {
  const auto field = request.find(name);
  return field == request.end() ? std::string{} : std::string(field->value());
}

bool isSaltLetter(unsigned char letter) {
  return std::isalnum(letter) || letter == '.' || letter == '_' || letter == '-' || letter == ':';
}
}  // namespace

std::optional<Error> Proxy::parseRequest(const HttpRequest& request, const ProxyView& currentView,
                                         Job* job) {
  const std::string path = pathOf(request);
  const std::string authorization = headerOf(request, "Authorization");
  if (authorization.rfind("Bearer ", 0) != 0) return Error{ErrorKind::UnknownKey, "no bearer key"};
  job->digest = keyDigest(authorization.substr(7));
  const auto owner = currentView.configuration->tenantByKeyDigest.find(job->digest);
  if (owner == currentView.configuration->tenantByKeyDigest.end())
    return Error{ErrorKind::UnknownKey, "the key is of no tenant"};
  job->tenant = owner->second;
  const auto route = currentView.configuration->policyByPath.find(
      path.substr(std::min<std::size_t>(4, path.size())));
  if (path.rfind("/v1/", 0) != 0 || route == currentView.configuration->policyByPath.end())
    return Error{ErrorKind::UnknownRoute, "no way '" + path + "'"};
  if (request.method() != http::verb::post)
    return Error{ErrorKind::MalformedRequest, "ways take POST"};
  job->policyName = route->second;
  job->policy = currentView.configuration->policies.at(route->second);
  if (request.body().size() > job->policy.bodyLimit)
    return Error{ErrorKind::BodyTooLarge, "the body is over the policy's limit"};
  job->requestedSalt = headerOf(request, wire::kSalt);
  const std::string& requested = job->requestedSalt;
  if (requested.size() > 64 || !std::all_of(requested.begin(), requested.end(), isSaltLetter))
    return Error{ErrorKind::MalformedRequest,
                 "Quayrill-Cache-Salt: at most 64 of A-Z a-z 0-9 . _ - :"};
  CacheSalt salt;
  if (!resolveCacheSalt(*currentView.configuration, job->tenant, requested, &salt))
    return Error{ErrorKind::ForbiddenSalt,
                 "the salts that begin with tenant: or shared: are reserved, choose another"};
  auto prefix = parsePrefix(headerOf(request, wire::kPrefix));
  if (!prefix.ok())
    return Error{ErrorKind::MalformedRequest, std::string(prefix.status().message())};
  job->prefix = std::move(*prefix);
  if (!nlohmann::json::accept(request.body()))
    return Error{ErrorKind::MalformedRequest, "the body is not JSON"};
  job->body = request.body();
  job->deadline = job->receivedAt + job->policy.timeout;
  if (const std::string limitMs = headerOf(request, "Quayrill-Due-Ms"); !limitMs.empty()) {
    if (limitMs.size() > 6 || limitMs.find_first_not_of("0123456789") != std::string::npos)
      return Error{ErrorKind::MalformedRequest, "Quayrill-Due-Ms: whole milliseconds"};
    job->deadline = std::min<Instant>(
        job->deadline, job->receivedAt + std::chrono::milliseconds(std::stoul(limitMs)));
  }
  return std::nullopt;
}

}  // namespace quayrill
