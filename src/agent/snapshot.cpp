#include "agent/snapshot.h"

namespace quayrill {

SnapshotServer toSnapshot(const ServerState& state, Instant now) {
  const auto ago = std::chrono::duration_cast<std::chrono::microseconds>(now - state.polledAt);
  return {state.name,   state.service, state.identity,    state.model,     state.weights,
          state.zone,   state.healthy, state.leaving,     state.switching, state.running,
          state.queued, state.slots,   state.cacheTokens, ago.count()};
}

ServerState fromSnapshot(const SnapshotServer& row, Instant requestedAt) {
  return {row.name,        row.service,
          row.identity,    row.model,
          row.weights,     row.zone,
          row.healthy,     row.leaving,
          row.switching,   row.running,
          row.queued,      row.slots,
          row.cacheTokens, requestedAt - std::chrono::microseconds(row.polledAgoMicros)};
}

}  // namespace quayrill
