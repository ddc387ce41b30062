#pragma once
// The spec: tenants with their keys, contracts, ways and weight versions. A value with its own
// rules; nothing here knows where it is kept.
#include <absl/status/statusor.h>

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/types.h"

namespace quayrill {

// An isolated tenant's salt is its own alone, and no other tenant may name it.
struct Tenant {
  bool isolated = false;
  std::size_t concurrency = 64;
  std::set<std::string> keyDigests;
};

// repeatable == false: once a byte may have reached a server, no second send, ever.
struct Contract {
  ModelName model;
  bool repeatable = false;
  std::chrono::milliseconds due{10000};
  std::size_t tries = 1;  // sends in all; more than one only helps where nothing ran
  std::string promptClass = "medium";
  std::size_t concurrency = 256;
  std::size_t bodyLimit = 1 << 20;
};

struct Spec {
  std::map<TenantName, Tenant> tenants;
  std::map<ContractName, Contract> contracts;
  std::map<std::string, ContractName> ways;  // path below /v1/ to contract
  std::map<ModelName, WeightsVersion> weights;
  std::map<std::string, TenantName> tenantOfDigest;  // derived from tenants
};

// Schema and rules; the message starts with the path of the offending field.
absl::StatusOr<Spec> parseSpec(const std::string& body);

// An RFC 7386 merge patch on a body; the result is not checked.
absl::StatusOr<std::string> patchSpec(const std::string& body, const std::string& patch);

// The salt that a tenant's cache is kept under: its own if isolated, else what it asks for among
// the shared ones. False: it asked for one it may not use.
bool saltFor(const Spec& spec, const TenantName& tenant, const std::string& asked, CacheSalt* salt);

}  // namespace quayrill
