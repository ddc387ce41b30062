#pragma once
// The steps that change the replica set: the next set, then a rewrite of every key under it (the
// sweep), then the mark that it is settled. Only a settled set may be followed by another.
// (state, event) -> changes to ask of the register: no timers, no network.
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "register/proposer.h"

namespace quayrill {

class EpochSweep {
 public:
  // What to ask of the register now. `copies` is the set in force and `version` the version of its
  // value. `listed` has every key that a majority of `copies` holds between them, told from inside
  // its epoch, where that is known. `following` is the set to move to, if any: it is asked for only
  // where `copies` is settled. A key that has an operation under way need not be asked again.
  std::vector<ChangeRequest> next(const ReplicaSet& replicas, std::uint64_t version,
                                  const std::optional<std::vector<RegisterKey>>& listed,
                                  const std::optional<ReplicaSet>& following, Instant now);
  // A read has ended: one that was chosen under the epoch being swept has rewritten its key.
  void onReadDone(const ChangeOutcome& ended);
  // Every field as bytes: two of equal bytes behave alike from here on. For the model check.
  std::string stateBytes() const;

 private:
  std::vector<ChangeRequest> sweep(const ReplicaSet& replicas, std::uint64_t version,
                                   const std::optional<std::vector<RegisterKey>>& listed,
                                   Instant now);

  Epoch epoch_;                    // being swept
  bool hasList_ = false;           // `unswept_` was filled for that epoch
  std::set<RegisterKey> unswept_;  // keys yet to be rewritten under it
};

}  // namespace quayrill
