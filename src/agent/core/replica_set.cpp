// Who holds register copies: the replica set follows the machines, one at a time.
#include <algorithm>

#include "agent/core/agent_core.h"
#include "agent/core/leader_roles.h"

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
Span AgentCore::silenceLimit() const {
  if (settings_.catchUpSpan == Span{}) return kSilentSpan;
  return std::clamp<Span>(settings_.catchUpSpan / 2 - kTouchSpan, kLeastSilentSpan, kSilentSpan);
}
Span AgentCore::silenceLimitWithoutSpare() const { return kSilentAloneSpan; }

void AgentCore::recordContact(const Address& from, const ConfirmAnswer& answer, Instant now) {
  const auto [row, isNew] = contacts_.try_emplace(answer.store);
  Contact& contact = row->second;
  if (isNew) contact.stableSince = now;
  if (!isNew && now - contact.at >= kTouchSpan) {
    contact.reconnects = now - contact.stableSince > kForgetReturns ? 1 : contact.reconnects + 1;
    contact.stableSince = now;
  }
  contact.address = from;
  contact.at = now;
  contact.fleet = answer.replicas.fleet;
  replacedStores_.erase(answer.store);
  if (answer.asked != answer.store) replacedStores_.insert(answer.asked);
}

bool AgentCore::isReachable(StoreId store, Instant now) const {
  const auto contact = contacts_.find(store);
  return contact != contacts_.end() && now - contact->second.at < kTouchSpan;
}

bool AgentCore::isLost(const ReplicaMember& member, Span span, Instant now) const {
  if (replacedStores_.contains(member.store)) return true;
  const auto silent = silentSince_.find(member.store);
  return silent != silentSince_.end() && now - silent->second >= span;
}

// One machine at a time: a store that waits joins, then one that departs is taken out. While any
// waits, the set never holds fewer than wanted. No set is proposed whose majority is not in touch.
std::optional<ReplicaSet> AgentCore::nextReplicaSet(Instant now) const {
  ReplicaSet next = freshness_.replicas();
  next.epoch = Epoch{next.epoch.value + 1};
  next.settled = false;
  // A store that moved to another address stays the same voter: write its new address down.
  for (const NewsItem& item : gossip_.live(now)) {
    if (item.store.value == 0 || item.leaving) continue;
    for (ReplicaMember& member : next.members) {
      if (member.store != item.store || member.address == item.source) continue;
      member.address = item.source;
      return next;
    }
  }
  const auto ifReachable = [&](ReplicaSet proposed) -> std::optional<ReplicaSet> {
    const auto reached = static_cast<std::size_t>(
        std::count_if(proposed.members.begin(), proposed.members.end(),
                      [&](const ReplicaMember& member) { return isReachable(member.store, now); }));
    if (reached < majorityOf(proposed)) return std::nullopt;
    return proposed;
  };
  const auto without = [&](const ReplicaMember& member) {
    ReplicaSet smaller = next;
    std::erase(smaller.members, member);
    return ifReachable(std::move(smaller));
  };
  const std::size_t wanted = std::max<std::size_t>(1, settings_.replicasWanted);
  const auto joining = joinCandidate(now);
  const auto leaver = departingMember(joining.has_value(), now);
  if (next.members.size() > wanted) return without(leaver ? *leaver : surplusMember(now));
  if (joining && (leaver || next.members.size() < wanted || improvesSpread(*joining, now))) {
    ReplicaSet larger = next;
    larger.members.push_back(*joining);
    std::sort(larger.members.begin(), larger.members.end());
    if (auto reachable = ifReachable(std::move(larger))) return reachable;
  }
  if (leaver && mayRemoveWithoutSuccessor(*leaver, now)) return without(*leaver);
  return std::nullopt;
}

// Any member may take the replica set's next step: the register orders what they propose, by the
// version each expects. The first in order does; the others step in one after the other.
void AgentCore::tickReplicaSet(Instant now, AgentEffects* effects) {
  if (now - lastTick_ > kTickGap) silentSince_.clear();
  lastTick_ = now;
  if (now < nextReplicaSetCheck_ || freshness_.replicas().epoch.value == 0) return;
  nextReplicaSetCheck_ = now + 100ms;
  const ReplicaSet& replicas = freshness_.replicas();
  for (const ReplicaMember& member : replicas.members) {
    membership_.introduce(member.address);
    if (isReachable(member.store, now))
      silentSince_.erase(member.store);
    else
      silentSince_.try_emplace(member.store,
                               contacts_.contains(member.store) ? now : now + kTouchSpan);
  }
  const auto isIn = [&](StoreId store) {
    return std::any_of(replicas.members.begin(), replicas.members.end(),
                       [&](const ReplicaMember& member) { return member.store == store; });
  };
  std::erase_if(silentSince_, [&](const auto& row) { return !isIn(row.first); });
  std::erase_if(replacedStores_, [&](StoreId store) { return !isIn(store); });
  std::erase_if(contacts_, [&](const auto& row) { return now - row.second.at > kKeepContact; });
  const bool work = !replicas.settled || nextReplicaSet(now).has_value();
  const std::pair<Epoch, bool> step{replicas.epoch, replicas.settled};
  if (!work || step != pendingStep_) stepPendingSince_ = now;
  pendingStep_ = step;
  if (!work || !replica_ || now - startedAt_ < 1s) return;
  std::vector<Address> able;
  for (const ReplicaMember& member : replicas.members) {
    if (isReachable(member.store, now) && !replacedStores_.contains(member.store) &&
        !isLeaving(member))
      able.push_back(member.address);
  }
  const bool isAble =
      !leaving_ && std::find(able.begin(), able.end(), settings_.self) != able.end();
  const auto rank =
      static_cast<int>(isAble ? rendezvousRank("copies", able, settings_.self) : able.size());
  if (now - stepPendingSince_ < rank * kNextStepsInAfter) return;
  nextReplicaSetCheck_ = now;
  if (!proposer_.isBusy(kReplicaSetKey)) advanceReplicaSet(now, effects);
}

void AgentCore::advanceReplicaSet(Instant now, AgentEffects* effects) {
  const ReplicaSet& replicas = freshness_.replicas();
  const auto following = replicas.settled ? nextReplicaSet(now) : std::nullopt;
  const auto listed = replicas.settled ? std::nullopt : freshness_.majorityKeys();
  const auto asks =
      epochSweep_.next(replicas, freshness_.replicaSetVersion(), listed, following, now);
  for (const ChangeRequest& ask : asks) {
    if (!proposer_.isBusy(ask.key))
      begin(ask, ask.isRead ? Purpose::Sweep : Purpose::Replicas, now, effects);
  }
}

}  // namespace quayrill
