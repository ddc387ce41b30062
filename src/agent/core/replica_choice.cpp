// Which store joins the replica set next, and which member it gives up.
#include <algorithm>
#include <tuple>

#include "agent/core/agent_core.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Span kCandidateSpan = 1s;
// A store that was silent and came back waits so long for each time that it did so lately, so that
// machines in trouble don't take turns in the set.
constexpr Span kSteadyPerReturn = 500ms;
constexpr int kMostReturns = 4;
constexpr std::size_t kFewestAlone = 3;  // replicas that stay where no spare waits
}  // namespace

// The zone is the daemon's own word; it is kept for some minutes after its last.
Site AgentCore::siteOf(const Address& address) const {
  const auto item = gossip_.item(address);
  const std::string zone = item ? item->zone : "";
  return {zone, settings_.topology.regionOf(zone)};
}

bool AgentCore::isLeaving(const ReplicaMember& member) const {
  const auto item = gossip_.item(member.address);
  return item && item->leaving && item->store == member.store;
}

// Those gone for certain come first, then the silent, then those that serve on while they leave.
std::optional<ReplicaMember> AgentCore::departingMember(bool spareWaits, Instant now) const {
  const std::vector<ReplicaMember>& members = freshness_.replicas().members;
  const auto first = [&](auto departs) -> std::optional<ReplicaMember> {
    const auto member = std::find_if(members.begin(), members.end(), departs);
    if (member == members.end()) return std::nullopt;
    return *member;
  };
  const Span patience = spareWaits ? silenceLimit() : silenceLimitWithoutSpare();
  if (auto gone = first([&](const auto& member) { return replacedStores_.contains(member.store); }))
    return gone;
  if (auto silent = first([&](const auto& member) { return isLost(member, patience, now); }))
    return silent;
  return first([&](const auto& member) { return isLeaving(member); });
}

bool AgentCore::isHandingOver(Instant now) const {
  const ReplicaSet& replicas = freshness_.replicas();
  const bool isIn =
      replica_ && std::any_of(replicas.members.begin(), replicas.members.end(),
                              [&](const auto& m) { return m.store == replica_->store(); });
  return leaving_ && isIn && (!replicas.settled || nextReplicaSet(now).has_value());
}

// A dead member is taken out alone where fewer then make a majority. One that still serves leaves
// alone only if the others, all but it, bear as many losses as the whole set did.
bool AgentCore::mayRemoveWithoutSuccessor(const ReplicaMember& member, Instant now) const {
  const std::vector<ReplicaMember>& members = freshness_.replicas().members;
  const auto others = static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(), [&](const ReplicaMember& other) {
        return other.store != member.store && isReachable(other.store, now);
      }));
  if (members.size() <= kFewestAlone) return false;
  if (isLeaving(member) && isReachable(member.store, now))
    return lossesTolerated(members.size() - 1, others) >=
           lossesTolerated(members.size(), others + 1);
  return lossesTolerated(others, others) > lossesTolerated(members.size(), others);
}

AgentCore::Occupancy AgentCore::occupancyAt(const Site& site,
                                            const std::vector<ReplicaMember>& members) const {
  Occupancy crowd;
  for (const ReplicaMember& member : members) {
    const Site other = siteOf(member.address);
    crowd.inRegion += settings_.losses.regions > 0 && other.region == site.region ? 1 : 0;
    crowd.inZone += other.zone == site.zone ? 1 : 0;
  }
  return crowd;
}

// Where a lost member came back after its successor had joined, there is one too many: one out of
// touch goes, else one from the fullest region and zone.
ReplicaMember AgentCore::surplusMember(Instant now) const {
  const std::vector<ReplicaMember>& members = freshness_.replicas().members;
  const auto rank = [&](const ReplicaMember& member) {
    return std::tuple(!isReachable(member.store, now), occupancyAt(siteOf(member.address), members),
                      member);
  };
  return *std::max_element(members.begin(), members.end(),
                           [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
}

// Each such exchange makes the numbers more equal, so they come to an end.
bool AgentCore::improvesSpread(const ReplicaMember& joining, Instant now) const {
  const std::vector<ReplicaMember>& members = freshness_.replicas().members;
  const Occupancy from = occupancyAt(siteOf(surplusMember(now).address), members);
  const Occupancy to = occupancyAt(siteOf(joining.address), members);
  if (to.inRegion != from.inRegion) return to.inRegion + 2 <= from.inRegion;
  return to.inZone + 2 <= from.inZone;
}

// A store that answered just now and waits to join: one from the region and the zone with the
// fewest members that stay. Among these, one at an address of its own comes before one that stands
// where a lost member stood, which started last.
std::optional<ReplicaMember> AgentCore::joinCandidate(Instant now) const {
  const ReplicaSet& replicas = freshness_.replicas();
  std::vector<ReplicaMember> staying;
  for (const ReplicaMember& member : replicas.members) {
    if (isReachable(member.store, now) && !replacedStores_.contains(member.store) &&
        !isLeaving(member))
      staying.push_back(member);
  }
  std::optional<std::tuple<Occupancy, bool, ReplicaMember>> best;
  for (const auto& [store, contact] : contacts_) {
    if (now - contact.at >= kCandidateSpan) continue;
    const int reconnects = std::min(contact.reconnects, kMostReturns);
    if (now - contact.stableSince < reconnects * kSteadyPerReturn) continue;
    // Of another fleet: it has not heard of this one yet.
    if (contact.fleet != 0 && contact.fleet != replicas.fleet) continue;
    const auto item = gossip_.item(contact.address);
    if (item && item->leaving) continue;
    bool isIn = false, isSuccessor = false;
    for (const ReplicaMember& member : replicas.members) {
      isIn = isIn || member.store == store;
      isSuccessor = isSuccessor || member.address == contact.address;
    }
    if (isIn) continue;
    const std::tuple rank(occupancyAt(siteOf(contact.address), staying), isSuccessor,
                          ReplicaMember{store, contact.address});
    if (!best || rank < *best) best = rank;
  }
  if (!best) return std::nullopt;
  return std::get<ReplicaMember>(*best);
}

}  // namespace quayrill
