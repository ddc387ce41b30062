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

std::optional<std::size_t> Caller::nextChange() const {
  const auto& calls = configuration_->calls[index_];
  if (amending_ || nextCall_ >= calls.size()) return std::nullopt;
  return calls[nextCall_];
}

void Caller::start(ChangeSet acked, StepEffects* effects) {
  ++nextCall_;
  writes_.clear();
  isLate_ = false;
  const bool asNew = configuration_->defect == Defect::ResendAsNew;
  amending_.emplace(updateOf(configuration_->changes[change()], asNew), kBodyLimit, kNever);
  pump(acked, effects);
}

void Caller::pump(ChangeSet acked, StepEffects* effects) {
  const Instant now = isLate_ ? kNever - kLateBefore : proposer_.clock();
  const auto asked = amending_->next(now);
  if (!asked) {
    report(amending_->done()->result, effects);
    amending_.reset();
    return;
  }
  isRead_ = asked->isRead;
  ackedBefore_ = acked;
  const bool minority = isRead_ && configuration_->defect == Defect::MinorityRead;
  Sends sends =
      proposer_.begin(*asked, minority ? firstMemberOf(known_.replicas()) : known_.replicas());
  if (!isRead_) writes_.push_back(proposer_.writeId());
  effects->sends = std::move(sends);
}

void Caller::report(UpdateResult result, StepEffects* effects) {
  Observation ended;
  ended.kind = Observation::Kind::ChangeAnswered;
  ended.change = change();
  ended.result = result;
  effects->observations.push_back(ended);
  const bool mayHold = result == UpdateResult::Taken || result == UpdateResult::AlreadyTaken ||
                       result == UpdateResult::Unknown;
  if (mayHold || writes_.empty()) return;
  Observation dead;
  dead.kind = Observation::Kind::DeadWrites;
  dead.writes = writes_;
  effects->observations.push_back(dead);
}

void Caller::take(const std::vector<ChangeDone>& done, ChangeSet acked, StepEffects* effects) {
  for (const ChangeDone& ended : done) {
    known_.adopt(ended.replicas);
    Observation observation;
    if (ended.result == ChangeResult::Chosen) {
      known_.learnChosen(ended.key, {ended.ballot, ended.value});
      observation.key = ended.key;
      observation.value = ended.value;
      observation.isRead = isRead_;
      observation.ackedBefore = ackedBefore_;
      effects->observations.push_back(observation);
    } else if (!isRead_ && ended.result != ChangeResult::Unknown) {
      observation.kind = Observation::Kind::DeadWrites;
      observation.writes = {writes_.back()};
      effects->observations.push_back(observation);
    }
    amending_->onAnswer(ended);
    pump(acked, effects);
  }
}

void Caller::answer(const ReplicaAnswer& answer, ChangeSet acked, StepEffects* effects) {
  std::vector<ChangeDone> done;
  effects->sends = proposer_.answer(answer, &done);
  known_.adopt(answer.replicas);
  take(done, acked, effects);
}

void Caller::passPhase(ChangeSet acked, StepEffects* effects) {
  std::vector<ChangeDone> done;
  effects->sends = proposer_.passPhase(known_.replicas(), &done);
  take(done, acked, effects);
}

void Caller::passDeadline(ChangeSet acked, StepEffects* effects) {
  std::vector<ChangeDone> done;
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
  std::string bytes = "caller" + encodeValue(index_) + encodeValue(life_) +
                      encodeValue(known_.replicas()) + encodeValue(known_.question({}, false)) +
                      encodeValue(known_.replicaSetVersion()) + encodeValue(nextCall_) +
                      encodeValue(writes_) + encodeValue(ackedBefore_);
  for (const bool flag : {isRead_, isLate_, amending_.has_value()}) bytes += flag ? '1' : '0';
  if (amending_) bytes += amending_->stateBytes();
  return bytes;
}

std::string Caller::sharedBytes() const { return ownBytes() + proposer_.sharedBytes(); }

std::string Caller::stateBytes() const { return ownBytes() + proposer_.stateBytes(); }

}  // namespace quayrill::model
