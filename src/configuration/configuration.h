#pragma once
// The spec: tenants with their keys, policies, ways and weight versions. A value with its own
// rules; nothing here knows where it is kept.
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

// An isolated tenant's salt is its own alone, and no other tenant may name it.
struct Tenant {
  bool isolated = false;
  std::optional<unsigned> priority{};  // goes before the policy's; 0 is the most urgent
  std::size_t concurrency = 64;
  std::set<std::string> keyDigests;
};

// repeatable == false: once a byte may have reached a server, no second send, ever.
struct RoutePolicy {
  ModelName model;
  bool repeatable = false;
  std::chrono::milliseconds timeout{10000};
  std::size_t tries = 1;  // sends in all; more than one only helps where nothing ran
  std::string promptClass = "medium";
  std::size_t concurrency = 256;
  std::size_t bodyLimit = 1 << 20;
  // An answer is a series of events with rising ids. A resumable one may go on at another server
  // behind the last event that was passed on; it is repeatable too.
  bool isStream = false;
  bool isResumable = false;
  unsigned priority = 1;  // 0 is the most urgent
  std::chrono::milliseconds firstEventTarget{
      0};                                       // first event within this is in time; 0: none named
  std::chrono::milliseconds eventGapTarget{0};  // longest pause between events; 0: none named
};

// A kind of back end. Numbers that are 0 are not known.
struct Service {
  std::string healthPath;
  std::size_t maxConnections = 0;  // of one server, from all callers together
  std::uint32_t slots = 1;
  std::uint64_t cacheTokens = 0;  // of one server
  std::uint64_t tokenBytes = 0;   // of kept cache
  double linkMbps = 0;
  std::size_t eventReaders = 0;  // calls for cache events that one server holds at once
  std::vector<ModelName> models;
};

// A store of kept prompt parts. It is no back end.
struct PartStore {
  Address address;
  std::string zone;
  std::uint64_t cacheTokens = 0;
  double linkMbps = 0;
  std::size_t eventReaders = 0;
};

struct SplitShare {
  ServiceName service;
  std::uint32_t weight = 1;
};

// Invariant: the split's weights add up to more than 0; no two routes share host and prefix.
struct Route {
  std::string name;
  std::string host;    // lower case, no port
  std::string prefix;  // begins and ends with a slash
  PolicyName policy;
  std::vector<SplitShare> split;
  bool isPublic = false;  // needs no key
};

// What a caller may send and how long it may take.
struct CallerLimits {
  std::size_t headerBytes = 16 << 10;
  std::size_t bodyBytes = 16 << 20;
  std::chrono::milliseconds headerTimeout{10000};
  std::chrono::milliseconds idleTimeout{60000};
};

struct Configuration {
  std::map<TenantName, Tenant> tenants;
  std::map<PolicyName, RoutePolicy> policies;
  std::map<std::string, PolicyName> policyByPath;  // path below /v1/ to policy
  std::map<ModelName, WeightsVersion> weights;
  std::map<std::string, TenantName> tenantByKeyDigest;  // derived from tenants
  std::vector<Route> routes;  // by host, then by falling length of the prefix
  std::map<ServiceName, Service> services;
  std::map<ServiceName, PartStore> stores;
  CallerLimits callerLimits;
};

// The first rule that a route breaks, in the order of the rows; whoever read them names the field.
struct RouteError {
  enum class Kind { UnknownService, UnknownPolicy, NoWeight, SameHostAndPrefix };
  Kind kind{};
  std::size_t route = 0;  // index in routes
  std::size_t part = 0;   // index in its split
  std::size_t other = 0;  // the route that it clashes with
};
std::optional<RouteError> firstRouteError(const Configuration& configuration);

// Gives the tenant a key. The result is the tenant that has it already, if that is another one.
std::optional<TenantName> addKeyDigest(Configuration* configuration, const TenantName& tenant,
                                       const std::string& digest);

// Puts the routes into their order; call it once they are all there.
void sortRoutes(Configuration* configuration);
// The route of that host with the longest prefix that begins the path; nullptr if there is none.
// A port behind the host and its case don't count.
const Route* findRoute(const Configuration& configuration, std::string_view host,
                       std::string_view path);

// Schema and rules; the message starts with the path of the offending field.
absl::StatusOr<Configuration> parseConfiguration(const std::string& body);

// An RFC 7386 merge patch on a body; the result is not checked.
absl::StatusOr<std::string> patchConfiguration(const std::string& body, const std::string& patch);

// The salt that a tenant's cache is kept under: its own if isolated, else what it asks for among
// the shared ones. False: it asked for one it may not use.
bool resolveCacheSalt(const Configuration& configuration, const TenantName& tenant,
                      const std::string& asked, CacheSalt* salt);

}  // namespace quayrill
