#include "configuration/configuration.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace quayrill {

using Json = nlohmann::json;

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
  Json document = body.empty() ? Json::object() : Json::parse(body, nullptr, false);
  const Json change = Json::parse(patch, nullptr, false);
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

bool resolveCacheSalt(const Configuration& configuration, const TenantName& tenant,
                      const std::string& requested, CacheSalt* salt) {
  const auto row = configuration.tenants.find(tenant);
  if (row == configuration.tenants.end()) return false;
  if (row->second.isolated) {
    // The prefix "tenant:" is reserved for the salts of isolated tenants, which are only made here.
    *salt = CacheSalt{"tenant:" + tenant.value + (requested.empty() ? "" : ":" + requested)};
    return requested.rfind("tenant:", 0) != 0;
  }
  *salt = CacheSalt{requested};
  return requested.rfind("tenant:", 0) != 0;
}

}  // namespace quayrill
