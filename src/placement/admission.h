#pragma once
// Who may come in: concurrency by tenant and contract, and the budget of extra tries.
#include <map>

#include "placement/try_budget.h"
#include "spec/spec.h"

namespace quayrill {

class Admission {
 public:
  bool enter(const TenantName& tenant, std::size_t tenantLimit, const ContractName& contract,
             std::size_t contractLimit);
  void leave(const TenantName& tenant, const ContractName& contract);
  void countFirst(Instant now) { budget_.countFirst(now); }
  bool takeExtra(Instant now) { return budget_.takeExtra(now); }

 private:
  // Each count is the number of requests inside; enter and leave come in pairs.
  std::map<TenantName, std::size_t> tenants_;
  std::map<ContractName, std::size_t> contracts_;
  TryBudget budget_;
};

}  // namespace quayrill
