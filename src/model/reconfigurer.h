#pragma once
// A daemon that changes the replica set (a "mover" in printed schedules): the production EpochSweep
// and Freshness on the production Proposer, with one proposer for each key.
#include <optional>
#include <string>

#include "agent/core/freshness.h"
#include "model/configuration.h"
#include "model/observation.h"
#include "register/epoch_sweep.h"

namespace quayrill::model {

// The state of one such daemon. Each method is a step of the model and adds what it sends and
// reveals to `effects`.
class Reconfigurer {
 public:
  static constexpr std::size_t kProposers = 2;  // 0: the replica set's key, 1: the configuration's

  // `configuration` must outlive the reconfigurer. `replicaSet` is the first set.
  Reconfigurer(const Configuration* configuration, std::size_t index,
               const ChosenValue& replicaSet);

  bool isBusy(std::size_t proposer) const { return proposers_[proposer].isBusy(); }
  // Starts the operations that EpochSweep requests for next: `listed` are the keys that a majority
  // listed, and `nextReplicaSet` the set to move to, if they are known.
  void step(const std::optional<std::vector<RegisterKey>>& listed,
            const std::optional<ReplicaSet>& nextReplicaSet, StepEffects* effects);
  void answer(const ReplicaResponse& answer, StepEffects* effects);
  void expirePhase(std::size_t proposer, StepEffects* effects);
  void expireDeadline(std::size_t proposer, StepEffects* effects);
  // The daemon ends, and a new one takes its place.
  void crash();
  void learn(const ReplicaSet& replicas) { freshness_.adopt(replicas); }
  const ReplicaSet& replicas() const { return freshness_.replicas(); }
  // The proposer with this id; null if it is not one of this daemon's present ones.
  const TimedProposer* proposer(std::uint64_t id) const;
  // The state as canonical bytes; and split in two for the symmetry reduction: what does not depend
  // on single replicas, and what one replica answered.
  std::string stateBytes() const;
  std::string sharedBytes() const;
  std::string bytesOfAnswersFrom(StoreId store) const;

 private:
  std::string ownBytes() const;
  void begin(const ChangeRequest& request, StepEffects* effects);
  void onCompleted(std::size_t proposer, const std::vector<ChangeOutcome>& done,
                   StepEffects* effects);
  std::uint64_t proposerId(std::size_t proposer) const;
  TimedProposer makeProposer(std::size_t proposer) const;

  const Configuration* configuration_;
  std::size_t index_;
  std::uint64_t incarnation_ = 0;
  std::vector<TimedProposer> proposers_;
  Freshness freshness_{0};
  EpochSweep sweep_;
  std::vector<bool> isRead_;  // by proposer: the operation in progress is a read
  // The last change of the replica set failed or has an unknown result, so it is read again before
  // the next change.
  bool needsRead_ = false;
};

}  // namespace quayrill::model
