#pragma once
// The configuration of a fleet: tenants with their keys, routes and their policies, services,
// stores and weight versions. It is a plain value; where it is stored is none of its concern.
#include <absl/status/statusor.h>

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/types.h"

namespace quayrill {

// A customer of the fleet. An isolated tenant has a cache scope of its own, see cacheScope().
struct Tenant {
  bool isolated = false;
  std::optional<unsigned> priority{};  // overrides the policy's; 0 is the most urgent
  std::size_t concurrency = 64;        // requests at a time
  std::set<std::string> keyDigests;    // of its API keys, see keyDigest()
};

// How the requests of a route are handled.
struct RoutePolicy {
  ModelName model;
  // False: once a byte of a request may have reached a server, it is never sent a second time.
  bool repeatable = false;
  std::chrono::milliseconds timeout{10000};
  // Attempts in total. A policy that is not repeatable uses further ones only where nothing ran.
  std::size_t tries = 1;
  std::string promptClass = "medium";  // long, medium or short
  std::size_t concurrency = 256;       // requests at a time
  std::size_t bodyLimit = 1 << 20;
  // A streamed answer is a sequence of events with increasing ids. A resumable stream may continue
  // at another server after the last event that was forwarded; it is always repeatable.
  bool isStream = false;
  bool isResumable = false;
  unsigned priority = 1;                          // 0 is the most urgent
  std::chrono::milliseconds firstEventTarget{0};  // latency target of the first event; 0: none
  std::chrono::milliseconds eventGapTarget{0};    // longest gap between two events; 0: no target
};

// A group of equal model servers. Numbers are 0 where they are unknown.
struct Service {
  std::string healthPath;
  std::size_t maxConnections = 0;  // to one server, from all callers together
  std::uint32_t slots = 1;         // requests that one server runs at a time
  std::uint64_t cacheTokens = 0;   // of one server
  std::uint64_t tokenBytes = 0;    // of cache for one token
  double linkMbps = 0;
  std::size_t eventReaders = 0;  // concurrent calls for cache events that one server accepts
  std::vector<ModelName> models;
};

// A cache store for prompt parts, from which servers fetch. It serves no requests itself.
struct PartStore {
  Address address;
  std::string zone;
  std::uint64_t cacheTokens = 0;
  double linkMbps = 0;
  std::size_t eventReaders = 0;
};

// One service's share of a route's traffic.
struct SplitShare {
  ServiceName service;
  std::uint32_t weight = 1;
};

// Maps requests by host and path prefix to services and a policy. In a valid configuration the
// weights of a split add up to more than 0, and no two routes have the same host and prefix.
struct Route {
  std::string name;
  std::string host;    // lower case, no port
  std::string prefix;  // begins and ends with a slash
  PolicyName policy;
  std::vector<SplitShare> split;
  bool isPublic = false;  // accepts requests without a key
};

// Limits for the connections and requests of callers.
struct CallerLimits {
  std::size_t headerBytes = 16 << 10;
  std::size_t bodyBytes = 16 << 20;
  std::chrono::milliseconds headerTimeout{10000};  // to send all headers of a request
  std::chrono::milliseconds idleTimeout{60000};    // of a connection between requests
};

// The whole configuration. A value that parseConfiguration returns satisfies all rules.
struct Configuration {
  std::map<TenantName, Tenant> tenants;
  std::map<PolicyName, RoutePolicy> policies;
  std::map<std::string, PolicyName> policyByPath;  // by the path below /v1/
  std::map<ModelName, WeightsVersion> weights;
  std::map<std::string, TenantName> tenantByKeyDigest;  // derived from tenants
  std::vector<Route> routes;  // sorted by host, then by descending prefix length
  std::map<ServiceName, Service> services;
  std::map<ServiceName, PartStore> stores;
  CallerLimits callerLimits;
  // The cache scope of the tenants that are not isolated; derived from tenants.
  CacheSalt sharedScope;
};

// The first violation among the routes, in their order. The parser of the document, which knows the
// names of its fields, turns it into a message.
struct RouteError {
  enum class Kind { UnknownService, UnknownPolicy, NoWeight, SameHostAndPrefix };
  Kind kind{};
  std::size_t routeIndex = 0;  // in `routes`
  std::size_t shareIndex = 0;  // in the split of that route
  std::size_t otherIndex = 0;  // the conflicting route
};
// nullopt: all routes are valid.
std::optional<RouteError> firstRouteError(const Configuration& configuration);

// Adds a key to a tenant. If the key belongs to another tenant already, nothing changes and that
// tenant is returned.
std::optional<TenantName> addKeyDigest(Configuration* configuration, const TenantName& tenant,
                                       const std::string& digest);

// Sorts the routes as findRoute needs them. Call it after the last one was added.
void sortRoutes(Configuration* configuration);
// The route of `host` with the longest prefix of `path`; nullptr if there is none. The case of the
// host and a port after it are ignored.
const Route* findRoute(const Configuration& configuration, std::string_view host,
                       std::string_view path);

// Parses a configuration document and checks it against the schema and all rules. An error message
// starts with the path of the offending field.
absl::StatusOr<Configuration> parseConfiguration(const std::string& body);

// Applies an RFC 7386 merge patch to a configuration document. The result is not validated.
absl::StatusOr<std::string> patchConfiguration(const std::string& body, const std::string& patch);

// Derives the shared cache scope from the tenants. Call it after the last one was added.
void deriveSharedScope(Configuration* configuration);
// Whether the configuration has this tenant as an isolated one.
bool isIsolated(const Configuration& configuration, const TenantName& tenant);
// The scope of a tenant's cache, which is part of every salt of its requests: what is cached in one
// scope is never used in another. An isolated tenant has a scope of its own. All others share one,
// and each set of isolated tenants gives another shared scope: what a tenant cached before it
// became isolated stays behind in a scope that is in use only while it is not isolated.
CacheSalt cacheScope(const Configuration& configuration, const TenantName& tenant);

// The salt under which a tenant's cache is kept: its scope and the requested salt. False: the
// tenant may not use the requested salt, or does not exist.
bool resolveCacheSalt(const Configuration& configuration, const TenantName& tenant,
                      const std::string& requested, CacheSalt* salt);

}  // namespace quayrill
