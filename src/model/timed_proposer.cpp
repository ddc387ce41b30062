#include "model/timed_proposer.h"

namespace quayrill::model {

using namespace std::chrono_literals;

namespace {
constexpr Duration kClockAdvance = 1s;  // longer than any phase, pause or retransmission interval
constexpr std::uint64_t kSeed = 1;      // the jitter only affects how long a pause is
}  // namespace

std::uint64_t proposerIdOf(OperationId operation) {
  return operation.value / kOperationIdsPerProposer;
}

TimedProposer::TimedProposer(ProposerId id) : proposer_(id, kSeed), id_(id) {}

void TimedProposer::trackRound(const Sends& sends) {
  if (sends.empty()) return;
  const Message& message = sends.front().second;
  if (const auto* prepare = std::get_if<Prepare>(&message)) {
    ballot_ = prepare->ballot;
    isAcceptPhase_ = false;
  }
  if (const auto* accept = std::get_if<Accept>(&message)) {
    ballot_ = accept->ballot;
    isAcceptPhase_ = true;
  }
}

void TimedProposer::trackCompletion(const std::vector<ChangeOutcome>& done) {
  if (!done.empty()) isBusy_ = false;
}

Sends TimedProposer::begin(ChangeRequest change, const ReplicaSet& replicas) {
  change.operation = OperationId{id_.value * kOperationIdsPerProposer + ++operationCount_};
  change.writeId = WriteId{change.operation.value};
  change.deadline = kNever;
  isBusy_ = true;
  Sends sends = proposer_.begin(change, replicas, clock_);
  trackRound(sends);
  return sends;
}

Sends TimedProposer::answer(const ReplicaResponse& answer, std::vector<ChangeOutcome>* done) {
  Sends sends = proposer_.onAnswer(answer, clock_, done);
  trackRound(sends);
  trackCompletion(*done);
  return sends;
}

Sends TimedProposer::expirePhase(const ReplicaSet& replicas, std::vector<ChangeOutcome>* done) {
  clock_ += kClockAdvance;
  Sends sends = proposer_.onTick(replicas, clock_, done);
  if (sends.empty() && done->empty()) {
    clock_ += kClockAdvance;
    sends = proposer_.onTick(replicas, clock_, done);
  }
  trackRound(sends);
  trackCompletion(*done);
  return sends;
}

void TimedProposer::expireDeadline(const ReplicaSet& replicas, std::vector<ChangeOutcome>* done) {
  proposer_.onTick(replicas, kNever, done);
  trackCompletion(*done);
}

// The clock is left out: the operation's times are relative to the same clock, and every advance
// passes all of them.
std::string TimedProposer::ownBytes() const {
  return encodeValue(operationCount_) + (isBusy_ ? '1' : '0') + encodeValue(ballot_) +
         (isAcceptPhase_ ? '1' : '0');
}

std::string TimedProposer::sharedBytes() const { return proposer_.sharedBytes() + ownBytes(); }

std::string TimedProposer::stateBytes() const { return proposer_.stateBytes() + ownBytes(); }

}  // namespace quayrill::model
