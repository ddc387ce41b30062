// Who holds register copies: the copy set follows the machines, one at a time.
#include <algorithm>

#include "agent/core/agent_core.h"
#include "agent/core/duties.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Span kTouchSpan = 1500ms;
constexpr Span kCandidateSpan = 1s;
constexpr Span kSilentSpan = 4s;       // ours: before a silent member gives way to one that waits
constexpr Span kSilentAloneSpan = 8s;  // ours: before it is taken out where none waits
constexpr Span kKeepContact = 10s;
constexpr Span kNextStepsInAfter = 700ms;
}  // namespace

void AgentCore::noteContact(const Address& from, const ConfirmAnswer& answer, Instant now) {
  contacts_[answer.store] = {from, now, answer.copies.fleet};
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

// A store that answered just now and waits to join; one at an address of its own before one that
// stands where a lost member stood, which started last.
std::optional<CopyMember> AgentCore::candidate(Instant now) const {
  const CopySet& copies = freshness_.copies();
  std::optional<CopyMember> found;
  for (const auto& [store, contact] : contacts_) {
    if (now - contact.at >= kCandidateSpan) continue;
    // Of another fleet: it has not heard of this one yet.
    if (contact.fleet != 0 && contact.fleet != copies.fleet) continue;
    const auto item = news_.item(contact.address);
    if (item && item->leaving) continue;
    bool isIn = false, isSuccessor = false;
    for (const CopyMember& member : copies.members) {
      isIn = isIn || member.store == store;
      isSuccessor = isSuccessor || member.address == contact.address;
    }
    if (isIn || (found && isSuccessor)) continue;
    found = CopyMember{store, contact.address};
    if (!isSuccessor) break;
  }
  return found;
}

// One machine at a time: a store that waits joins, one that is lost is taken out. At the least
// number its successor joins first. No set is proposed whose majority is not in touch.
std::optional<CopySet> AgentCore::nextCopySet(Instant now) const {
  CopySet next = freshness_.copies();
  next.epoch = Epoch{next.epoch.value + 1};
  next.settled = false;
  const auto whenReachable = [&]() -> std::optional<CopySet> {
    const auto reached = static_cast<std::size_t>(
        std::count_if(next.members.begin(), next.members.end(),
                      [&](const CopyMember& member) { return isInTouch(member.store, now); }));
    if (reached < majorityOf(next)) return std::nullopt;
    return next;
  };
  // A store that moved to another address stays the same voter: write its new address down.
  for (const NewsItem& item : news_.live(now)) {
    if (item.store.value == 0 || item.leaving) continue;
    for (CopyMember& member : next.members) {
      if (member.store != item.store || member.address == item.source) continue;
      member.address = item.source;
      return next;
    }
  }
  const auto joining = candidate(now);
  const std::size_t wanted = std::max<std::size_t>(1, boot_.copiesWanted);
  const std::size_t least = std::min<std::size_t>(3, wanted);
  const Span patience = joining ? kSilentSpan : kSilentAloneSpan;
  auto lost = std::find_if(next.members.begin(), next.members.end(),
                           [&](const auto& member) { return isLost(member, patience, now); });
  const bool anyLost = lost != next.members.end();
  if (!anyLost && next.members.size() > wanted) {
    // The lost one came back after its successor had joined.
    lost = std::find_if(next.members.begin(), next.members.end(),
                        [&](const auto& member) { return !isInTouch(member.store, now); });
    if (lost == next.members.end()) --lost;
  }
  if (lost != next.members.end() && next.members.size() > least) {
    next.members.erase(lost);
    return whenReachable();
  }
  if (!joining || next.members.size() >= (anyLost ? least + 1 : wanted)) return std::nullopt;
  next.members.push_back(*joining);
  std::sort(next.members.begin(), next.members.end());
  return whenReachable();
}

// Any member may take the copy set's next step: the register orders what they propose, by the
// version each expects. The first in order does; the others step in one after the other.
void AgentCore::tickCopies(Instant now, AgentEffects* effects) {
  if (now < nextCopies_ || freshness_.copies().epoch.value == 0) return;
  nextCopies_ = now + 100ms;
  const CopySet& copies = freshness_.copies();
  for (const CopyMember& member : copies.members) {
    membership_.introduce(member.address);
    if (isInTouch(member.store, now))
      silentSince_.erase(member.store);
    else
      silentSince_.try_emplace(member.store, now);
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
    if (isInTouch(member.store, now) && !replaced_.contains(member.store))
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
