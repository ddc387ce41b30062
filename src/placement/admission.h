#pragma once
// Who may come in: concurrency by tenant and policy, shares, and the budget of extra tries.
#include <map>

#include "configuration/configuration.h"
#include "placement/retry_budget.h"

namespace quayrill {

struct AdmissionResult {
  bool isAdmitted = false;
  // More of this daemon's requests are this tenant's than an equal split among the tenants of the
  // last seconds would give it. It matters where servers are short, and only there.
  bool isOverShare = false;
  // The budget could bear an extra try now, so a first try may be given up for another.
  bool canRetry = false;
};

class Admission {
 public:
  AdmissionResult enter(const TenantName& tenant, std::size_t tenantLimit, const PolicyName& policy,
                        std::size_t policyLimit, Instant now);
  void leave(const TenantName& tenant, const PolicyName& policy);
  // Requests and extra tries are counted by model: each has servers of its own.
  void countRequest(const ModelName& model, Instant now) {
    budgets_.countRequest(serviceOf(model), now);
  }
  bool canTakeRetry(const ModelName& model, Instant now) const {
    return budgets_.canTakeRetry(serviceOf(model), now);
  }
  bool takeRetry(const ModelName& model, Instant now) {
    return budgets_.takeRetry(serviceOf(model), now);
  }

 private:
  struct TenantActivity {
    std::size_t active = 0;
    Instant lastEntered;
  };
  // Each count is the number of requests inside; enter and leave come in pairs. totalActive_ is the
  // sum over the tenants. A tenant has a row while it is inside or was seen within the last
  // seconds.
  std::map<TenantName, TenantActivity> tenants_;
  std::map<PolicyName, std::size_t> policies_;
  std::size_t totalActive_ = 0;
  static ServiceName serviceOf(const ModelName& model) { return ServiceName{model.value}; }
  // Over all daemons at most a fifth of the traffic in any ten seconds.
  RetryBudgets budgets_{0.2, std::chrono::seconds(10)};
};

}  // namespace quayrill
