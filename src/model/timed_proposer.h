#pragma once
// The production proposer with the model's abstract clock: an event states that a phase or an
// operation times out, and the clock advances far enough for that.
#include <string>

#include "register/proposer.h"

namespace quayrill::model {

using Sends = std::vector<std::pair<ReplicaMember, Message>>;

// Later than the clock ever gets, so that deadlines pass only by their own event.
inline constexpr Instant kNever{std::chrono::hours(100000)};

// An operation id is the proposer's id times this, plus a counter.
inline constexpr std::uint64_t kOperationIdsPerProposer = 1000;

// Runs one operation at a time on one proposer.
class TimedProposer {
 public:
  explicit TimedProposer(ProposerId id);

  // Starts an operation, with the next id of this proposer.
  Sends begin(ChangeRequest change, const ReplicaSet& replicas);
  Sends answer(const ReplicaResponse& answer, std::vector<ChangeOutcome>* done);
  // The present phase times out, and so does the pause before the next round.
  Sends expirePhase(const ReplicaSet& replicas, std::vector<ChangeOutcome>* done);
  // The deadline of the operation passes.
  void expireDeadline(const ReplicaSet& replicas, std::vector<ChangeOutcome>* done);
  bool isBusy() const { return isBusy_; }
  // True if an answer to a request of this ballot and phase can still affect the operation in
  // progress.
  bool isAwaiting(const Ballot& ballot, bool isAcceptPhase) const {
    return isBusy_ && ballot == ballot_ && isAcceptPhase == isAcceptPhase_;
  }
  Instant clock() const { return clock_; }
  // The write id of the operation that began last; no two operations share one.
  WriteId writeId() const {
    return WriteId{id_.value * kOperationIdsPerProposer + operationCount_};
  }
  // The state as canonical bytes; and split in two as in Proposer, for the symmetry reduction: what
  // does not depend on single replicas, and what one replica answered.
  std::string stateBytes() const;
  std::string sharedBytes() const;
  std::string bytesOfAnswersFrom(StoreId store) const {
    return proposer_.bytesOfAnswersFrom(store);
  }

 private:
  std::string ownBytes() const;
  // Take ballot_, isAcceptPhase_ and isBusy_ from what the proposer sent and completed.
  void trackRound(const Sends& sends);
  void trackCompletion(const std::vector<ChangeOutcome>& done);

  Proposer proposer_;
  ProposerId id_;
  Instant clock_{std::chrono::hours(1)};
  std::uint64_t operationCount_ = 0;
  bool isBusy_ = false;
  Ballot ballot_;  // of the round in progress
  bool isAcceptPhase_ = false;
};

// The proposer that an operation id belongs to. It stands for the sender's address, to which
// answers are sent in production.
std::uint64_t proposerIdOf(OperationId operation);

}  // namespace quayrill::model
