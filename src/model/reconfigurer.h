#pragma once
// A daemon that takes the replica set's steps: the product's EpochSweep and Freshness over the
// product's Proposer, one proposer for each key.
#include <optional>
#include <string>

#include "agent/core/freshness.h"
#include "model/configuration.h"
#include "model/observation.h"
#include "register/epoch_sweep.h"

namespace quayrill::model {

class Reconfigurer {
 public:
  static constexpr std::size_t kProposers = 2;  // of the replica set's key, of the configuration's

  // `configuration` outlives the mover.
  Reconfigurer(const Configuration* configuration, std::size_t index,
               const ChosenValue& replicaSet);

  bool isBusy(std::size_t proposer) const { return proposers_[proposer].isBusy(); }
  // `listed` and `following` as EpochSweep asks for them.
  void step(const std::optional<std::vector<RegisterKey>>& listed,
            const std::optional<ReplicaSet>& nextReplicaSet, StepEffects* effects);
  void answer(const ReplicaAnswer& answer, StepEffects* effects);
  void expirePhase(std::size_t proposer, StepEffects* effects);
  void expireDeadline(std::size_t proposer, StepEffects* effects);
  void crash();
  void learn(const ReplicaSet& replicas) { freshness_.adopt(replicas); }
  const ReplicaSet& replicas() const { return freshness_.replicas(); }
  const TimedProposer* proposer(std::uint64_t id) const;
  std::string stateBytes() const;
  // The same in parts: what stands whoever answered, and what one replica answered.
  std::string sharedBytes() const;
  std::string bytesHeardFrom(StoreId store) const;

 private:
  std::string ownBytes() const;
  void begin(const ChangeAsked& ask, StepEffects* effects);
  void onCompleted(std::size_t proposer, const std::vector<ChangeDone>& done, StepEffects* effects);
  std::uint64_t proposerId(std::size_t proposer) const;
  TimedProposer makeProposer(std::size_t proposer) const;

  const Configuration* configuration_;
  std::size_t index_;
  std::uint64_t incarnation_ = 0;
  std::vector<TimedProposer> proposers_;
  Freshness freshness_{0};
  EpochSweep sweep_;
  std::vector<bool> isRead_;  // by proposer: the operation under way
  // The last change of the set was turned away or is unknown: a read comes before the next.
  bool needsRead_ = false;
};

}  // namespace quayrill::model
