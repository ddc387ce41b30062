#include "agent/core/freshness.h"

#include <algorithm>

namespace quayrill {

namespace {
constexpr std::size_t kRounds = 8;

const ConfirmedKey* find(const ConfirmAnswer& answer, const RegisterKey& key) {
  for (const ConfirmedKey& held : answer.keys) {
    if (held.key == key) return &held;
  }
  return nullptr;
}
}  // namespace

bool Freshness::adopt(const CopySet& copies) {
  if (copies.epoch < copies_.epoch) return false;
  if (copies.epoch == copies_.epoch && (copies_.settled || !copies.settled)) return false;
  if (copies.epoch > copies_.epoch) rounds_.clear();
  copies_ = copies;
  return true;
}

void Freshness::learnChosen(const RegisterKey& key, const ChosenValue& chosen) {
  if (key != kSpecKey && key != kCopySetKey) return;
  ChosenValue& held = key == kSpecKey ? spec_ : copySetValue_;
  unsettledSince_.erase(key);
  if (chosen.value.version < held.value.version || chosen.ballot < held.ballot) return;
  held = chosen;
  if (key == kCopySetKey) {
    CopySet copies;
    if (!chosen.value.body.empty() && decodeValue(chosen.value.body, &copies)) adopt(copies);
  }
}

std::vector<std::pair<CopyMember, Message>> Freshness::begin(Instant now) {
  std::vector<std::pair<CopyMember, Message>> sends;
  rounds_[++sequence_] = {now, {}};
  while (rounds_.size() > kRounds) rounds_.erase(rounds_.begin());
  for (const CopyMember& member : copies_.members) {
    Confirm confirm{sequence_, member.store, {}};
    confirm.known.emplace_back(kCopySetKey, copySetValue_.ballot);
    confirm.known.emplace_back(kSpecKey, spec_.ballot);
    sends.emplace_back(member, confirm);
  }
  return sends;
}

// Current: nothing in the round is newer than the chosen value, which a majority at one ballot in
// this round may just have become.
Freshness::Verdict Freshness::judge(const Round& round, const RegisterKey& key,
                                    ChosenValue* chosen) {
  std::map<Ballot, std::size_t> counts;
  const auto newer = [&](const ConfirmedKey& held) {
    return held.acceptedAt > chosen->ballot && (held.value.version != chosen->value.version ||
                                                held.value.writeId != chosen->value.writeId);
  };
  for (const auto& [store, answer] : round.answers) {
    const ConfirmedKey* held = find(answer, key);
    if (!held || held->acceptedAt <= chosen->ballot) continue;
    if (++counts[held->acceptedAt] == majorityOf(copies_))
      learnChosen(key, {held->acceptedAt, held->value});
  }
  for (const auto& [store, answer] : round.answers) {
    const ConfirmedKey* held = find(answer, key);
    if (held && newer(*held)) return Verdict::Unsettled;
  }
  return Verdict::Current;
}

void Freshness::onAnswer(const ConfirmAnswer& answer, Instant now) {
  adopt(answer.copies);
  const bool isMember =
      std::any_of(copies_.members.begin(), copies_.members.end(),
                  [&](const CopyMember& member) { return member.store == answer.store; });
  auto entry = rounds_.find(answer.sequence);
  if (!isMember || entry == rounds_.end()) return;
  entry->second.answers[answer.store] = answer;
  const Instant sentAt = entry->second.sentAt;
  const Round round = entry->second;
  for (const RegisterKey& key : answer.allKeys) {
    if (std::find(knownKeys_.begin(), knownKeys_.end(), key) == knownKeys_.end())
      knownKeys_.push_back(key);
  }
  // Until the epoch is settled, a value may still stand on a majority of the older set alone; a
  // majority of this one meets those too.
  const std::size_t enough = copies_.settled ? meetsEveryMajority(copies_) : majorityOf(copies_);
  bool current = true;
  const Epoch epochBefore = copies_.epoch;
  for (const RegisterKey& key : {kCopySetKey, kSpecKey}) {
    if (judge(round, key, key == kSpecKey ? &spec_ : &copySetValue_) == Verdict::Unsettled) {
      current = false;
      unsettledSince_.try_emplace(key, now);
    } else if (round.answers.size() >= enough) {
      unsettledSince_.erase(key);
    }
  }
  if (copies_.epoch != epochBefore) return;  // ask the new set before vouching for anything
  if (!current || round.answers.size() < enough) return;
  if (!confirmedAt_ || *confirmedAt_ < sentAt) confirmedAt_ = sentAt;
}

std::optional<std::vector<RegisterKey>> Freshness::keysOfMajority() const {
  for (const auto& [sequence, round] : rounds_) {
    std::vector<RegisterKey> keys;
    std::size_t inEpoch = 0;
    for (const auto& [store, answer] : round.answers) {
      if (answer.copies.epoch != copies_.epoch) continue;
      ++inEpoch;
      keys.insert(keys.end(), answer.allKeys.begin(), answer.allKeys.end());
    }
    if (inEpoch >= majorityOf(copies_)) return keys;
  }
  return std::nullopt;
}

std::optional<RegisterKey> Freshness::wantsSettling(Instant now, Span patience) const {
  for (const auto& [key, since] : unsettledSince_) {
    if (now - since >= patience) return key;
  }
  return std::nullopt;
}

}  // namespace quayrill
