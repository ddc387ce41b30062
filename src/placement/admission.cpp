#include "placement/admission.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
// Ours: a tenant keeps its claim to a share for this long after its last request.
constexpr Span kPresent = 5s;
}  // namespace

Entered Admission::enter(const TenantName& tenant, std::size_t tenantLimit,
                         const ContractName& contract, std::size_t contractLimit, Instant now) {
  std::erase_if(tenants_, [&](const auto& row) {
    return row.second.inside == 0 && now - row.second.lastEntered > kPresent;
  });
  budgets_.forgetIdle(now);
  Presence& presence = tenants_[tenant];
  presence.lastEntered = now;
  std::size_t& inContract = contracts_[contract];
  if (presence.inside >= tenantLimit || inContract >= contractLimit) return {};
  ++presence.inside;
  ++inContract;
  ++inside_;
  return {true, presence.inside * tenants_.size() > inside_ + tenants_.size() - 1, false};
}

void Admission::leave(const TenantName& tenant, const ContractName& contract) {
  --tenants_[tenant].inside;
  --inside_;
  if (--contracts_[contract] == 0) contracts_.erase(contract);
}

}  // namespace quayrill
