// Who holds register copies: the copy set follows the machines, one at a time.
#include <algorithm>

#include "agent/core/agent_core.h"
#include "agent/core/duties.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Span kTouchSpan = 1500ms;
// A member is silent once it has been out of touch for so long more. Ours, where no bound for
// repairs is given: before it gives way to one that waits.
constexpr Span kSilentSpan = 4s;
constexpr Span kLeastSilentSpan = 500ms;  // two rounds of questions
constexpr Span kTickGap = 500ms;  // a daemon that did not run for so long judges nobody by it
constexpr Span kForgetReturns = 60s;
constexpr Span kSilentAloneSpan = 8s;  // ours: before it is taken out where none waits
constexpr Span kKeepContact = 10s;
constexpr Span kNextStepsInAfter = 700ms;
}  // namespace

// Half of the time until the next loss is for noticing, half for the steps.
Span AgentCore::silentSpan() const {
  if (boot_.catchUpSpan == Span{}) return kSilentSpan;
  return std::clamp<Span>(boot_.catchUpSpan / 2 - kTouchSpan, kLeastSilentSpan, kSilentSpan);
}
Span AgentCore::silentAloneSpan() const { return kSilentAloneSpan; }

void AgentCore::noteContact(const Address& from, const ConfirmAnswer& answer, Instant now) {
  const auto [row, isNew] = contacts_.try_emplace(answer.store);
  Contact& contact = row->second;
  if (isNew) contact.steadySince = now;
  if (!isNew && now - contact.at >= kTouchSpan) {
    contact.returns = now - contact.steadySince > kForgetReturns ? 1 : contact.returns + 1;
    contact.steadySince = now;
  }
  contact.address = from;
  contact.at = now;
  contact.fleet = answer.copies.fleet;
  replaced_.erase(answer.store);
  if (answer.asked != answer.store) replaced_.insert(answer.asked);
}

bool AgentCore::isInTouch(StoreId store, Instant now) const {
  const auto contact = contacts_.find(store);
  return contact != contacts_.end() && now - contact->second.at < kTouchSpan;
}

bool AgentCore::isLost(const CopyMember& member, Span span, Instant now) const {
  if (replaced_.contains(member.store)) return true;
  const auto silent = silentSince_.find(member.store);
  return silent != silentSince_.end() && now - silent->second >= span;
}

// One machine at a time: a store that waits joins, then one that departs is taken out. While any
// waits, the set never holds fewer than wanted. No set is proposed whose majority is not in touch.
std::optional<CopySet> AgentCore::nextCopySet(Instant now) const {
  CopySet next = freshness_.copies();
  next.epoch = Epoch{next.epoch.value + 1};
  next.settled = false;
  // A store that moved to another address stays the same voter: write its new address down.
  for (const NewsItem& item : news_.live(now)) {
    if (item.store.value == 0 || item.leaving) continue;
    for (CopyMember& member : next.members) {
      if (member.store != item.store || member.address == item.source) continue;
      member.address = item.source;
      return next;
    }
  }
  const auto ifReachable = [&](CopySet proposed) -> std::optional<CopySet> {
    const auto reached = static_cast<std::size_t>(
        std::count_if(proposed.members.begin(), proposed.members.end(),
                      [&](const CopyMember& member) { return isInTouch(member.store, now); }));
    if (reached < majorityOf(proposed)) return std::nullopt;
    return proposed;
  };
  const auto without = [&](const CopyMember& member) {
    CopySet smaller = next;
    std::erase(smaller.members, member);
    return ifReachable(std::move(smaller));
  };
  const std::size_t wanted = std::max<std::size_t>(1, boot_.copiesWanted);
  const auto joining = candidate(now);
  const auto leaver = departing(joining.has_value(), now);
  if (next.members.size() > wanted) return without(leaver ? *leaver : surplus(now));
  if (joining && (leaver || next.members.size() < wanted || spreadsBetter(*joining, now))) {
    CopySet larger = next;
    larger.members.push_back(*joining);
    std::sort(larger.members.begin(), larger.members.end());
    if (auto reachable = ifReachable(std::move(larger))) return reachable;
  }
  if (leaver && mayShrink(*leaver, now)) return without(*leaver);
  return std::nullopt;
}

// Any member may take the copy set's next step: the register orders what they propose, by the
// version each expects. The first in order does; the others step in one after the other.
void AgentCore::tickCopies(Instant now, AgentEffects* effects) {
  if (now - lastTick_ > kTickGap) silentSince_.clear();
  lastTick_ = now;
  if (now < nextCopies_ || freshness_.copies().epoch.value == 0) return;
  nextCopies_ = now + 100ms;
  const CopySet& copies = freshness_.copies();
  for (const CopyMember& member : copies.members) {
    membership_.introduce(member.address);
    if (isInTouch(member.store, now))
      silentSince_.erase(member.store);
    else
      silentSince_.try_emplace(member.store,
                               contacts_.contains(member.store) ? now : now + kTouchSpan);
  }
  const auto isIn = [&](StoreId store) {
    return std::any_of(copies.members.begin(), copies.members.end(),
                       [&](const CopyMember& member) { return member.store == store; });
  };
  std::erase_if(silentSince_, [&](const auto& row) { return !isIn(row.first); });
  std::erase_if(replaced_, [&](StoreId store) { return !isIn(store); });
  std::erase_if(contacts_, [&](const auto& row) { return now - row.second.at > kKeepContact; });
  const bool work = !copies.settled || nextCopySet(now).has_value();
  const std::pair<Epoch, bool> step{copies.epoch, copies.settled};
  if (!work || step != workStep_) workSince_ = now;
  workStep_ = step;
  if (!work || !copy_ || now - startedAt_ < 1s) return;
  std::vector<Address> able;
  for (const CopyMember& member : copies.members) {
    if (isInTouch(member.store, now) && !replaced_.contains(member.store) && !isLeaving(member))
      able.push_back(member.address);
  }
  const bool isAble = !leaving_ && std::find(able.begin(), able.end(), boot_.self) != able.end();
  const auto rank =
      static_cast<int>(isAble ? rendezvousRank("copies", able, boot_.self) : able.size());
  if (now - workSince_ < rank * kNextStepsInAfter) return;
  nextCopies_ = now;
  if (!proposer_.isBusy(kCopySetKey)) tickEpoch(now, effects);
}

void AgentCore::tickEpoch(Instant now, AgentEffects* effects) {
  const CopySet& copies = freshness_.copies();
  const auto following = copies.settled ? nextCopySet(now) : std::nullopt;
  const auto listed = copies.settled ? std::nullopt : freshness_.keysOfMajority();
  const auto asks = epochSweep_.next(copies, freshness_.copySetVersion(), listed, following, now);
  for (const ChangeAsked& ask : asks) {
    if (!proposer_.isBusy(ask.key))
      begin(ask, ask.isRead ? Purpose::Sweep : Purpose::Copies, now, effects);
  }
}

}  // namespace quayrill
