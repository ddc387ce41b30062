#include "agent/core/freshness.h"

#include <algorithm>

namespace quayrill {

namespace {
using namespace std::chrono_literals;
constexpr std::size_t kRounds = 8;
constexpr std::uint64_t kAskAllEvery = 16;  // rounds: so that a replica that became fast is found
constexpr Span kAnswerOverdue = 150ms;
constexpr Span kUnconfirmedSpan = 500ms;
constexpr Span kSlowest = 2s;
constexpr Span kBodyEvery = 1s;  // ours: a body may take as long on a slow link

bool isWithoutBody(const ConfirmAnswer& answer, const RegisterKey& key) {
  return std::find(answer.withoutBody.begin(), answer.withoutBody.end(), key) !=
         answer.withoutBody.end();
}

bool isSameWrite(const RegisterValue& left, const RegisterValue& right) {
  return left.version == right.version && left.writeId == right.writeId;
}

const ConfirmedKey* find(const ConfirmAnswer& answer, const RegisterKey& key) {
  for (const ConfirmedKey& held : answer.keys) {
    if (held.key == key) return &held;
  }
  return nullptr;
}
}  // namespace

bool Freshness::adopt(const ReplicaSet& replicas) {
  if (replicas.members.empty() || replicas.epoch < replicas_.epoch) return false;
  if (replicas.epoch == replicas_.epoch && (replicas_.settled || !replicas.settled)) return false;
  if (replicas.epoch > replicas_.epoch) rounds_.clear();
  replicas_ = replicas;
  return true;
}

void Freshness::learnChosen(const RegisterKey& key, const ChosenValue& chosen) {
  if (key != kConfigurationKey && key != kReplicaSetKey) return;
  ChosenValue& held = key == kConfigurationKey ? configuration_ : replicaSetValue_;
  unsettledSince_.erase(key);
  if (chosen.value.version < held.value.version || chosen.ballot < held.ballot) return;
  held = chosen;
  if (key == kReplicaSetKey) {
    ReplicaSet replicas;
    if (!chosen.value.body.empty() && decodeValue(chosen.value.body, &replicas)) adopt(replicas);
  }
}

Confirm Freshness::confirmRequest(StoreId store, bool wantsKeys) const {
  return {sequence_,
          store,
          {{kReplicaSetKey, replicaSetValue_.ballot}, {kConfigurationKey, configuration_.ballot}},
          replicas_.epoch,
          replicas_.fleet,
          replicas_.settled,
          wantsKeys,
          false};
}

Freshness::Sends Freshness::beginRound(Instant now, bool askAll, bool wantsKeys) {
  Round& round = rounds_[++sequence_];
  round.sentAt = now;
  round.wantsKeys = wantsKeys || !replicas_.settled;
  while (rounds_.size() > kRounds) rounds_.erase(rounds_.begin());
  std::vector<ReplicaMember> order = replicas_.members;
  std::stable_sort(order.begin(), order.end(), [&](const ReplicaMember& a, const ReplicaMember& b) {
    return answerSpan_[a.store] < answerSpan_[b.store];
  });
  const bool unconfirmed = !confirmedAt_ || now - *confirmedAt_ > kUnconfirmedSpan;
  const bool all = askAll || unconfirmed || !replicas_.settled || sequence_ % kAskAllEvery == 0;
  if (!all) order.resize(readQuorumOf(replicas_));
  Sends sends;
  for (const ReplicaMember& member : order) {
    round.asked.insert(member.store);
    sends.emplace_back(member, confirmRequest(member.store, round.wantsKeys));
  }
  return sends;
}

Freshness::Sends Freshness::widenRound(Instant now) {
  Sends sends;
  if (rounds_.empty()) return sends;
  askBody(now, &sends);
  Round& round = rounds_.rbegin()->second;
  if (round.confirmed || (!round.unsettled && now - round.sentAt < kAnswerOverdue)) return sends;
  for (const ReplicaMember& member : replicas_.members) {
    if (round.asked.contains(member.store)) {
      Span& span = answerSpan_[member.store];
      if (!round.answers.contains(member.store)) span = std::min(span + kAnswerOverdue, kSlowest);
    }
  }
  for (const ReplicaMember& member : replicas_.members) {
    if (round.asked.insert(member.store).second)
      sends.emplace_back(member, confirmRequest(member.store, round.wantsKeys));
  }
  return sends;
}

// Current: nothing in the round is newer than the chosen value, which a majority at one ballot in
// this round may just have become.
Freshness::Verdict Freshness::judge(const Round& round, const RegisterKey& key,
                                    ChosenValue* chosen) {
  std::map<Ballot, std::size_t> counts;
  const auto newer = [&](const ConfirmedKey& held) {
    return held.acceptedAt > chosen->ballot && !isSameWrite(held.value, chosen->value);
  };
  std::map<Ballot, std::vector<StoreId>> lacking;
  for (const auto& [store, answer] : round.answers) {
    const ConfirmedKey* held = find(answer, key);
    if (!held || held->acceptedAt <= chosen->ballot) continue;
    lacking[held->acceptedAt].push_back(store);
    if (++counts[held->acceptedAt] < majorityOf(replicas_)) continue;
    if (const auto value = wholeValue(key, answer, *held, *chosen)) {
      learnChosen(key, {held->acceptedAt, *value});
    } else if (held->acceptedAt >= bodyBallot_) {
      bodyHolders_ = lacking[held->acceptedAt];
      bodyBallot_ = held->acceptedAt;
    }
  }
  for (const auto& [store, answer] : round.answers) {
    const ConfirmedKey* held = find(answer, key);
    if (held && newer(*held)) return Verdict::Unsettled;
  }
  return Verdict::Current;
}

// What a replica accepted, with the body that its answer left out where that is known here.
std::optional<RegisterValue> Freshness::wholeValue(const RegisterKey& key,
                                                   const ConfirmAnswer& answer,
                                                   const ConfirmedKey& held,
                                                   const ChosenValue& chosen) const {
  if (!isWithoutBody(answer, key)) return held.value;
  RegisterValue value = held.value;
  if (isSameWrite(value, chosen.value))
    value.body = chosen.value.body;
  else if (isSameWrite(value, body_.value))
    value.body = body_.value.body;
  else
    return std::nullopt;
  return value;
}

void Freshness::keepBodies(const ConfirmAnswer& answer) {
  const ConfirmedKey* held = find(answer, kConfigurationKey);
  if (!held || isWithoutBody(answer, kConfigurationKey)) return;
  if (held->acceptedAt > body_.ballot && held->value.version > 0)
    body_ = {held->acceptedAt, held->value};
}

// One replica at a time: the body is the same at each of those that accepted it.
void Freshness::askBody(Instant now, Sends* sends) {
  if (bodyHolders_.empty()) return;
  // A later change does not wait for the pause after the one before it.
  if (now < nextBody_ && bodyAskedFor_ == bodyBallot_) return;
  nextBody_ = now + kBodyEvery;
  bodyAskedFor_ = bodyBallot_;
  const StoreId chosen = bodyHolders_[(sequence_ + bodiesAsked_++) % bodyHolders_.size()];
  bodyHolders_.clear();
  for (const ReplicaMember& member : replicas_.members) {
    if (member.store != chosen) continue;
    Confirm asked = confirmRequest(member.store, false);
    asked.wantsBodies = true;
    sends->emplace_back(member, asked);
  }
}

void Freshness::onAnswer(const ConfirmAnswer& answer, Instant now) {
  adopt(answer.replicas);
  const bool isMember =
      std::any_of(replicas_.members.begin(), replicas_.members.end(),
                  [&](const ReplicaMember& member) { return member.store == answer.store; });
  if (!isMember || answer.asked != answer.store) return;
  // What a replica of another fleet holds says nothing about this one, nor what a replica says that
  // is no member by its own set.
  if (answer.replicas.fleet != replicas_.fleet || answer.keys.empty()) return;
  // A body of an earlier round is as good as one of a round that is still open.
  keepBodies(answer);
  auto entry = rounds_.find(answer.sequence);
  if (entry == rounds_.end()) return;
  entry->second.answers[answer.store] = answer;
  Span& span = answerSpan_[answer.store];
  span = (span * 3 + std::min(now - entry->second.sentAt, kSlowest)) / 4;
  const Instant sentAt = entry->second.sentAt;
  const Round round = entry->second;
  for (const RegisterKey& key : answer.allKeys) {
    if (std::find(knownKeys_.begin(), knownKeys_.end(), key) == knownKeys_.end())
      knownKeys_.push_back(key);
  }
  // Until the epoch is settled, a value may still stand on a majority of the older set alone; a
  // majority of this one meets those too.
  const std::size_t enough = replicas_.settled ? readQuorumOf(replicas_) : majorityOf(replicas_);
  bool current = true;
  const Epoch epochBefore = replicas_.epoch;
  for (const RegisterKey& key : {kReplicaSetKey, kConfigurationKey}) {
    if (judge(round, key, key == kConfigurationKey ? &configuration_ : &replicaSetValue_) ==
        Verdict::Unsettled) {
      current = false;
      unsettledSince_.try_emplace(key, now);
    } else if (round.answers.size() >= enough) {
      unsettledSince_.erase(key);
    }
  }
  if (replicas_.epoch != epochBefore) return;  // ask the new set before vouching for anything
  entry->second.unsettled = !current;
  if (!current || round.answers.size() < enough) return;
  entry->second.confirmed = true;
  if (!confirmedAt_ || *confirmedAt_ < sentAt) confirmedAt_ = sentAt;
}

std::optional<std::vector<RegisterKey>> Freshness::majorityKeys() const {
  for (const auto& [sequence, round] : rounds_) {
    std::vector<RegisterKey> keys;
    std::size_t inEpoch = 0;
    for (const auto& [store, answer] : round.answers) {
      if (answer.replicas.epoch != replicas_.epoch || !answer.listsKeys) continue;
      ++inEpoch;
      keys.insert(keys.end(), answer.allKeys.begin(), answer.allKeys.end());
    }
    if (inEpoch >= majorityOf(replicas_)) return keys;
  }
  return std::nullopt;
}

std::optional<RegisterKey> Freshness::keyToSettle(Instant now, Span patience) const {
  for (const auto& [key, since] : unsettledSince_) {
    if (now - since >= patience) return key;
  }
  return std::nullopt;
}

}  // namespace quayrill
