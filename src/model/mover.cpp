#include "model/mover.h"

namespace quayrill::model {

namespace {
std::size_t proposerFor(const RegisterKey& key) { return key == kReplicaSetKey ? 0 : 1; }
}  // namespace

Mover::Mover(const Configuration* configuration, std::size_t index, const ChosenValue& replicaSet)
    : configuration_(configuration), index_(index), isRead_(kProposers, false) {
  for (std::size_t i = 0; i < kProposers; ++i) proposers_.push_back(madeProposer(i));
  known_.learnChosen(kReplicaSetKey, replicaSet);
}

std::uint64_t Mover::proposerId(std::size_t proposer) const {
  return 50 + kProposers * index_ + proposer + 100 * life_;
}

TimedProposer Mover::madeProposer(std::size_t proposer) const {
  return TimedProposer(ProposerId{proposerId(proposer)});
}

void Mover::begin(const ChangeRequest& ask, StepEffects* effects) {
  const std::size_t proposer = proposerFor(ask.key);
  if (proposers_[proposer].isBusy()) return;
  isRead_[proposer] = ask.isRead;
  for (auto& send : proposers_[proposer].begin(ask, known_.replicas()))
    effects->sends.push_back(std::move(send));
}

void Mover::step(const std::optional<std::vector<RegisterKey>>& listed,
                 const std::optional<ReplicaSet>& following, StepEffects* effects) {
  if (wantsRead_) {
    begin({{}, kReplicaSetKey, true, 0, {}, {}, {}}, effects);
    return;
  }
  ReplicaSet replicas = known_.replicas();
  if (configuration_->plant == Plant::UnsettledEpoch) replicas.settled = true;
  const Instant now = proposers_[0].clock();
  const auto asks = sweep_.next(replicas, known_.replicaSetVersion(), listed, following, now);
  for (const ChangeRequest& ask : asks) begin(ask, effects);
}

void Mover::take(std::size_t proposer, const std::vector<ChangeOutcome>& done,
                 StepEffects* effects) {
  for (const ChangeOutcome& ended : done) {
    known_.adopt(ended.replicas);
    const bool isChosen = ended.result == ChangeResult::Chosen;
    if (isChosen) {
      known_.learnChosen(ended.key, {ended.ballot, ended.value});
      Observed seen;
      seen.key = ended.key;
      seen.value = ended.value;
      effects->observed.push_back(seen);
    }
    if (isRead_[proposer] && !wantsRead_) sweep_.onReadDone(ended);
    if (ended.key == kReplicaSetKey) wantsRead_ = !isChosen && (wantsRead_ || !isRead_[proposer]);
  }
}

void Mover::answer(const ReplicaAnswer& answer, StepEffects* effects) {
  for (std::size_t i = 0; i < kProposers; ++i) {
    if (proposerOf(answer.operation) != proposerId(i)) continue;
    std::vector<ChangeOutcome> done;
    effects->sends = proposers_[i].answer(answer, &done);
    known_.adopt(answer.replicas);
    take(i, done, effects);
  }
}

void Mover::passPhase(std::size_t proposer, StepEffects* effects) {
  std::vector<ChangeOutcome> done;
  effects->sends = proposers_[proposer].passPhase(known_.replicas(), &done);
  take(proposer, done, effects);
}

void Mover::passDeadline(std::size_t proposer, StepEffects* effects) {
  std::vector<ChangeOutcome> done;
  proposers_[proposer].passDeadline(known_.replicas(), &done);
  take(proposer, done, effects);
}

void Mover::die() {
  ++life_;
  for (std::size_t i = 0; i < kProposers; ++i) proposers_[i] = madeProposer(i);
  sweep_ = EpochSweep();
  wantsRead_ = false;
}

const TimedProposer* Mover::proposer(std::uint64_t id) const {
  for (std::size_t i = 0; i < kProposers; ++i) {
    if (id == proposerId(i)) return &proposers_[i];
  }
  return nullptr;
}

std::string Mover::ownBytes() const {
  std::string bytes =
      "mover" + encodeValue(index_) + encodeValue(life_) + encodeValue(known_.replicas()) +
      encodeValue(known_.confirmRequest({}, false)) + encodeValue(known_.replicaSetVersion()) +
      sweep_.stateBytes() + (wantsRead_ ? '1' : '0');
  for (const bool isRead : isRead_) bytes += isRead ? '1' : '0';
  return bytes;
}

std::string Mover::sharedBytes() const {
  std::string bytes = ownBytes();
  for (const TimedProposer& proposer : proposers_) bytes += proposer.sharedBytes();
  return bytes;
}

std::string Mover::bytesOfAnswersFrom(StoreId store) const {
  std::string bytes;
  for (const TimedProposer& proposer : proposers_) bytes += proposer.bytesOfAnswersFrom(store);
  return bytes;
}

std::string Mover::stateBytes() const {
  std::string bytes = ownBytes();
  for (const TimedProposer& proposer : proposers_) bytes += proposer.stateBytes();
  return bytes;
}

}  // namespace quayrill::model
