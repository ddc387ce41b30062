#pragma once
// A daemon that serves one operator: the product's Amending over the product's Proposer.
#include <optional>
#include <string>

#include "agent/core/freshness.h"
#include "model/configuration.h"
#include "model/observation.h"
#include "register/update_operation.h"

namespace quayrill::model {

class Caller {
 public:
  // `configuration` outlives the caller.
  Caller(const Configuration* configuration, std::size_t index, const ChosenValue& replicaSet);

  bool isBusy() const { return proposer_.isBusy(); }
  // The order that would be sent next, once the one before it has ended.
  std::optional<std::size_t> nextChange() const;
  // `acked`: the orders acknowledged so far, by whomever.
  void start(ChangeSet acknowledged, StepEffects* effects);
  void answer(const ReplicaAnswer& answer, ChangeSet acknowledged, StepEffects* effects);
  void expirePhase(ChangeSet acknowledged, StepEffects* effects);
  void expireDeadline(ChangeSet acknowledged, StepEffects* effects);
  // The daemon ends: the call gets no answer, and a new daemon sends the next one.
  void crash();
  void learn(const ReplicaSet& replicas) { freshness_.adopt(replicas); }
  const ReplicaSet& replicas() const { return freshness_.replicas(); }
  const TimedProposer* proposer(std::uint64_t id) const;
  std::string stateBytes() const;
  // The same in parts: what stands whoever answered, and what one replica answered.
  std::string sharedBytes() const;
  std::string bytesHeardFrom(StoreId store) const { return proposer_.bytesHeardFrom(store); }

 private:
  void onCompleted(const std::vector<ChangeDone>& done, ChangeSet acknowledged,
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
  std::vector<WriteId> proposedWrites_;  // proposed for the present call
  bool isRead_ = false;                  // the operation under way
  ChangeSet acknowledgedBefore_ = 0;
  // An operation's deadline has passed: time is left for the read that settles, none for a change.
  bool isChangeDeadlinePassed_ = false;
};

}  // namespace quayrill::model
