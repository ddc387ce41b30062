// Keeps the replica set in line with the machines that are available, by one change at a time.
#include <algorithm>

#include "agent/core/agent_core.h"
#include "agent/core/leader_roles.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
// A store is reachable for this long after an answer.
constexpr Duration kReachableSpan = 1500ms;
// How long a member must be unreachable before a spare store replaces it, unless the settings bound
// the time for repairs.
constexpr Duration kSilenceLimit = 4s;
constexpr Duration kMinSilenceLimit = 500ms;  // two confirmation rounds
// A daemon that itself did not run for this long can't tell how long others were unreachable.
constexpr Duration kMaxTickGap = 500ms;
constexpr Duration kForgetReconnectsAfter = 60s;
// How long a member must be unreachable before it is removed without a spare store.
constexpr Duration kSilenceLimitWithoutSpare = 8s;
constexpr Duration kContactRetention = 10s;
constexpr Duration kTakeOverDelayPerRank = 700ms;
}  // namespace

// Half of the time until the next possible loss is for detecting a loss, half for replacing the
// member.
Duration AgentCore::silenceLimit() const {
  if (settings_.catchUpSpan == Duration{}) return kSilenceLimit;
  return std::clamp<Duration>(settings_.catchUpSpan / 2 - kReachableSpan, kMinSilenceLimit,
                              kSilenceLimit);
}
Duration AgentCore::silenceLimitWithoutSpare() const { return kSilenceLimitWithoutSpare; }

void AgentCore::recordContact(const Address& from, const ConfirmResponse& answer, Instant now) {
  const auto [row, isNew] = contacts_.try_emplace(answer.store);
  Contact& contact = row->second;
  if (isNew) contact.stableSince = now;
  if (!isNew && now - contact.answeredAt >= kReachableSpan) {
    contact.reconnects =
        now - contact.stableSince > kForgetReconnectsAfter ? 1 : contact.reconnects + 1;
    contact.stableSince = now;
  }
  contact.address = from;
  contact.answeredAt = now;
  contact.fleet = answer.replicas.fleet;
  replacedStores_.erase(answer.store);
  if (answer.requestedStore != answer.store) replacedStores_.insert(answer.requestedStore);
}

bool AgentCore::isReachable(StoreId store, Instant now) const {
  const auto contact = contacts_.find(store);
  return contact != contacts_.end() && now - contact->second.answeredAt < kReachableSpan;
}

bool AgentCore::isLost(const ReplicaMember& member, Duration span, Instant now) const {
  if (replacedStores_.contains(member.store)) return true;
  const auto silent = silentSince_.find(member.store);
  return silent != silentSince_.end() && now - silent->second >= span;
}

// Each step adds or removes one member: a spare store joins before a departing member is removed,
// so that the set doesn't fall below the wanted size while there is a spare. A set without a
// reachable majority is never proposed.
std::optional<ReplicaSet> AgentCore::nextReplicaSet(Instant now) const {
  ReplicaSet next = freshness_.replicas();
  next.epoch = Epoch{next.epoch.value + 1};
  next.settled = false;
  // A store that moved to another address remains the same voter: only its address is updated.
  for (const GossipItem& item : gossip_.live(now)) {
    if (item.store.value == 0 || item.leaving) continue;
    for (ReplicaMember& member : next.members) {
      if (member.store != item.store || member.address == item.source) continue;
      member.address = item.source;
      return next;
    }
  }
  const auto ifReachable = [&](ReplicaSet proposed) -> std::optional<ReplicaSet> {
    const auto reachableCount = static_cast<std::size_t>(
        std::count_if(proposed.members.begin(), proposed.members.end(),
                      [&](const ReplicaMember& member) { return isReachable(member.store, now); }));
    if (reachableCount < majorityOf(proposed)) return std::nullopt;
    return proposed;
  };
  const auto without = [&](const ReplicaMember& member) {
    ReplicaSet smaller = next;
    std::erase(smaller.members, member);
    return ifReachable(std::move(smaller));
  };
  const std::size_t wanted = std::max<std::size_t>(1, settings_.replicasWanted);
  const auto joining = joinCandidate(now);
  const auto departing = departingMember(joining.has_value(), now);
  if (next.members.size() > wanted) return without(departing ? *departing : surplusMember(now));
  if (joining && (departing || next.members.size() < wanted || improvesSpread(*joining, now))) {
    ReplicaSet larger = next;
    larger.members.push_back(*joining);
    std::sort(larger.members.begin(), larger.members.end());
    if (auto reachable = ifReachable(std::move(larger))) return reachable;
  }
  if (departing && mayRemoveWithoutSuccessor(*departing, now)) return without(*departing);
  return std::nullopt;
}

// Any member may propose the next step: concurrent proposals are serialized by the version that
// each of them expects. The first daemon in rendezvous order does it, and the others take over one
// after the other if it doesn't.
void AgentCore::tickReplicaSet(Instant now, AgentEffects* effects) {
  if (now - lastTick_ > kMaxTickGap) silentSince_.clear();
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
                               contacts_.contains(member.store) ? now : now + kReachableSpan);
  }
  const auto isMember = [&](StoreId store) {
    return std::any_of(replicas.members.begin(), replicas.members.end(),
                       [&](const ReplicaMember& member) { return member.store == store; });
  };
  std::erase_if(silentSince_, [&](const auto& row) { return !isMember(row.first); });
  std::erase_if(replacedStores_, [&](StoreId store) { return !isMember(store); });
  std::erase_if(contacts_,
                [&](const auto& row) { return now - row.second.answeredAt > kContactRetention; });
  const bool isStepPending = !replicas.settled || nextReplicaSet(now).has_value();
  const std::pair<Epoch, bool> step{replicas.epoch, replicas.settled};
  if (!isStepPending || step != pendingStep_) stepPendingSince_ = now;
  pendingStep_ = step;
  if (!isStepPending || !replica_ || now - startedAt_ < 1s) return;
  std::vector<Address> eligible;
  for (const ReplicaMember& member : replicas.members) {
    if (isReachable(member.store, now) && !replacedStores_.contains(member.store) &&
        !isLeaving(member))
      eligible.push_back(member.address);
  }
  const bool isEligible =
      !leaving_ && std::find(eligible.begin(), eligible.end(), settings_.self) != eligible.end();
  const auto rank = static_cast<int>(isEligible ? rendezvousRank("copies", eligible, settings_.self)
                                                : eligible.size());
  if (now - stepPendingSince_ < rank * kTakeOverDelayPerRank) return;
  nextReplicaSetCheck_ = now;
  if (!proposer_.isBusy(kReplicaSetKey)) advanceReplicaSet(now, effects);
}

void AgentCore::advanceReplicaSet(Instant now, AgentEffects* effects) {
  const ReplicaSet& replicas = freshness_.replicas();
  const auto following = replicas.settled ? nextReplicaSet(now) : std::nullopt;
  const auto listed = replicas.settled ? std::nullopt : freshness_.majorityKeys();
  const auto requests =
      epochSweep_.next(replicas, freshness_.replicaSetVersion(), listed, following, now);
  for (const ChangeRequest& request : requests) {
    if (!proposer_.isBusy(request.key))
      begin(request, request.isRead ? Purpose::Sweep : Purpose::Replicas, now, effects);
  }
}

}  // namespace quayrill
