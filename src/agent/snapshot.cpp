#include "agent/snapshot.h"

namespace quayrill {

SnapshotServer toSnapshot(const ServerState& state) {
  return {state.name,    state.identity, state.model,  state.weights, state.zone,       state.sound,
          state.leaving, state.running,  state.queued, state.slots,   state.cacheTokens};
}

ServerState fromSnapshot(const SnapshotServer& row) {
  return {row.name,    row.identity, row.model,  row.weights, row.zone,        row.sound,
          row.leaving, row.running,  row.queued, row.slots,   row.cacheTokens, {}};
}

}  // namespace quayrill
