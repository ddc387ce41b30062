#pragma once
// Test fixture: tenants of a relay that become isolated or cease to be.
#include "relay_stage.h"

namespace quayrill::tests {

// Adds the tenant "east", which is not isolated, beside those of the stage.
inline void addSecondOpenTenant(RelayStage& stage) {
  stage.configuration.tenants[TenantName{"east"}] = {};
  stage.configuration.tenantByKeyDigest[keyDigest("east-key")] = TenantName{"east"};
  ++stage.snapshot.configurationVersion;
  stage.publishSnapshot();
}

// Makes "north" isolated or not, in a new configuration.
inline void setNorthIsolated(RelayStage& stage, bool isIsolated) {
  stage.configuration.tenants[TenantName{"north"}].isolated = isIsolated;
  deriveSharedScope(&stage.configuration);
  ++stage.snapshot.configurationVersion;
  stage.relay->applySnapshot(stage.snapshot, BootClock::now());
}

inline constexpr char kNorth[] = "X-Key: key\r\n";
inline constexpr char kEast[] = "X-Key: east-key\r\n";

}  // namespace quayrill::tests
