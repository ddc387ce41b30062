// Who holds register copies: the copy set follows the machines, one at a time.
#include <algorithm>

#include "agent/core/agent_core.h"

namespace quayrill {

using namespace std::chrono_literals;

// One machine at a time: a store that waits joins, one that has been gone for a while is taken out.
std::optional<CopySet> AgentCore::nextCopySet(Instant now) const {
  CopySet next = freshness_.copies();
  next.epoch = Epoch{next.epoch.value + 1};
  next.settled = false;
  const auto isIn = [&](StoreId store) {
    return std::any_of(next.members.begin(), next.members.end(),
                       [&](const CopyMember& member) { return member.store == store; });
  };
  std::optional<CopyMember> candidate;
  for (const NewsItem& item : news_.live(now)) {
    if (item.store.value == 0 || item.leaving) continue;
    if (item.fleet != 0 && item.fleet != next.fleet) continue;  // it has not heard of this one yet
    // A store that moved to another address stays the same voter: write its new address down.
    for (CopyMember& member : next.members) {
      if (member.store == item.store && member.address != item.source) {
        member.address = item.source;
        return next;
      }
    }
    if (!isIn(item.store)) candidate = CopyMember{item.store, item.source};
  }
  // What is gone is taken out only while enough stay; at the least number, its successor joins
  // first.
  const std::size_t least = std::min<std::size_t>(3, boot_.copiesWanted);
  std::size_t limit = boot_.copiesWanted;
  for (std::size_t i = 0; i < next.members.size(); ++i) {
    const auto missing = missingSince_.find(next.members[i].store);
    if (missing == missingSince_.end() || now - missing->second < 8s) continue;
    if (next.members.size() > least) {
      next.members.erase(next.members.begin() + static_cast<std::ptrdiff_t>(i));
      return next;
    }
    limit = least + 1;
  }
  if (!candidate || next.members.size() >= limit) return std::nullopt;
  next.members.push_back(*candidate);
  std::sort(next.members.begin(), next.members.end());
  return next;
}

void AgentCore::tickCopies(Instant now, AgentEffects* effects) {
  if (now < nextCopies_ || freshness_.copies().epoch.value == 0) return;
  nextCopies_ = now + 250ms;
  const CopySet& copies = freshness_.copies();
  for (const CopyMember& member : copies.members) {
    membership_.introduce(member.address);
    const auto item = news_.item(member.address);
    const bool present =
        news_.isLive(member.address, now) && (!item || item->store == member.store);
    if (present)
      missingSince_.erase(member.store);
    else
      missingSince_.try_emplace(member.store, now);
  }
  std::erase_if(missingSince_, [&](const auto& row) {
    return std::none_of(copies.members.begin(), copies.members.end(),
                        [&](const CopyMember& member) { return member.store == row.first; });
  });
  const RegisterKey duty{"hold/copies"};
  const bool work = !copies.settled || nextCopySet(now).has_value();
  if (!work || now - startedAt_ < 1s || !isMine("copies", now)) return;
  pursueHold(duty, now, effects);
  if (!holds_.held(duty, 1s, now) || proposer_.isBusy(kCopySetKey)) return;
  const std::uint64_t version = freshness_.copySetVersion();
  if (copies.settled) {
    if (const auto next = nextCopySet(now))
      begin({{}, kCopySetKey, false, version, encodeValue(*next), {}, now + 2s}, Purpose::Copies,
            now, effects);
    return;
  }
  if (sweptEpoch_ != copies.epoch) {
    sweptEpoch_ = copies.epoch;
    unswept_.clear();
    sweepListed_ = false;
  }
  // A majority inside this epoch meets every majority of the older one, and none of its members
  // takes part in the older epoch any more: no key can come up behind the list. The read brings
  // the copies into the epoch.
  if (!sweepListed_) {
    if (const auto keys = freshness_.keysOfMajority()) {
      unswept_.insert(keys->begin(), keys->end());
      unswept_.insert(kCopySetKey);
      sweepListed_ = true;
    } else {
      begin({{}, kCopySetKey, true, 0, {}, {}, now + 1s}, Purpose::Sweep, now, effects);
    }
    return;
  }
  for (const RegisterKey& key : unswept_) {
    if (!proposer_.isBusy(key))
      begin({{}, key, true, 0, {}, {}, now + 2s}, Purpose::Sweep, now, effects);
  }
  if (!unswept_.empty()) return;
  CopySet settled = copies;
  settled.settled = true;
  begin({{}, kCopySetKey, false, version, encodeValue(settled), {}, now + 2s}, Purpose::Copies, now,
        effects);
}

}  // namespace quayrill
