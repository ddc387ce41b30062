#pragma once
// The product's proposer under the model's clock. Time is coarse: an event says that a phase's time
// or the operation's time has passed, and the clock leaps so far that it has.
#include <string>

#include "register/proposer.h"

namespace quayrill::model {

using Sends = std::vector<std::pair<ReplicaMember, Message>>;

// Later than any clock of the model: no deadline passes but by its own event.
inline constexpr Instant kNever{std::chrono::hours(100000)};

// An operation's id is its proposer's id times this, and a count.
inline constexpr std::uint64_t kOperationIdsPerProposer = 1000;

class TimedProposer {
 public:
  explicit TimedProposer(ProposerId id);

  // The operation gets the next id of this proposer.
  Sends begin(ChangeAsked change, const ReplicaSet& replicas);
  Sends answer(const ReplicaAnswer& answer, std::vector<ChangeDone>* done);
  // The time of the present phase has passed, and the rest before the next round too.
  Sends expirePhase(const ReplicaSet& replicas, std::vector<ChangeDone>* done);
  void expireDeadline(const ReplicaSet& replicas, std::vector<ChangeDone>* done);
  bool isBusy() const { return isBusy_; }
  // Whether an answer to this request could still move the operation under way.
  bool isAwaiting(const Ballot& ballot, bool isAcceptPhase) const {
    return isBusy_ && ballot == ballot_ && isAcceptPhase == isAcceptPhase_;
  }
  Instant clock() const { return clock_; }
  // Of the operation begun last, which has a write id of its own.
  WriteId writeId() const {
    return WriteId{id_.value * kOperationIdsPerProposer + operationCount_};
  }
  std::string stateBytes() const;
  // The same in parts, as the product's proposer has them.
  std::string sharedBytes() const;
  std::string bytesHeardFrom(StoreId store) const { return proposer_.bytesHeardFrom(store); }

 private:
  std::string ownBytes() const;
  void trackRound(const Sends& sends);
  void trackCompletion(const std::vector<ChangeDone>& done);

  Proposer proposer_;
  ProposerId id_;
  Instant clock_{std::chrono::hours(1)};
  std::uint64_t operationCount_ = 0;
  bool isBusy_ = false;
  Ballot ballot_;  // of the round under way
  bool isAcceptPhase_ = false;
};

// Operations of different proposers never share an id, as in the product's messages, which go back
// to the address that asked.
std::uint64_t proposerIdOf(OperationId operation);

}  // namespace quayrill::model
