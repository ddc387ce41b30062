#pragma once
// Admission control: concurrency limits per tenant and per policy, fair shares between tenants,
// and the retry budget of each model.
#include <map>

#include "configuration/configuration.h"
#include "placement/retry_budget.h"

namespace quayrill {

// The decision about one request.
struct AdmissionResult {
  bool isAdmitted = false;
  // The tenant has more requests in progress on this daemon than an equal split among the recently
  // active tenants would give it. Only matters when servers are close to full.
  bool isOverShare = false;
  // The retry budget has room for a retry now, so the first attempt may be abandoned early in
  // favour of a second one.
  bool canRetry = false;
};

// Counts the requests in progress on this daemon and decides which further ones to admit.
class Admission {
 public:
  // Admits the request if both the tenant and the policy are below their limits. Every admitted
  // request must be matched by one call of leave().
  AdmissionResult enter(const TenantName& tenant, std::size_t tenantLimit, const PolicyName& policy,
                        std::size_t policyLimit, Instant now);
  // Counts the end of an admitted request.
  void leave(const TenantName& tenant, const PolicyName& policy);
  // Requests and retries are counted per model, because each model has its own servers.
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
  // Requests in progress by tenant and by policy. totalActive_ is the sum over the tenants. A
  // tenant keeps its entry while it has requests in progress and for kShareRetention afterwards.
  std::map<TenantName, TenantActivity> tenants_;
  std::map<PolicyName, std::size_t> policies_;
  std::size_t totalActive_ = 0;
  static ServiceName serviceOf(const ModelName& model) { return ServiceName{model.value}; }
  // Retries of all daemons together are limited to a fifth of the requests in any ten seconds.
  RetryBudgets budgets_{0.2, std::chrono::seconds(10)};
};

}  // namespace quayrill
