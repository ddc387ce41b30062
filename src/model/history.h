#pragma once
// What the outside was told on one schedule, and the invariants over it.
#include <map>
#include <string>
#include <vector>

#include "model/observation.h"

namespace quayrill::model {

class History {
 public:
  explicit History(const ReplicaSet& founded) { replicaSets_.push_back(founded); }

  // The broken invariant in words; "" where none is.
  std::string observe(const Observation& observation, const std::vector<OperatorChange>& changes);

  ChangeSet acknowledged() const { return acknowledged_; }
  ChangeSet refused() const { return refused_; }
  // A write that was said never to take effect stands in this value or its history.
  bool containsRejectedWrite(const RegisterValue& value) const;
  // The chosen replica sets by epoch, each as it was seen last.
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

// Whether every majority of one shares a member with every majority of the other.
bool majoritiesIntersect(const ReplicaSet& one, const ReplicaSet& other);

}  // namespace quayrill::model
