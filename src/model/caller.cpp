#include "model/caller.h"

namespace quayrill::model {

using namespace std::chrono_literals;

namespace {
constexpr std::size_t kRegisterBodyLimit = 1 << 20;
// Within the time that UpdateOperation reserves for the settling read.
constexpr Duration kTimeLeftForSettling = 100ms;

ReplicaSet onlyFirstMember(const ReplicaSet& replicas) {
  ReplicaSet firstOnly = replicas;
  firstOnly.members.resize(1);
  return firstOnly;
}
}  // namespace

Caller::Caller(const Configuration* configuration, std::size_t index, const ChosenValue& replicaSet)
    : configuration_(configuration), index_(index), proposer_(ProposerId{proposerId()}) {
  freshness_.learnChosen(kReplicaSetKey, replicaSet);
}

// First incarnations have ids from 10, reconfigurers from 50; each further incarnation adds 100.
std::uint64_t Caller::proposerId() const { return 10 + index_ + 100 * incarnation_; }

std::optional<std::size_t> Caller::nextChange() const {
  const auto& calls = configuration_->calls[index_];
  if (update_ || nextCall_ >= calls.size()) return std::nullopt;
  return calls[nextCall_];
}

void Caller::start(ChangeSet acknowledged, StepEffects* effects) {
  ++nextCall_;
  proposedWrites_.clear();
  isChangeDeadlinePassed_ = false;
  const bool treatsResendAsNew = configuration_->defect == Defect::ResendAsNew;
  update_.emplace(updateOf(configuration_->changes[change()], treatsResendAsNew),
                  kRegisterBodyLimit, kNever);
  advance(acknowledged, effects);
}

void Caller::advance(ChangeSet acknowledged, StepEffects* effects) {
  const Instant now = isChangeDeadlinePassed_ ? kNever - kTimeLeftForSettling : proposer_.clock();
  const auto request = update_->next(now);
  if (!request) {
    recordAnswer(update_->done()->result, effects);
    update_.reset();
    return;
  }
  isRead_ = request->isRead;
  acknowledgedBefore_ = acknowledged;
  const bool readsMinority = isRead_ && configuration_->defect == Defect::MinorityRead;
  Sends sends = proposer_.begin(
      *request, readsMinority ? onlyFirstMember(freshness_.replicas()) : freshness_.replicas());
  if (!isRead_) proposedWrites_.push_back(proposer_.writeId());
  effects->sends = std::move(sends);
}

void Caller::recordAnswer(UpdateResult result, StepEffects* effects) {
  Observation answered;
  answered.kind = Observation::Kind::ChangeAnswered;
  answered.change = change();
  answered.result = result;
  effects->observations.push_back(answered);
  const bool mayTakeEffect = result == UpdateResult::Applied ||
                             result == UpdateResult::AlreadyApplied ||
                             result == UpdateResult::Unknown;
  if (mayTakeEffect || proposedWrites_.empty()) return;
  Observation rejected;
  rejected.kind = Observation::Kind::WritesRejected;
  rejected.writes = proposedWrites_;
  effects->observations.push_back(rejected);
}

void Caller::onCompleted(const std::vector<ChangeOutcome>& done, ChangeSet acknowledged,
                         StepEffects* effects) {
  for (const ChangeOutcome& completed : done) {
    freshness_.adopt(completed.replicas);
    Observation observation;
    if (completed.result == ChangeResult::Chosen) {
      freshness_.learnChosen(completed.key, {completed.ballot, completed.value});
      observation.key = completed.key;
      observation.value = completed.value;
      observation.isRead = isRead_;
      observation.acknowledgedBefore = acknowledgedBefore_;
      effects->observations.push_back(observation);
    } else if (!isRead_ && completed.result != ChangeResult::Unknown) {
      observation.kind = Observation::Kind::WritesRejected;
      observation.writes = {proposedWrites_.back()};
      effects->observations.push_back(observation);
    }
    update_->onAnswer(completed);
    advance(acknowledged, effects);
  }
}

void Caller::answer(const ReplicaResponse& answer, ChangeSet acknowledged, StepEffects* effects) {
  std::vector<ChangeOutcome> done;
  effects->sends = proposer_.answer(answer, &done);
  freshness_.adopt(answer.replicas);
  onCompleted(done, acknowledged, effects);
}

void Caller::expirePhase(ChangeSet acknowledged, StepEffects* effects) {
  std::vector<ChangeOutcome> done;
  effects->sends = proposer_.expirePhase(freshness_.replicas(), &done);
  onCompleted(done, acknowledged, effects);
}

void Caller::expireDeadline(ChangeSet acknowledged, StepEffects* effects) {
  std::vector<ChangeOutcome> done;
  proposer_.expireDeadline(freshness_.replicas(), &done);
  isChangeDeadlinePassed_ = true;
  onCompleted(done, acknowledged, effects);
}

void Caller::crash() {
  ++incarnation_;
  proposer_ = TimedProposer(ProposerId{proposerId()});
  update_.reset();
  proposedWrites_.clear();
  isChangeDeadlinePassed_ = false;
}

const TimedProposer* Caller::proposer(std::uint64_t id) const {
  return id == proposerId() ? &proposer_ : nullptr;
}

std::string Caller::ownBytes() const {
  std::string bytes = "caller" + encodeValue(index_) + encodeValue(incarnation_) +
                      encodeValue(freshness_.replicas()) +
                      encodeValue(freshness_.confirmRequest({}, false)) +
                      encodeValue(freshness_.replicaSetVersion()) + encodeValue(nextCall_) +
                      encodeValue(proposedWrites_) + encodeValue(acknowledgedBefore_);
  for (const bool flag : {isRead_, isChangeDeadlinePassed_, update_.has_value()})
    bytes += flag ? '1' : '0';
  if (update_) bytes += update_->stateBytes();
  return bytes;
}

std::string Caller::sharedBytes() const { return ownBytes() + proposer_.sharedBytes(); }

std::string Caller::stateBytes() const { return ownBytes() + proposer_.stateBytes(); }

}  // namespace quayrill::model
