#include "placement/admission.h"

namespace quayrill {

bool Admission::enter(const TenantName& tenant, std::size_t tenantLimit,
                      const ContractName& contract, std::size_t contractLimit) {
  std::size_t& inTenant = tenants_[tenant];
  std::size_t& inContract = contracts_[contract];
  if (inTenant >= tenantLimit || inContract >= contractLimit) return false;
  ++inTenant;
  ++inContract;
  return true;
}

void Admission::leave(const TenantName& tenant, const ContractName& contract) {
  if (--tenants_[tenant] == 0) tenants_.erase(tenant);
  if (--contracts_[contract] == 0) contracts_.erase(contract);
}

}  // namespace quayrill
