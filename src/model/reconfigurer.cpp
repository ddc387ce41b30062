#include "model/reconfigurer.h"

namespace quayrill::model {

namespace {
std::size_t proposerFor(const RegisterKey& key) { return key == kReplicaSetKey ? 0 : 1; }
}  // namespace

Reconfigurer::Reconfigurer(const Configuration* configuration, std::size_t index,
                           const ChosenValue& replicaSet)
    : configuration_(configuration), index_(index), isRead_(kProposers, false) {
  for (std::size_t i = 0; i < kProposers; ++i) proposers_.push_back(makeProposer(i));
  freshness_.learnChosen(kReplicaSetKey, replicaSet);
}

// First incarnations have ids from 50, callers from 10; each further incarnation adds 100.
std::uint64_t Reconfigurer::proposerId(std::size_t proposer) const {
  return 50 + kProposers * index_ + proposer + 100 * incarnation_;
}

TimedProposer Reconfigurer::makeProposer(std::size_t proposer) const {
  return TimedProposer(ProposerId{proposerId(proposer)});
}

void Reconfigurer::begin(const ChangeRequest& request, StepEffects* effects) {
  const std::size_t proposer = proposerFor(request.key);
  if (proposers_[proposer].isBusy()) return;
  isRead_[proposer] = request.isRead;
  for (auto& send : proposers_[proposer].begin(request, freshness_.replicas()))
    effects->sends.push_back(std::move(send));
}

void Reconfigurer::step(const std::optional<std::vector<RegisterKey>>& listed,
                        const std::optional<ReplicaSet>& nextReplicaSet, StepEffects* effects) {
  if (needsRead_) {
    begin({{}, kReplicaSetKey, true, 0, {}, {}, {}}, effects);
    return;
  }
  ReplicaSet replicas = freshness_.replicas();
  if (configuration_->defect == Defect::UnsettledEpoch) replicas.settled = true;
  const Instant now = proposers_[0].clock();
  const auto requests =
      sweep_.next(replicas, freshness_.replicaSetVersion(), listed, nextReplicaSet, now);
  for (const ChangeRequest& request : requests) begin(request, effects);
}

void Reconfigurer::onCompleted(std::size_t proposer, const std::vector<ChangeOutcome>& done,
                               StepEffects* effects) {
  for (const ChangeOutcome& completed : done) {
    freshness_.adopt(completed.replicas);
    const bool isChosen = completed.result == ChangeResult::Chosen;
    if (isChosen) {
      freshness_.learnChosen(completed.key, {completed.ballot, completed.value});
      Observation observation;
      observation.key = completed.key;
      observation.value = completed.value;
      effects->observations.push_back(observation);
    }
    if (isRead_[proposer] && !needsRead_) sweep_.onReadDone(completed);
    if (completed.key == kReplicaSetKey)
      needsRead_ = !isChosen && (needsRead_ || !isRead_[proposer]);
  }
}

void Reconfigurer::answer(const ReplicaResponse& answer, StepEffects* effects) {
  for (std::size_t i = 0; i < kProposers; ++i) {
    if (proposerIdOf(answer.operation) != proposerId(i)) continue;
    std::vector<ChangeOutcome> done;
    effects->sends = proposers_[i].answer(answer, &done);
    freshness_.adopt(answer.replicas);
    onCompleted(i, done, effects);
  }
}

void Reconfigurer::expirePhase(std::size_t proposer, StepEffects* effects) {
  std::vector<ChangeOutcome> done;
  effects->sends = proposers_[proposer].expirePhase(freshness_.replicas(), &done);
  onCompleted(proposer, done, effects);
}

void Reconfigurer::expireDeadline(std::size_t proposer, StepEffects* effects) {
  std::vector<ChangeOutcome> done;
  proposers_[proposer].expireDeadline(freshness_.replicas(), &done);
  onCompleted(proposer, done, effects);
}

void Reconfigurer::crash() {
  ++incarnation_;
  for (std::size_t i = 0; i < kProposers; ++i) proposers_[i] = makeProposer(i);
  sweep_ = EpochSweep();
  needsRead_ = false;
}

const TimedProposer* Reconfigurer::proposer(std::uint64_t id) const {
  for (std::size_t i = 0; i < kProposers; ++i) {
    if (id == proposerId(i)) return &proposers_[i];
  }
  return nullptr;
}

std::string Reconfigurer::ownBytes() const {
  std::string bytes =
      "mover" + encodeValue(index_) + encodeValue(incarnation_) +
      encodeValue(freshness_.replicas()) + encodeValue(freshness_.confirmRequest({}, false)) +
      encodeValue(freshness_.replicaSetVersion()) + sweep_.stateBytes() + (needsRead_ ? '1' : '0');
  for (const bool isRead : isRead_) bytes += isRead ? '1' : '0';
  return bytes;
}

std::string Reconfigurer::sharedBytes() const {
  std::string bytes = ownBytes();
  for (const TimedProposer& proposer : proposers_) bytes += proposer.sharedBytes();
  return bytes;
}

std::string Reconfigurer::bytesOfAnswersFrom(StoreId store) const {
  std::string bytes;
  for (const TimedProposer& proposer : proposers_) bytes += proposer.bytesOfAnswersFrom(store);
  return bytes;
}

std::string Reconfigurer::stateBytes() const {
  std::string bytes = ownBytes();
  for (const TimedProposer& proposer : proposers_) bytes += proposer.stateBytes();
  return bytes;
}

}  // namespace quayrill::model
