#pragma once
// A daemon that carries out one operator's calls: the production UpdateOperation on the production
// Proposer.
#include <optional>
#include <string>

#include "agent/core/freshness.h"
#include "model/configuration.h"
#include "model/observation.h"
#include "register/update_operation.h"

namespace quayrill::model {

// The state of one such daemon. Each method is a step of the model and adds what it sends and
// reveals to `effects`; `acknowledged` are the changes acknowledged so far by any daemon.
class Caller {
 public:
  // `configuration` must outlive the caller. `replicaSet` is the first set.
  Caller(const Configuration* configuration, std::size_t index, const ChosenValue& replicaSet);

  bool isBusy() const { return proposer_.isBusy(); }
  // The change of the next call; empty while a call is in progress and after the last one.
  std::optional<std::size_t> nextChange() const;
  // Starts the next call.
  void start(ChangeSet acknowledged, StepEffects* effects);
  void answer(const ReplicaResponse& answer, ChangeSet acknowledged, StepEffects* effects);
  void expirePhase(ChangeSet acknowledged, StepEffects* effects);
  void expireDeadline(ChangeSet acknowledged, StepEffects* effects);
  // The daemon ends: its call gets no answer, and a new daemon carries out the next one.
  void crash();
  void learn(const ReplicaSet& replicas) { freshness_.adopt(replicas); }
  const ReplicaSet& replicas() const { return freshness_.replicas(); }
  // The proposer with this id; null if it is not this daemon's present one.
  const TimedProposer* proposer(std::uint64_t id) const;
  // The state as canonical bytes; and split in two for the symmetry reduction: what does not depend
  // on single replicas, and what one replica answered.
  std::string stateBytes() const;
  std::string sharedBytes() const;
  std::string bytesOfAnswersFrom(StoreId store) const {
    return proposer_.bytesOfAnswersFrom(store);
  }

 private:
  // Passes completed register operations to the update and starts what it asks for next.
  void onCompleted(const std::vector<ChangeOutcome>& done, ChangeSet acknowledged,
                   StepEffects* effects);
  void advance(ChangeSet acknowledged, StepEffects* effects);
  void recordAnswer(UpdateResult result, StepEffects* effects);
  std::string ownBytes() const;
  std::uint64_t proposerId() const;
  std::size_t change() const { return configuration_->calls[index_][nextCall_ - 1]; }

  const Configuration* configuration_;
  std::size_t index_;
  std::uint64_t incarnation_ = 0;
  TimedProposer proposer_;
  Freshness freshness_{0};
  std::optional<UpdateOperation> update_;
  std::size_t nextCall_ = 0;
  std::vector<WriteId> proposedWrites_;  // by the present call
  bool isRead_ = false;                  // the operation in progress is a read
  ChangeSet acknowledgedBefore_ = 0;     // when that operation began
  // The deadline of an operation has passed: time remains for a settling read, but not for another
  // change.
  bool isChangeDeadlinePassed_ = false;
};

}  // namespace quayrill::model
