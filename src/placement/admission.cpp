#include "placement/admission.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
// Ours: a tenant keeps its claim to a share for this long after its last request.
constexpr Span kPresent = 5s;
}  // namespace

AdmissionResult Admission::enter(const TenantName& tenant, std::size_t tenantLimit,
                                 const PolicyName& policy, std::size_t policyLimit, Instant now) {
  std::erase_if(tenants_, [&](const auto& row) {
    return row.second.inside == 0 && now - row.second.lastEntered > kPresent;
  });
  budgets_.removeIdle(now);
  Presence& presence = tenants_[tenant];
  presence.lastEntered = now;
  std::size_t& inPolicy = policies_[policy];
  if (presence.inside >= tenantLimit || inPolicy >= policyLimit) return {};
  ++presence.inside;
  ++inPolicy;
  ++inside_;
  return {true, presence.inside * tenants_.size() > inside_ + tenants_.size() - 1, false};
}

void Admission::leave(const TenantName& tenant, const PolicyName& policy) {
  --tenants_[tenant].inside;
  --inside_;
  if (--policies_[policy] == 0) policies_.erase(policy);
}

}  // namespace quayrill
