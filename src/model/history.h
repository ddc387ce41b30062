#pragma once
// The externally visible history of one schedule, and the invariants over it.
#include <map>
#include <string>
#include <vector>

#include "model/observation.h"

namespace quayrill::model {

// Accumulates observations and checks that they are consistent with each other.
class History {
 public:
  // `founded` is the first replica set.
  explicit History(const ReplicaSet& founded) { replicaSets_.push_back(founded); }

  // Adds an observation. Returns a description of the invariant that it violates, or "".
  std::string observe(const Observation& observation, const std::vector<OperatorChange>& changes);

  // The changes that were reported to an operator as applied, and as refused for good.
  ChangeSet acknowledged() const { return acknowledged_; }
  ChangeSet refused() const { return refused_; }
  // True if a write that was reported to never take effect made this value or one before it.
  bool containsRejectedWrite(const RegisterValue& value) const;
  // The chosen replica sets by epoch, each in the latest state that was observed.
  const std::vector<ReplicaSet>& replicaSets() const { return replicaSets_; }
  std::string stateBytes() const;

 private:
  std::string observeChosen(const Observation& observation,
                            const std::vector<OperatorChange>& changes);
  std::string observeReplicaSet(const ReplicaSet& replicas);
  std::string observeAnswer(const Observation& observation,
                            const std::vector<OperatorChange>& changes);

  ChangeSet acknowledged_ = 0, refused_ = 0;
  std::map<RegisterKey, std::map<std::uint64_t, RegisterValue>> chosen_;  // by version
  std::vector<WriteId> rejectedWrites_;                                   // sorted
  std::vector<ReplicaSet> replicaSets_;
};

// True if every majority of one set shares a member with every majority of the other.
bool majoritiesIntersect(const ReplicaSet& one, const ReplicaSet& other);

}  // namespace quayrill::model
