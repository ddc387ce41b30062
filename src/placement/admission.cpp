#include "placement/admission.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
// How long after its last request a tenant still counts when shares are computed.
constexpr Duration kShareRetention = 5s;
}  // namespace

AdmissionResult Admission::enter(const TenantName& tenant, std::size_t tenantLimit,
                                 const PolicyName& policy, std::size_t policyLimit, Instant now) {
  std::erase_if(tenants_, [&](const auto& row) {
    return row.second.active == 0 && now - row.second.lastEntered > kShareRetention;
  });
  budgets_.removeIdle(now);
  TenantActivity& activity = tenants_[tenant];
  activity.lastEntered = now;
  std::size_t& policyActive = policies_[policy];
  if (activity.active >= tenantLimit || policyActive >= policyLimit) return {};
  ++activity.active;
  ++policyActive;
  ++totalActive_;
  return {true, activity.active * tenants_.size() > totalActive_ + tenants_.size() - 1, false};
}

void Admission::leave(const TenantName& tenant, const PolicyName& policy) {
  --tenants_[tenant].active;
  --totalActive_;
  if (--policies_[policy] == 0) policies_.erase(policy);
}

}  // namespace quayrill
