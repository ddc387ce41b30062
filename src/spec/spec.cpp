#include "spec/spec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "spec/schema.h"

namespace quayrill {

namespace {
using Json = nlohmann::json;

constexpr char kSpecSchema[] = R"json({
  "type": "object", "additionalProperties": false,
  "required": ["tenants", "contracts", "ways", "models"],
  "properties": {
    "tenants": {"type": "object", "additionalProperties": {
      "type": "object", "additionalProperties": false, "properties": {
        "isolated": {"type": "boolean"},
        "concurrency": {"type": "integer", "minimum": 1, "maximum": 100000},
        "keys": {"type": "array", "maxItems": 64,
                 "items": {"type": "string", "pattern": "^sha256:[0-9a-f]{64}$"}}}}},
    "contracts": {"type": "object", "additionalProperties": {
      "type": "object", "additionalProperties": false, "required": ["model", "repeatable"],
      "properties": {
        "model": {"type": "string", "minLength": 1},
        "repeatable": {"type": "boolean"},
        "due_ms": {"type": "integer", "minimum": 10, "maximum": 600000},
        "tries": {"type": "integer", "minimum": 1, "maximum": 4},
        "class": {"type": "string", "enum": ["long", "medium", "short"]},
        "concurrency": {"type": "integer", "minimum": 1, "maximum": 100000},
        "body_limit": {"type": "integer", "minimum": 1, "maximum": 16777216}}}},
    "ways": {"type": "object", "additionalProperties": {"type": "string"}},
    "models": {"type": "object", "additionalProperties": {
      "type": "object", "additionalProperties": false, "required": ["weights"],
      "properties": {"weights": {"type": "string", "minLength": 1, "maxLength": 64}}}}
  }
})json";

absl::Status bad(const std::string& path, const std::string& remedy) {
  return absl::InvalidArgumentError(path + ": " + remedy);
}
}  // namespace

absl::StatusOr<Spec> parseSpec(const std::string& body) {
  const Json json = Json::parse(body, nullptr, false);
  if (json.is_discarded()) return bad("/", "not JSON: send one JSON object");
  if (const auto defect = schemaDefect(kSpecSchema, json)) return bad(defect->path, defect->what);
  Spec spec;
  for (const auto& [name, model] : json["models"].items())
    spec.weights[ModelName{name}] = WeightsVersion{model["weights"].get<std::string>()};
  for (const auto& [name, row] : json["tenants"].items()) {
    Tenant tenant;
    tenant.isolated = row.value("isolated", false);
    tenant.concurrency = row.value("concurrency", tenant.concurrency);
    for (const auto& digest : row.value("keys", Json::array())) {
      tenant.keyDigests.insert(digest.get<std::string>());
      const auto [owner, fresh] =
          spec.tenantOfDigest.try_emplace(digest.get<std::string>(), TenantName{name});
      if (!fresh && owner->second != TenantName{name})
        return bad("/tenants/" + name + "/keys",
                   "a key of '" + owner->second.value + "': give each tenant its own keys");
    }
    spec.tenants[TenantName{name}] = tenant;
  }
  for (const auto& [name, row] : json["contracts"].items()) {
    Contract contract;
    contract.model = ModelName{row["model"].get<std::string>()};
    contract.repeatable = row["repeatable"].get<bool>();
    contract.due = std::chrono::milliseconds(row.value("due_ms", contract.due.count()));
    contract.tries = row.value("tries", contract.tries);
    contract.promptClass = row.value("class", contract.promptClass);
    contract.concurrency = row.value("concurrency", contract.concurrency);
    contract.bodyLimit = row.value("body_limit", contract.bodyLimit);
    if (!spec.weights.contains(contract.model))
      return bad("/contracts/" + name + "/model",
                 "'" + contract.model.value + "' is not under /models: add it there first");
    spec.contracts[ContractName{name}] = contract;
  }
  for (const auto& [path, contract] : json["ways"].items()) {
    const ContractName name{contract.get<std::string>()};
    if (!spec.contracts.contains(name))
      return bad("/ways/" + path, "no contract '" + name.value + "': add it under /contracts");
    spec.ways[path] = name;
  }
  return spec;
}

absl::StatusOr<std::string> patchSpec(const std::string& body, const std::string& patch) {
  Json document = body.empty() ? Json::object() : Json::parse(body, nullptr, false);
  const Json change = Json::parse(patch, nullptr, false);
  if (document.is_discarded() || !change.is_object())
    return bad("/", "the patch is no JSON object: send a merge patch");
  document.merge_patch(change);
  return document.dump();
}

void sortRoutes(Spec* spec) {
  std::stable_sort(spec->routes.begin(), spec->routes.end(), [](const Route& a, const Route& b) {
    if (a.host != b.host) return a.host < b.host;
    return a.prefix.size() > b.prefix.size();
  });
}

const Route* findRoute(const Spec& spec, std::string_view host, std::string_view path) {
  std::string name(host.substr(0, host.rfind(':')));
  for (char& letter : name) letter = static_cast<char>(std::tolower(letter));
  auto row = std::lower_bound(
      spec.routes.begin(), spec.routes.end(), name,
      [](const Route& route, const std::string& wanted) { return route.host < wanted; });
  for (; row != spec.routes.end() && row->host == name; ++row) {
    if (path.substr(0, row->prefix.size()) == row->prefix) return &*row;
  }
  return nullptr;
}

bool saltFor(const Spec& spec, const TenantName& tenant, const std::string& asked,
             CacheSalt* salt) {
  const auto row = spec.tenants.find(tenant);
  if (row == spec.tenants.end()) return false;
  if (row->second.isolated) {
    // The whole name space "tenant:" belongs to isolated tenants and is given out here only.
    *salt = CacheSalt{"tenant:" + tenant.value + (asked.empty() ? "" : ":" + asked)};
    return asked.rfind("tenant:", 0) != 0;
  }
  *salt = CacheSalt{asked};
  return asked.rfind("tenant:", 0) != 0;
}

}  // namespace quayrill
