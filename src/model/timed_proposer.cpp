#include "model/timed_proposer.h"

namespace quayrill::model {

using namespace std::chrono_literals;

namespace {
constexpr Duration kLeap = 1s;  // longer than any phase, rest or repeat of the product's proposer
constexpr std::uint64_t kSeed = 1;  // the jitter says only how long a rest is
}  // namespace

std::uint64_t proposerOf(OperationId operation) { return operation.value / kOperationsEach; }

TimedProposer::TimedProposer(ProposerId id) : proposer_(id, kSeed), id_(id) {}

void TimedProposer::note(const Sends& sends) {
  if (sends.empty()) return;
  const Message& message = sends.front().second;
  if (const auto* prepare = std::get_if<Prepare>(&message)) {
    ballot_ = prepare->ballot;
    accepting_ = false;
  }
  if (const auto* accept = std::get_if<Accept>(&message)) {
    ballot_ = accept->ballot;
    accepting_ = true;
  }
}

void TimedProposer::end(const std::vector<ChangeOutcome>& done) {
  if (!done.empty()) isBusy_ = false;
}

Sends TimedProposer::begin(ChangeRequest change, const ReplicaSet& replicas) {
  change.operation = OperationId{id_.value * kOperationsEach + ++operations_};
  change.writeId = WriteId{change.operation.value};
  change.deadline = kNever;
  isBusy_ = true;
  Sends sends = proposer_.begin(change, replicas, clock_);
  note(sends);
  return sends;
}

Sends TimedProposer::answer(const ReplicaResponse& answer, std::vector<ChangeOutcome>* done) {
  Sends sends = proposer_.onAnswer(answer, clock_, done);
  note(sends);
  end(*done);
  return sends;
}

Sends TimedProposer::passPhase(const ReplicaSet& replicas, std::vector<ChangeOutcome>* done) {
  clock_ += kLeap;
  Sends sends = proposer_.onTick(replicas, clock_, done);
  if (sends.empty() && done->empty()) {
    clock_ += kLeap;
    sends = proposer_.onTick(replicas, clock_, done);
  }
  note(sends);
  end(*done);
  return sends;
}

void TimedProposer::passDeadline(const ReplicaSet& replicas, std::vector<ChangeOutcome>* done) {
  proposer_.onTick(replicas, kNever, done);
  end(*done);
}

// The clock is left out: the operation's times were set by the same clock, and all that is ever
// asked of them is whether a leap passes them, which each does.
std::string TimedProposer::ownBytes() const {
  return encodeValue(operations_) + (isBusy_ ? '1' : '0') + encodeValue(ballot_) +
         (accepting_ ? '1' : '0');
}

std::string TimedProposer::sharedBytes() const { return proposer_.sharedBytes() + ownBytes(); }

std::string TimedProposer::stateBytes() const { return proposer_.stateBytes() + ownBytes(); }

}  // namespace quayrill::model
