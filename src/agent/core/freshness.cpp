#include "agent/core/freshness.h"

#include <algorithm>

namespace quayrill {

namespace {
using namespace std::chrono_literals;
constexpr std::size_t kMaxRounds = 8;
// Every so many rounds all replicas are queried, to detect replicas that have become faster.
constexpr std::uint64_t kQueryAllEveryRounds = 16;
constexpr Duration kAnswerOverdueAfter = 150ms;
constexpr Duration kUnconfirmedLimit = 500ms;
constexpr Duration kMaxAnswerTime = 2s;
constexpr Duration kSilentAfter = 1s;
constexpr Duration kBodyRequestInterval =
    1s;  // allows for the transfer of a large body on a slow link

bool isWithoutBody(const ConfirmResponse& answer, const RegisterKey& key) {
  return std::find(answer.omittedBodies.begin(), answer.omittedBodies.end(), key) !=
         answer.omittedBodies.end();
}

bool isSameWrite(const RegisterValue& left, const RegisterValue& right) {
  return left.version == right.version && left.writeId == right.writeId;
}

const ConfirmedKey* find(const ConfirmResponse& answer, const RegisterKey& key) {
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

ConfirmRequest Freshness::confirmRequest(StoreId store, bool wantsKeys) const {
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
  if (!firstUnansweredAt_) firstUnansweredAt_ = now;
  round.wantsKeys = wantsKeys || !replicas_.settled;
  while (rounds_.size() > kMaxRounds) rounds_.erase(rounds_.begin());
  std::vector<ReplicaMember> order = replicas_.members;
  std::stable_sort(order.begin(), order.end(), [&](const ReplicaMember& a, const ReplicaMember& b) {
    return answerTime_[a.store] < answerTime_[b.store];
  });
  const bool unconfirmed = !confirmedAt_ || now - *confirmedAt_ > kUnconfirmedLimit;
  const bool all =
      askAll || unconfirmed || !replicas_.settled || sequence_ % kQueryAllEveryRounds == 0;
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
  requestBody(now, &sends);
  Round& round = rounds_.rbegin()->second;
  if (round.confirmed || (!round.unsettled && now - round.sentAt < kAnswerOverdueAfter))
    return sends;
  for (const ReplicaMember& member : replicas_.members) {
    if (round.asked.contains(member.store)) {
      Duration& answerTime = answerTime_[member.store];
      if (!round.answers.contains(member.store))
        answerTime = std::min(answerTime + kAnswerOverdueAfter, kMaxAnswerTime);
    }
  }
  for (const ReplicaMember& member : replicas_.members) {
    if (round.asked.insert(member.store).second)
      sends.emplace_back(member, confirmRequest(member.store, round.wantsKeys));
  }
  return sends;
}

// Updates `chosen` if a majority of the round accepted a newer value at one ballot. Returns Current
// if the round then shows nothing newer than `chosen`.
Freshness::Verdict Freshness::evaluate(const Round& round, const RegisterKey& key,
                                       ChosenValue* chosen) {
  std::map<Ballot, std::size_t> acceptCounts;
  const auto newer = [&](const ConfirmedKey& held) {
    return held.acceptedAt > chosen->ballot && !isSameWrite(held.value, chosen->value);
  };
  std::map<Ballot, std::vector<StoreId>> holders;
  for (const auto& [store, answer] : round.answers) {
    const ConfirmedKey* held = find(answer, key);
    if (!held || held->acceptedAt <= chosen->ballot) continue;
    holders[held->acceptedAt].push_back(store);
    if (++acceptCounts[held->acceptedAt] < majorityOf(replicas_)) continue;
    if (const auto value = completeValue(key, answer, *held, *chosen)) {
      learnChosen(key, {held->acceptedAt, *value});
    } else if (held->acceptedAt >= missingBodyBallot_) {
      missingBodyHolders_ = holders[held->acceptedAt];
      missingBodyBallot_ = held->acceptedAt;
    }
  }
  for (const auto& [store, answer] : round.answers) {
    const ConfirmedKey* held = find(answer, key);
    if (held && newer(*held)) return Verdict::Unsettled;
  }
  return Verdict::Current;
}

// The value that a replica accepted. A body that was omitted from the answer is filled in if it is
// known here; otherwise nullopt.
std::optional<RegisterValue> Freshness::completeValue(const RegisterKey& key,
                                                      const ConfirmResponse& answer,
                                                      const ConfirmedKey& held,
                                                      const ChosenValue& chosen) const {
  if (!isWithoutBody(answer, key)) return held.value;
  RegisterValue value = held.value;
  if (isSameWrite(value, chosen.value))
    value.body = chosen.value.body;
  else if (isSameWrite(value, newestBody_.value))
    value.body = newestBody_.value.body;
  else
    return std::nullopt;
  return value;
}

void Freshness::rememberBody(const ConfirmResponse& answer) {
  const ConfirmedKey* held = find(answer, kConfigurationKey);
  if (!held || isWithoutBody(answer, kConfigurationKey)) return;
  if (held->acceptedAt > newestBody_.ballot && held->value.version > 0)
    newestBody_ = {held->acceptedAt, held->value};
}

// Requests the missing body from one replica at a time, as all that accepted it have the same one.
void Freshness::requestBody(Instant now, Sends* sends) {
  if (missingBodyHolders_.empty()) return;
  // The interval applies to requests for the same ballot; a later change doesn't wait for it.
  if (now < nextBodyRequest_ && bodyRequestedFor_ == missingBodyBallot_) return;
  nextBodyRequest_ = now + kBodyRequestInterval;
  bodyRequestedFor_ = missingBodyBallot_;
  const StoreId holder =
      missingBodyHolders_[(sequence_ + bodyRequestCount_++) % missingBodyHolders_.size()];
  missingBodyHolders_.clear();
  for (const ReplicaMember& member : replicas_.members) {
    if (member.store != holder) continue;
    ConfirmRequest request = confirmRequest(member.store, false);
    request.wantsBodies = true;
    sends->emplace_back(member, request);
  }
}

void Freshness::onAnswer(const ConfirmResponse& answer, Instant now) {
  adopt(answer.replicas);
  const bool isMember =
      std::any_of(replicas_.members.begin(), replicas_.members.end(),
                  [&](const ReplicaMember& member) { return member.store == answer.store; });
  if (!isMember || answer.requestedStore != answer.store) return;
  // Ignores replicas of another fleet, and replicas that aren't members of their own set: these
  // answer without keys.
  if (answer.replicas.fleet != replicas_.fleet || answer.keys.empty()) return;
  // Bodies are useful even if their round is no longer tracked.
  rememberBody(answer);
  auto entry = rounds_.find(answer.sequence);
  if (entry == rounds_.end()) return;
  entry->second.answers[answer.store] = answer;
  Duration& answerTime = answerTime_[answer.store];
  answerTime = (answerTime * 3 + std::min(now - entry->second.sentAt, kMaxAnswerTime)) / 4;
  const Instant sentAt = entry->second.sentAt;
  const Round round = entry->second;
  for (const RegisterKey& key : answer.allKeys) {
    if (std::find(knownKeys_.begin(), knownKeys_.end(), key) == knownKeys_.end())
      knownKeys_.push_back(key);
  }
  const std::size_t needed = neededAnswers();
  if (round.answers.size() >= needed) firstUnansweredAt_.reset();
  bool current = true;
  const Epoch epochBefore = replicas_.epoch;
  for (const RegisterKey& key : {kReplicaSetKey, kConfigurationKey}) {
    if (evaluate(round, key, key == kConfigurationKey ? &configuration_ : &replicaSetValue_) ==
        Verdict::Unsettled) {
      current = false;
      unsettledSince_.try_emplace(key, now);
    } else if (round.answers.size() >= needed) {
      unsettledSince_.erase(key);
    }
    // The answers of the former set say nothing about majorities of the new one, which must be
    // queried first.
    if (replicas_.epoch != epochBefore) return;
  }
  entry->second.unsettled = !current;
  if (!current || round.answers.size() < needed) return;
  entry->second.confirmed = true;
  if (!confirmedAt_ || *confirmedAt_ < sentAt) confirmedAt_ = sentAt;
}

// Until the epoch is settled, a value may be chosen by a majority of the previous set only. A
// majority of the current set intersects those majorities too.
std::size_t Freshness::neededAnswers() const {
  return replicas_.settled ? readQuorumOf(replicas_) : majorityOf(replicas_);
}

bool Freshness::isRegisterSilent(Instant now) const {
  return firstUnansweredAt_ && now - *firstUnansweredAt_ >= kSilentAfter;
}

std::optional<std::vector<RegisterKey>> Freshness::majorityKeys() const {
  for (const auto& [sequence, round] : rounds_) {
    std::vector<RegisterKey> keys;
    std::size_t inEpoch = 0;
    for (const auto& [store, answer] : round.answers) {
      if (answer.replicas.epoch != replicas_.epoch || !answer.hasAllKeys) continue;
      ++inEpoch;
      keys.insert(keys.end(), answer.allKeys.begin(), answer.allKeys.end());
    }
    if (inEpoch >= majorityOf(replicas_)) return keys;
  }
  return std::nullopt;
}

std::optional<RegisterKey> Freshness::keyToSettle(Instant now, Duration patience) const {
  for (const auto& [key, since] : unsettledSince_) {
    if (now - since >= patience) return key;
  }
  return std::nullopt;
}

}  // namespace quayrill
