#include "model/caller.h"

namespace quayrill::model {

using namespace std::chrono_literals;

namespace {
constexpr std::size_t kBodyLimit = 1 << 20;
// Within the share of the product's Amending that is left for the settling read alone.
constexpr Span kLateBefore = 100ms;

ReplicaSet firstMemberOf(const ReplicaSet& replicas) {
  ReplicaSet one = replicas;
  one.members.resize(1);
  return one;
}
}  // namespace

Caller::Caller(const Configuration* configuration, std::size_t index, const ChosenValue& replicaSet)
    : configuration_(configuration), index_(index), proposer_(ProposerId{proposerId()}) {
  known_.learnChosen(kReplicaSetKey, replicaSet);
}

std::uint64_t Caller::proposerId() const { return 10 + index_ + 100 * life_; }

std::optional<std::size_t> Caller::nextOrder() const {
  const auto& calls = configuration_->calls[index_];
  if (amending_ || nextCall_ >= calls.size()) return std::nullopt;
  return calls[nextCall_];
}

void Caller::start(OrderSet acked, StepEffects* effects) {
  ++nextCall_;
  writes_.clear();
  isLate_ = false;
  const bool asNew = configuration_->plant == Plant::ResendAsNew;
  amending_.emplace(updateOf(configuration_->orders[order()], asNew), kBodyLimit, kNever);
  pump(acked, effects);
}

void Caller::pump(OrderSet acked, StepEffects* effects) {
  const Instant now = isLate_ ? kNever - kLateBefore : proposer_.clock();
  const auto asked = amending_->next(now);
  if (!asked) {
    report(amending_->done()->result, effects);
    amending_.reset();
    return;
  }
  isRead_ = asked->isRead;
  ackedBefore_ = acked;
  const bool minority = isRead_ && configuration_->plant == Plant::MinorityRead;
  Sends sends =
      proposer_.begin(*asked, minority ? firstMemberOf(known_.replicas()) : known_.replicas());
  if (!isRead_) writes_.push_back(proposer_.writeId());
  effects->sends = std::move(sends);
}

void Caller::report(UpdateResult result, StepEffects* effects) {
  Observed ended;
  ended.kind = Observed::Kind::OrderEnded;
  ended.order = order();
  ended.result = result;
  effects->observed.push_back(ended);
  const bool mayHold = result == UpdateResult::Taken || result == UpdateResult::AlreadyTaken ||
                       result == UpdateResult::Unknown;
  if (mayHold || writes_.empty()) return;
  Observed dead;
  dead.kind = Observed::Kind::DeadWrites;
  dead.writes = writes_;
  effects->observed.push_back(dead);
}

void Caller::take(const std::vector<ChangeOutcome>& done, OrderSet acked, StepEffects* effects) {
  for (const ChangeOutcome& ended : done) {
    known_.adopt(ended.replicas);
    Observed seen;
    if (ended.result == ChangeResult::Chosen) {
      known_.learnChosen(ended.key, {ended.ballot, ended.value});
      seen.key = ended.key;
      seen.value = ended.value;
      seen.isRead = isRead_;
      seen.ackedBefore = ackedBefore_;
      effects->observed.push_back(seen);
    } else if (!isRead_ && ended.result != ChangeResult::Unknown) {
      seen.kind = Observed::Kind::DeadWrites;
      seen.writes = {writes_.back()};
      effects->observed.push_back(seen);
    }
    amending_->onAnswer(ended);
    pump(acked, effects);
  }
}

void Caller::answer(const ReplicaAnswer& answer, OrderSet acked, StepEffects* effects) {
  std::vector<ChangeOutcome> done;
  effects->sends = proposer_.answer(answer, &done);
  known_.adopt(answer.replicas);
  take(done, acked, effects);
}

void Caller::passPhase(OrderSet acked, StepEffects* effects) {
  std::vector<ChangeOutcome> done;
  effects->sends = proposer_.passPhase(known_.replicas(), &done);
  take(done, acked, effects);
}

void Caller::passDeadline(OrderSet acked, StepEffects* effects) {
  std::vector<ChangeOutcome> done;
  proposer_.passDeadline(known_.replicas(), &done);
  isLate_ = true;
  take(done, acked, effects);
}

void Caller::die() {
  ++life_;
  proposer_ = TimedProposer(ProposerId{proposerId()});
  amending_.reset();
  writes_.clear();
  isLate_ = false;
}

const TimedProposer* Caller::proposer(std::uint64_t id) const {
  return id == proposerId() ? &proposer_ : nullptr;
}

std::string Caller::ownBytes() const {
  std::string bytes =
      "caller" + encodeValue(index_) + encodeValue(life_) + encodeValue(known_.replicas()) +
      encodeValue(known_.confirmRequest({}, false)) + encodeValue(known_.replicaSetVersion()) +
      encodeValue(nextCall_) + encodeValue(writes_) + encodeValue(ackedBefore_);
  for (const bool flag : {isRead_, isLate_, amending_.has_value()}) bytes += flag ? '1' : '0';
  if (amending_) bytes += amending_->stateBytes();
  return bytes;
}

std::string Caller::sharedBytes() const { return ownBytes() + proposer_.sharedBytes(); }

std::string Caller::stateBytes() const { return ownBytes() + proposer_.stateBytes(); }

}  // namespace quayrill::model
