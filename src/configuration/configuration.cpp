#include "configuration/configuration.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "base/digest.h"
#include "base/json_text.h"

namespace quayrill {

using Json = nlohmann::json;

namespace {
// Callers can't request salts with these prefixes: scopes are only made here.
constexpr std::string_view kIsolatedScopePrefix = "tenant:";
constexpr std::string_view kSharedScopePrefix = "shared:";
constexpr std::size_t kScopeDigestDigits = 16;

// A tenant's name behind its length, which keeps names apart that contain each other's
// separators, or that differ by what a header drops at its ends.
std::string withLength(const TenantName& tenant) {
  return std::to_string(tenant.value.size()) + ":" + tenant.value;
}

bool isReserved(const std::string& requestedSalt) {
  return requestedSalt.starts_with(kIsolatedScopePrefix) ||
         requestedSalt.starts_with(kSharedScopePrefix);
}
}  // namespace

std::optional<RouteError> firstRouteError(const Configuration& configuration) {
  std::map<std::pair<std::string, std::string>, std::size_t> seen;
  for (std::size_t i = 0; i < configuration.routes.size(); ++i) {
    const Route& route = configuration.routes[i];
    std::uint64_t total = 0;
    for (std::size_t share = 0; share < route.split.size(); ++share) {
      total += route.split[share].weight;
      if (!configuration.services.contains(route.split[share].service))
        return RouteError{RouteError::Kind::UnknownService, i, share};
    }
    if (total == 0) return RouteError{RouteError::Kind::NoWeight, i};
    if (!configuration.policies.contains(route.policy))
      return RouteError{RouteError::Kind::UnknownPolicy, i};
    const auto [first, isNew] = seen.try_emplace({route.host, route.prefix}, i);
    if (!isNew) return RouteError{RouteError::Kind::SameHostAndPrefix, i, 0, first->second};
  }
  return std::nullopt;
}

std::optional<TenantName> addKeyDigest(Configuration* configuration, const TenantName& tenant,
                                       const std::string& digest) {
  const auto [owner, isNew] = configuration->tenantByKeyDigest.try_emplace(digest, tenant);
  if (!isNew && owner->second != tenant) return owner->second;
  configuration->tenants[tenant].keyDigests.insert(digest);
  return std::nullopt;
}

absl::StatusOr<std::string> patchConfiguration(const std::string& body, const std::string& patch) {
  if (const char* error = documentShapeError(patch))
    return absl::InvalidArgumentError("/: " + std::string(error));
  Json document = body.empty() ? Json::object() : parseJson(body);
  const Json change = parseJson(patch);
  if (document.is_discarded() || !change.is_object())
    return absl::InvalidArgumentError("/: the patch is no JSON object: send a merge patch");
  document.merge_patch(change);
  return document.dump();
}

void sortRoutes(Configuration* configuration) {
  std::stable_sort(configuration->routes.begin(), configuration->routes.end(),
                   [](const Route& a, const Route& b) {
                     if (a.host != b.host) return a.host < b.host;
                     return a.prefix.size() > b.prefix.size();
                   });
}

const Route* findRoute(const Configuration& configuration, std::string_view host,
                       std::string_view path) {
  std::string name(host.substr(0, host.rfind(':')));
  for (char& letter : name) letter = static_cast<char>(std::tolower(letter));
  auto row = std::lower_bound(
      configuration.routes.begin(), configuration.routes.end(), name,
      [](const Route& route, const std::string& wanted) { return route.host < wanted; });
  for (; row != configuration.routes.end() && row->host == name; ++row) {
    if (path.substr(0, row->prefix.size()) == row->prefix) return &*row;
  }
  return nullptr;
}

void deriveSharedScope(Configuration* configuration) {
  std::string isolated;
  for (const auto& [name, tenant] : configuration->tenants) {
    if (tenant.isolated) isolated += withLength(name);
  }
  configuration->sharedScope = {};
  if (isolated.empty()) return;
  const std::string digest = keyDigest(isolated);
  configuration->sharedScope.value =
      std::string(kSharedScopePrefix) + digest.substr(digest.find(':') + 1, kScopeDigestDigits);
}

bool isIsolated(const Configuration& configuration, const TenantName& tenant) {
  const auto row = configuration.tenants.find(tenant);
  return row != configuration.tenants.end() && row->second.isolated;
}

CacheSalt cacheScope(const Configuration& configuration, const TenantName& tenant) {
  if (!isIsolated(configuration, tenant)) return configuration.sharedScope;
  return CacheSalt{std::string(kIsolatedScopePrefix) + withLength(tenant)};
}

bool resolveCacheSalt(const Configuration& configuration, const TenantName& tenant,
                      const std::string& requested, CacheSalt* salt) {
  if (!configuration.tenants.contains(tenant) || isReserved(requested)) return false;
  *salt = cacheScope(configuration, tenant);
  if (!salt->value.empty() && !requested.empty()) salt->value += ':';
  salt->value += requested;
  return true;
}

}  // namespace quayrill
