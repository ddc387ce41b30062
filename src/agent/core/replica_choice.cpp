// Selects the store that joins the replica set next and the member that is removed.
#include <algorithm>
#include <tuple>

#include "agent/core/agent_core.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Duration kCandidateMaxAge = 1s;
// A store that became reachable again must stay so for this long per recent reconnect before it may
// join, so that unstable machines don't replace each other in the set again and again.
constexpr Duration kStableSpanPerReconnect = 500ms;
constexpr int kMaxReconnects = 4;
// Without a spare store, the replica set isn't shrunk below this size.
constexpr std::size_t kMinMembersWithoutSpare = 3;
}  // namespace

// The zone comes from the daemon's gossip item, which is kept for some minutes after its last
// change.
Site AgentCore::siteOf(const Address& address) const {
  const auto item = gossip_.item(address);
  const std::string zone = item ? item->zone : "";
  return {zone, settings_.topology.regionOf(zone)};
}

bool AgentCore::isLeaving(const ReplicaMember& member) const {
  const auto item = gossip_.item(member.address);
  return item && item->leaving && item->store == member.store;
}

// Replaced members come first, then unreachable ones, then members that still answer while they
// leave.
std::optional<ReplicaMember> AgentCore::departingMember(bool spareWaits, Instant now) const {
  const std::vector<ReplicaMember>& members = freshness_.replicas().members;
  const auto findFirst = [&](auto matches) -> std::optional<ReplicaMember> {
    const auto member = std::find_if(members.begin(), members.end(), matches);
    if (member == members.end()) return std::nullopt;
    return *member;
  };
  const Duration limit = spareWaits ? silenceLimit() : silenceLimitWithoutSpare();
  if (auto replaced =
          findFirst([&](const auto& member) { return replacedStores_.contains(member.store); }))
    return replaced;
  if (auto unreachable = findFirst([&](const auto& member) { return isLost(member, limit, now); }))
    return unreachable;
  return findFirst([&](const auto& member) { return isLeaving(member); });
}

bool AgentCore::isHandingOver(Instant now) const {
  const ReplicaSet& replicas = freshness_.replicas();
  const bool isMember = replica_ && std::any_of(replicas.members.begin(), replicas.members.end(),
                                                [&](const auto& member) {
                                                  return member.store == replica_->store();
                                                });
  return leaving_ && isMember && (!replicas.settled || nextReplicaSet(now).has_value());
}

// A lost member may be removed without a successor if the smaller set tolerates more losses. A
// leaving member that still answers may be removed only if the others tolerate as many losses as
// the whole set did.
bool AgentCore::mayRemoveWithoutSuccessor(const ReplicaMember& member, Instant now) const {
  const std::vector<ReplicaMember>& members = freshness_.replicas().members;
  const auto others = static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(), [&](const ReplicaMember& other) {
        return other.store != member.store && isReachable(other.store, now);
      }));
  if (members.size() <= kMinMembersWithoutSpare) return false;
  if (isLeaving(member) && isReachable(member.store, now))
    return lossesTolerated(members.size() - 1, others) >=
           lossesTolerated(members.size(), others + 1);
  return lossesTolerated(others, others) > lossesTolerated(members.size(), others);
}

AgentCore::Occupancy AgentCore::occupancyAt(const Site& site,
                                            const std::vector<ReplicaMember>& members) const {
  Occupancy occupancy;
  for (const ReplicaMember& member : members) {
    const Site other = siteOf(member.address);
    occupancy.inRegion += settings_.losses.regions > 0 && other.region == site.region ? 1 : 0;
    occupancy.inZone += other.zone == site.zone ? 1 : 0;
  }
  return occupancy;
}

// There is one member too many if a lost member came back after its successor had joined. Selects
// an unreachable member, otherwise one from the region and zone with the most members.
ReplicaMember AgentCore::surplusMember(Instant now) const {
  const std::vector<ReplicaMember>& members = freshness_.replicas().members;
  const auto rank = [&](const ReplicaMember& member) {
    return std::tuple(!isReachable(member.store, now), occupancyAt(siteOf(member.address), members),
                      member);
  };
  return *std::max_element(members.begin(), members.end(),
                           [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
}

// The difference of at least two ensures that each exchange evens out the numbers, so that the
// exchanges come to an end.
bool AgentCore::improvesSpread(const ReplicaMember& joining, Instant now) const {
  const std::vector<ReplicaMember>& members = freshness_.replicas().members;
  const Occupancy from = occupancyAt(siteOf(surplusMember(now).address), members);
  const Occupancy to = occupancyAt(siteOf(joining.address), members);
  if (to.inRegion != from.inRegion) return to.inRegion + 2 <= from.inRegion;
  return to.inZone + 2 <= from.inZone;
}

// A store that answered recently and isn't a member, from the region and zone with the fewest
// remaining members. Among these, a store whose address no member has is preferred: a new store at
// a member's address replaced that member's store, so it has started recently.
std::optional<ReplicaMember> AgentCore::joinCandidate(Instant now) const {
  const ReplicaSet& replicas = freshness_.replicas();
  std::vector<ReplicaMember> remaining;
  for (const ReplicaMember& member : replicas.members) {
    if (isReachable(member.store, now) && !replacedStores_.contains(member.store) &&
        !isLeaving(member))
      remaining.push_back(member);
  }
  std::optional<std::tuple<Occupancy, bool, ReplicaMember>> best;
  for (const auto& [store, contact] : contacts_) {
    if (now - contact.answeredAt >= kCandidateMaxAge) continue;
    const int reconnects = std::min(contact.reconnects, kMaxReconnects);
    if (now - contact.stableSince < reconnects * kStableSpanPerReconnect) continue;
    // The store still belongs to another fleet and does not know this one yet.
    if (contact.fleet != 0 && contact.fleet != replicas.fleet) continue;
    const auto item = gossip_.item(contact.address);
    if (item && item->leaving) continue;
    bool isMember = false, isSuccessor = false;
    for (const ReplicaMember& member : replicas.members) {
      isMember = isMember || member.store == store;
      isSuccessor = isSuccessor || member.address == contact.address;
    }
    if (isMember) continue;
    const std::tuple rank(occupancyAt(siteOf(contact.address), remaining), isSuccessor,
                          ReplicaMember{store, contact.address});
    if (!best || rank < *best) best = rank;
  }
  if (!best) return std::nullopt;
  return std::get<ReplicaMember>(*best);
}

}  // namespace quayrill
