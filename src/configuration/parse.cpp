// Parses the configuration document of the built-in dialect: its schema, and the conversion to a
// Configuration. In the document, policies are called "contracts", and paths below /v1/ "ways".
#include <nlohmann/json.hpp>
#include <set>

#include "base/json_text.h"
#include "configuration/configuration.h"
#include "configuration/schema.h"
#include "configuration/text_fields.h"

namespace quayrill {

namespace {
using Json = nlohmann::json;

constexpr char kConfigurationSchema[] = R"json({
  "type": "object", "additionalProperties": false,
  "required": ["tenants", "contracts", "ways", "models"],
  "properties": {
    "tenants": {"type": "object", "additionalProperties": {
      "type": "object", "additionalProperties": false, "properties": {
        "isolated": {"type": "boolean"},
        "priority": {"type": "integer", "minimum": 0, "maximum": 1000},
        "concurrency": {"type": "integer", "minimum": 1, "maximum": 100000},
        "keys": {"type": "array", "maxItems": 64,
                 "items": {"type": "string"}}}}},
    "contracts": {"type": "object", "additionalProperties": {
      "type": "object", "additionalProperties": false, "required": ["repeatable"],
      "properties": {
        "model": {"type": "string", "minLength": 1},
        "repeatable": {"type": "boolean"},
        "due_ms": {"type": "integer", "minimum": 10, "maximum": 600000},
        "tries": {"type": "integer", "minimum": 1, "maximum": 4},
        "class": {"type": "string", "enum": ["long", "medium", "short"]},
        "concurrency": {"type": "integer", "minimum": 1, "maximum": 100000},
        "body_limit": {"type": "integer", "minimum": 1, "maximum": 16777216},
        "stream": {"type": "boolean"},
        "resumable": {"type": "boolean"},
        "priority": {"type": "integer", "minimum": 0, "maximum": 1000},
        "target_ms": {"type": "integer", "minimum": 0, "maximum": 600000},
        "gap_target_ms": {"type": "integer", "minimum": 0, "maximum": 600000}}}},
    "ways": {"type": "object", "additionalProperties": {"type": "string"}},
    "models": {"type": "object", "additionalProperties": {
      "type": "object", "additionalProperties": false, "required": ["weights"],
      "properties": {"weights": {"type": "string", "minLength": 1, "maxLength": 64}}}},
    "routes": {"type": "object", "additionalProperties": {
      "type": "object", "additionalProperties": false,
      "required": ["host", "prefix", "contract", "split"],
      "properties": {
        "host": {"type": "string"},
        "prefix": {"type": "string"},
        "contract": {"type": "string", "minLength": 1},
        "public": {"type": "boolean"},
        "split": {"type": "array", "minItems": 1, "maxItems": 64, "items": {
          "type": "object", "additionalProperties": false, "required": ["service"],
          "properties": {
            "service": {"type": "string", "minLength": 1},
            "weight": {"type": "integer", "minimum": 0, "maximum": 1000000}}}}}}},
    "services": {"type": "object", "additionalProperties": {
      "type": "object", "additionalProperties": false, "properties": {
        "health_path": {"type": "string"},
        "max_connections": {"type": "integer", "minimum": 0, "maximum": 1000000},
        "slots": {"type": "integer", "minimum": 1, "maximum": 100000},
        "cache_tokens": {"type": "integer", "minimum": 0, "maximum": 1000000000000},
        "token_bytes": {"type": "integer", "minimum": 0, "maximum": 1000000000},
        "link_mbps": {"type": "number", "minimum": 0},
        "event_readers": {"type": "integer", "minimum": 0, "maximum": 100000},
        "models": {"type": "array", "items": {"type": "string", "minLength": 1}}}}},
    "stores": {"type": "object", "additionalProperties": {
      "type": "object", "additionalProperties": false, "required": ["address"], "properties": {
        "address": {"type": "string"},
        "zone": {"type": "string"},
        "cache_tokens": {"type": "integer", "minimum": 0, "maximum": 1000000000000},
        "link_mbps": {"type": "number", "minimum": 0},
        "event_readers": {"type": "integer", "minimum": 0, "maximum": 100000}}}},
    "caller_limits": {"type": "object", "additionalProperties": false, "properties": {
      "header_bytes": {"type": "integer", "minimum": 1024, "maximum": 1048576},
      "body_bytes": {"type": "integer", "minimum": 1, "maximum": 1073741824},
      "header_due_ms": {"type": "integer", "minimum": 10, "maximum": 600000},
      "idle_due_ms": {"type": "integer", "minimum": 10, "maximum": 3600000}}}
  }
})json";

// The error that the field `path` is invalid.
absl::Status fieldError(const std::string& path, const std::string& remedy) {
  return absl::InvalidArgumentError(path + ": " + remedy);
}

// A field in milliseconds; `fallback` if it is absent.
std::chrono::milliseconds millisOf(const Json& row, const char* field,
                                   std::chrono::milliseconds fallback) {
  return std::chrono::milliseconds(row.value(field, fallback.count()));
}

absl::Status readTenants(const Json& rows, Configuration* configuration) {
  for (const auto& [name, row] : rows.items()) {
    Tenant& tenant = configuration->tenants[TenantName{name}];
    tenant.isolated = row.value("isolated", false);
    tenant.concurrency = row.value("concurrency", tenant.concurrency);
    if (row.contains("priority")) tenant.priority = row["priority"].get<unsigned>();
    const Json keys = row.value("keys", Json::array());
    for (std::size_t i = 0; i < keys.size(); ++i) {
      const auto digest = keys[i].get<std::string>();
      if (!isKeyDigest(digest))
        return fieldError("/tenants/" + name + "/keys/" + std::to_string(i),
                          "no digest of a key: write sha256: and its 64 hex digits");
      if (const auto owner = addKeyDigest(configuration, TenantName{name}, digest))
        return fieldError("/tenants/" + name + "/keys",
                          "a key of '" + owner->value + "': give each tenant its own keys");
    }
  }
  return absl::OkStatus();
}

absl::Status readPolicies(const Json& rows, Configuration* configuration) {
  for (const auto& [name, row] : rows.items()) {
    RoutePolicy policy;
    policy.model = ModelName{row.value("model", "")};
    policy.repeatable = row["repeatable"].get<bool>();
    policy.timeout = millisOf(row, "due_ms", policy.timeout);
    policy.tries = row.value("tries", policy.tries);
    policy.promptClass = row.value("class", policy.promptClass);
    policy.concurrency = row.value("concurrency", policy.concurrency);
    policy.bodyLimit = row.value("body_limit", policy.bodyLimit);
    policy.isStream = row.value("stream", false);
    policy.isResumable = row.value("resumable", false);
    policy.priority = row.value("priority", policy.priority);
    policy.firstEventTarget = millisOf(row, "target_ms", policy.firstEventTarget);
    policy.eventGapTarget = millisOf(row, "gap_target_ms", policy.eventGapTarget);
    const std::string fieldPath = "/contracts/" + name;
    if (!policy.model.value.empty() && !configuration->weights.contains(policy.model))
      return fieldError(fieldPath + "/model",
                        "'" + policy.model.value + "' is not under /models: add it there first");
    if (policy.isResumable && !(policy.isStream && policy.repeatable))
      return fieldError(fieldPath + "/resumable",
                        "only a stream that is repeatable resumes: set stream and repeatable too");
    configuration->policies[PolicyName{name}] = policy;
  }
  return absl::OkStatus();
}

absl::Status readServices(const Json& rows, Configuration* configuration) {
  for (const auto& [name, row] : rows.items()) {
    Service service;
    service.healthPath = row.value("health_path", "");
    if (row.contains("health_path") && !service.healthPath.starts_with('/'))
      return fieldError("/services/" + name + "/health_path", "must begin with a slash");
    service.maxConnections = row.value("max_connections", service.maxConnections);
    service.slots = row.value("slots", service.slots);
    service.cacheTokens = row.value("cache_tokens", service.cacheTokens);
    service.tokenBytes = row.value("token_bytes", service.tokenBytes);
    service.linkMbps = row.value("link_mbps", service.linkMbps);
    service.eventReaders = row.value("event_readers", service.eventReaders);
    for (const auto& model : row.value("models", Json::array())) {
      service.models.push_back(ModelName{model.get<std::string>()});
      if (!configuration->weights.contains(service.models.back()))
        return fieldError(
            "/services/" + name + "/models",
            "'" + service.models.back().value + "' is not under /models: add it there");
    }
    configuration->services[ServiceName{name}] = service;
  }
  return absl::OkStatus();
}

absl::Status readStores(const Json& rows, Configuration* configuration) {
  for (const auto& [name, row] : rows.items()) {
    PartStore store;
    store.address = Address{row["address"].get<std::string>()};
    if (!isNumericAddress(store.address.value))
      return fieldError("/stores/" + name + "/address", "write an IP address, a colon and a port");
    store.zone = row.value("zone", "");
    store.cacheTokens = row.value("cache_tokens", store.cacheTokens);
    store.linkMbps = row.value("link_mbps", store.linkMbps);
    store.eventReaders = row.value("event_readers", store.eventReaders);
    configuration->stores[ServiceName{name}] = store;
  }
  return absl::OkStatus();
}

// The error for a violation among the routes, with the path of the field.
absl::Status routeError(const RouteError& error, const Configuration& configuration) {
  const Route& route = configuration.routes[error.routeIndex];
  const std::string fieldPath = "/routes/" + route.name;
  switch (error.kind) {
    case RouteError::Kind::UnknownService:
      return fieldError(fieldPath + "/split/" + std::to_string(error.shareIndex) + "/service",
                        "no service '" + route.split[error.shareIndex].service.value +
                            "': add it under /services");
    case RouteError::Kind::UnknownPolicy:
      return fieldError(fieldPath + "/contract",
                        "no policy '" + route.policy.value + "': add it under /contracts");
    case RouteError::Kind::NoWeight:
      return fieldError(fieldPath + "/split",
                        "the weights add up to 0: give one service more than 0");
    case RouteError::Kind::SameHostAndPrefix:
      break;
  }
  return fieldError(fieldPath + "/prefix",
                    "route '" + configuration.routes[error.otherIndex].name +
                        "' has this host and prefix: change or remove one of them");
}

absl::Status readRoutes(const Json& rows, Configuration* configuration) {
  for (const auto& [name, row] : rows.items()) {
    Route route;
    route.name = name;
    route.host = row["host"].get<std::string>();
    route.prefix = row["prefix"].get<std::string>();
    if (!isHostName(route.host))
      return fieldError(
          "/routes/" + name + "/host",
          "write the host in lower case: letters, digits, dots, hyphens, underscores");
    if (!isPathPrefix(route.prefix))
      return fieldError("/routes/" + name + "/prefix", "must begin and end with a slash");
    route.policy = PolicyName{row["contract"].get<std::string>()};
    route.isPublic = row.value("public", false);
    for (const auto& share : row["split"])
      route.split.push_back({ServiceName{share["service"].get<std::string>()},
                             share.value("weight", std::uint32_t{1})});
    configuration->routes.push_back(std::move(route));
  }
  if (const auto error = firstRouteError(*configuration)) return routeError(*error, *configuration);
  return absl::OkStatus();
}

// Requests below /v1/ are matched by their path alone and name no model, so their policy must.
absl::Status readPathPolicies(const Json& rows, Configuration* configuration) {
  for (const auto& [path, policy] : rows.items()) {
    const PolicyName name{policy.get<std::string>()};
    const auto found = configuration->policies.find(name);
    if (found == configuration->policies.end())
      return fieldError("/ways/" + path, "no policy '" + name.value + "': add it under /contracts");
    if (found->second.model.value.empty())
      return fieldError("/contracts/" + name.value + "/model",
                        "missing, and the way '" + path + "' needs it: name a model of /models");
    configuration->policyByPath[path] = name;
  }
  return absl::OkStatus();
}

// A policy without a model is only allowed if a route uses it: the request then names the model.
absl::Status checkModels(const Configuration& configuration) {
  std::set<PolicyName> routed;
  for (const Route& route : configuration.routes) routed.insert(route.policy);
  for (const auto& [name, policy] : configuration.policies) {
    if (policy.model.value.empty() && !routed.contains(name))
      return fieldError("/contracts/" + name.value + "/model",
                        "missing, and no route uses the contract: name a model of /models");
  }
  return absl::OkStatus();
}
}  // namespace

absl::StatusOr<Configuration> parseConfiguration(const std::string& body) {
  if (nestsTooDeep(body)) return fieldError("/", kNestsTooDeep);
  const Json json = parseJson(body);
  if (json.is_discarded()) return fieldError("/", "not JSON: send one JSON object");
  if (const auto error = schemaError(kConfigurationSchema, json))
    return fieldError(error->path, error->what);
  Configuration configuration;
  const auto rowsOf = [&](const char* name) { return json.value(name, Json::object()); };
  for (const auto& [name, model] : json["models"].items())
    configuration.weights[ModelName{name}] = WeightsVersion{model["weights"].get<std::string>()};
  if (auto status = readTenants(json["tenants"], &configuration); !status.ok()) return status;
  if (auto status = readPolicies(json["contracts"], &configuration); !status.ok()) return status;
  if (auto status = readServices(rowsOf("services"), &configuration); !status.ok()) return status;
  if (auto status = readStores(rowsOf("stores"), &configuration); !status.ok()) return status;
  if (auto status = readRoutes(rowsOf("routes"), &configuration); !status.ok()) return status;
  if (auto status = readPathPolicies(json["ways"], &configuration); !status.ok()) return status;
  if (auto status = checkModels(configuration); !status.ok()) return status;
  const Json limits = rowsOf("caller_limits");
  CallerLimits& callerLimits = configuration.callerLimits;
  callerLimits.headerBytes = limits.value("header_bytes", callerLimits.headerBytes);
  callerLimits.bodyBytes = limits.value("body_bytes", callerLimits.bodyBytes);
  callerLimits.headerTimeout = millisOf(limits, "header_due_ms", callerLimits.headerTimeout);
  callerLimits.idleTimeout = millisOf(limits, "idle_due_ms", callerLimits.idleTimeout);
  sortRoutes(&configuration);
  deriveSharedScope(&configuration);
  return configuration;
}

}  // namespace quayrill
