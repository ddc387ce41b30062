#pragma once
// Reconfiguration of the replica set in three steps: write the next set, rewrite every key under
// the new epoch (the sweep), then mark the set as settled. The next reconfiguration may start only
// from a settled set. A state machine without timers or network, which returns the register
// operations to start.
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "register/proposer.h"

namespace quayrill {

// Tracks which keys still have to be rewritten under the current epoch.
class EpochSweep {
 public:
  // The operations to start now. `replicas` is the current set and `version` the version of its
  // value. `listed`, if known, has every key that any member of a majority of `replicas` holds, as
  // answered from within its epoch. `following` is the set to change to, if any; it is proposed
  // only if `replicas` is settled. The caller may skip keys that have an operation in progress.
  std::vector<ChangeRequest> next(const ReplicaSet& replicas, std::uint64_t version,
                                  const std::optional<std::vector<RegisterKey>>& listed,
                                  const std::optional<ReplicaSet>& following, Instant now);
  // A read has finished. If its value was chosen in the epoch of the sweep, the key is rewritten.
  void onReadDone(const ChangeOutcome& outcome);
  // The whole state, encoded: objects with equal bytes behave identically from here on. Used by the
  // model checker.
  std::string stateBytes() const;

 private:
  std::vector<ChangeRequest> sweep(const ReplicaSet& replicas, std::uint64_t version,
                                   const std::optional<std::vector<RegisterKey>>& listed,
                                   Instant now);

  Epoch epoch_;                    // the epoch of the current sweep
  bool hasList_ = false;           // `unswept_` has been filled for this epoch
  std::set<RegisterKey> unswept_;  // keys still to be rewritten in this epoch
};

}  // namespace quayrill
