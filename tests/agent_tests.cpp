// The parts of the agent core with scripted peers and a simulated clock.
#include <catch2/catch.hpp>

#include <set>

#include "agent/core/gossip.h"
#include "agent/core/leader_roles.h"
#include "agent/core/leases.h"
#include "agent/core/membership.h"
#include "agent/core/server_list.h"
#include "base/decision_log.h"

using namespace quayrill;
using namespace std::chrono_literals;

namespace {
const Address kSelf{"10.0.0.1:7"};
Address member(int number) { return Address{"10.0.0." + std::to_string(number) + ":7"}; }

template <class Body>
std::vector<Envelope> messagesOf(const std::vector<Envelope>& sends) {
  std::vector<Envelope> found;
  for (const Envelope& envelope : sends) {
    if (std::holds_alternative<Body>(envelope.body)) found.push_back(envelope);
  }
  return found;
}
GossipItem itemOf(const Address& source, std::uint64_t incarnation, std::uint64_t counter,
                  std::uint64_t nonce = 7) {
  GossipItem item;
  item.source = source;
  item.version = {Incarnation{incarnation}, counter};
  item.nonce = nonce;
  return item;
}
}  // namespace

TEST_CASE("membership: a silent member is probed through others before it is dropped") {
  Membership membership(kSelf, {member(2), member(3), member(4)}, 1);
  Instant now{1s};
  std::vector<Envelope> sends;
  membership.onTick(now, &sends);
  const auto probes = messagesOf<Probe>(sends);
  REQUIRE(probes.size() == 1);
  const Address subject = probes[0].to;
  sends.clear();
  membership.onTick(now + 350ms, &sends);
  std::size_t indirect = 0;
  for (const Envelope& probe : messagesOf<Probe>(sends))
    indirect += probe.to != subject && std::get<Probe>(probe.body).subject == subject ? 1 : 0;
  CHECK(indirect >= 1);
  membership.onTick(now + 950ms, &sends);
  const auto view = membership.view();
  CHECK(std::find(view.begin(), view.end(), subject) == view.end());
}

TEST_CASE("membership: an answer through another member keeps the subject in view") {
  Membership membership(kSelf, {member(2), member(3)}, 1);
  Instant now{1s};
  std::vector<Envelope> sends;
  membership.onTick(now, &sends);
  const auto probe = messagesOf<Probe>(sends).at(0);
  const auto sequence = std::get<Probe>(probe.body).sequence;
  membership.onMessage({member(9), kSelf, ProbeResponse{sequence, probe.to}}, now + 500ms, &sends);
  membership.onTick(now + 950ms, &sends);
  const auto view = membership.view();
  CHECK(std::find(view.begin(), view.end(), probe.to) != view.end());
}

TEST_CASE("membership: asked to probe for another, it carries question and answer") {
  Membership membership(kSelf, {member(2)}, 1);
  std::vector<Envelope> sends;
  membership.onMessage({member(5), kSelf, Probe{77, member(6)}}, Instant{1s}, &sends);
  const auto asked = messagesOf<Probe>(sends);
  REQUIRE(asked.size() == 1);
  CHECK(asked[0].to == member(6));
  sends.clear();
  const auto sequence = std::get<Probe>(asked[0].body).sequence;
  membership.onMessage({member(6), kSelf, ProbeResponse{sequence, member(6)}}, Instant{1s}, &sends);
  const auto answered = messagesOf<ProbeResponse>(sends);
  REQUIRE(answered.size() == 1);
  CHECK(answered[0].to == member(5));
  CHECK(std::get<ProbeResponse>(answered[0].body).sequence == 77);
}

TEST_CASE("membership: the view stays small whatever is shuffled into it") {
  Membership membership(kSelf, {member(2)}, 1);
  std::vector<Envelope> sends;
  for (int round = 0; round < 50; ++round) {
    ShuffleRequest ask;
    for (int i = 0; i < 10; ++i) ask.entries.push_back({member(10 + (round * 10 + i) % 200), 0});
    ask.entries.push_back({kSelf, 0});
    membership.onMessage({member(3), kSelf, ask}, Instant{1s}, &sends);
  }
  const auto view = membership.view();
  CHECK(view.size() <= 8);
  CHECK(std::find(view.begin(), view.end(), kSelf) == view.end());
}

TEST_CASE("news: a source is live while its version rises, and an echo revives nobody") {
  Gossip gossip(kSelf, 1);
  Instant now{1s};
  gossip.onAnswer({{itemOf(member(2), 1, 5)}}, now);
  CHECK(gossip.isLive(member(2), now + 5s));
  gossip.onAnswer({{itemOf(member(2), 1, 5)}},
                  now + 5s);  // the same item, by way of another member
  CHECK_FALSE(gossip.isLive(member(2), now + 7s));
  gossip.onAnswer({{itemOf(member(2), 1, 4)}}, now + 7s);
  CHECK_FALSE(gossip.isLive(member(2), now + 7s));
  gossip.onAnswer({{itemOf(member(2), 1, 6)}}, now + 8s);
  CHECK(gossip.isLive(member(2), now + 8s));
}

TEST_CASE("news: only what is lacked is pulled") {
  Gossip gossip(kSelf, 1);
  gossip.onAnswer({{itemOf(member(2), 1, 5), itemOf(member(3), 2, 1)}}, Instant{1s});
  GossipRequest ask;
  ask.known = {{member(2), {Incarnation{1}, 5}}, {member(3), {Incarnation{1}, 99}}};
  const auto answer = gossip.answerRequest(ask);
  std::set<Address> sources;
  for (const GossipItem& item : answer.items) sources.insert(item.source);
  CHECK(sources == std::set<Address>{kSelf, member(3)});
}

TEST_CASE("news: a restarted daemon outlives the version of its former life") {
  Gossip gossip(kSelf, 2);
  gossip.advanceHeartbeat(Instant{1s});
  gossip.onAnswer({{itemOf(kSelf, 3, 400, /*nonce of the earlier run*/ 1)}}, Instant{1s});
  const auto own = gossip.item(kSelf);
  CHECK(own->version > GossipVersion{Incarnation{3}, 400});
  CHECK(own->nonce == 2);
}

TEST_CASE("duties: each falls to one live daemon, and few move when one leaves") {
  std::vector<Address> live;
  for (int i = 1; i <= 13; ++i) live.push_back(member(i));
  std::map<Address, int> owned;
  int moved = 0;
  for (int i = 0; i < 600; ++i) {
    const std::string role = "orders/" + std::to_string(i);
    const Address owner = rendezvousOwner(role, live);
    ++owned[owner];
    std::vector<Address> fewer(live.begin(), live.end() - 1);
    const Address after = rendezvousOwner(role, fewer);
    if (owner != live.back()) CHECK(after == owner);
    moved += after != owner ? 1 : 0;
  }
  CHECK(owned.size() == 13);
  CHECK(moved == owned[live.back()]);
}

namespace {
// Simulates the register's side of a lease.
struct LeaseScript {
  RegisterKey role{"hold/x"};
  RegisterValue value;
  ChangeOutcome answer(const ChangeRequest& request) {
    if (request.isRead) return {{}, role, ChangeResult::Chosen, value, {}, {}};
    if (request.expectedVersion != value.version)
      return {{}, role, ChangeResult::Conflict, value, {}, {}};
    value = {value.version + 1, {}, {}, request.body};
    return {{}, role, ChangeResult::Chosen, value, {}, {}};
  }
  void step(Leases& leases, Instant now) {
    if (const auto request = leases.tryAcquire(role, now)) leases.onDone(answer(*request), now);
  }
};
}  // namespace

TEST_CASE("holds: a rival waits out the whole term from when it saw the value") {
  LeaseScript script;
  Leases first(member(1), 11), second(member(2), 22);
  Instant now{100s};
  const auto step = [&](Leases& leases) { script.step(leases, now); };
  step(first);
  step(first);
  REQUIRE(first.heldFence(script.role, 0s, now) == FencingToken{1});
  const Instant taken = now;
  Instant overlapUntil{};
  for (; now < taken + 10s; now += 50ms) {
    step(second);
    const bool both =
        first.heldFence(script.role, 0s, now) && second.heldFence(script.role, 0s, now);
    if (both) overlapUntil = now;
    if (second.heldFence(script.role, 0s, now)) break;
  }
  CHECK(overlapUntil == Instant{});
  CHECK(second.heldFence(script.role, 0s, now) == FencingToken{2});
  CHECK(now - taken >= 4s);
  CHECK_FALSE(first.heldFence(script.role, 0s, now));
  step(first);  // its renewal conflicts with the new holder's lease
  CHECK_FALSE(first.heldFence(script.role, 0s, now));
}

TEST_CASE(
    "holds: a released leader role is free at once, a renewal of unknown result is no longer "
    "held") {
  LeaseScript script;
  Leases first(member(1), 11), second(member(2), 22);
  Instant now{100s};
  const auto step = [&](Leases& leases) { script.step(leases, now); };
  step(first);
  step(first);
  CHECK(first.heldFence(script.role, 3s, now));
  CHECK_FALSE(first.heldFence(script.role, 4s, now));
  const auto released = first.release(script.role, now);
  REQUIRE(released);
  CHECK_FALSE(first.heldFence(script.role, 0s, now));  // from the start of the release
  first.onDone(script.answer(*released), now);
  step(second);
  step(second);
  CHECK(second.heldFence(script.role, 0s, now) == FencingToken{2});
  now += 2s;
  const auto renewal = second.tryAcquire(script.role, now);
  REQUIRE(renewal);
  second.onDone({{}, script.role, ChangeResult::Unknown, {}, {}, {}}, now);
  CHECK(second.heldFence(script.role, 0s, now));  // the old term has not expired
  now += 2s;
  CHECK_FALSE(second.heldFence(script.role, 0s, now));
}

TEST_CASE("holds: taken from another life it counts only when the lease has passed") {
  LeaseScript script;
  const Duration lease = 3s;
  Leases first(member(1), 11, lease), second(member(2), 22, lease);
  Instant now{100s};
  script.step(first, now);
  script.step(first, now);
  CHECK(first.heldFence(script.role, 0s, now) == FencingToken{1});  // there was no earlier holder
  // After a release the rival gets the lease at once, but it is valid only `lease` after the rival
  // saw the release.
  const auto released = first.release(script.role, now);
  REQUIRE(released);
  first.onDone(script.answer(*released), now);
  script.step(second, now);
  script.step(second, now);
  const Instant takenAt = now;
  for (; now < takenAt + lease; now += 50ms) {
    script.step(second, now);
    CHECK_FALSE(second.heldFence(script.role, 0s, now));
  }
  CHECK(second.heldFence(script.role, 0s, now) == FencingToken{2});
  // A process that releases the lease and acquires it again doesn't have to wait.
  const auto again = second.release(script.role, now);
  REQUIRE(again);
  second.onDone(script.answer(*again), now);
  CHECK_FALSE(second.heldFence(script.role, 0s, now));
  script.step(second, now);
  CHECK(second.heldFence(script.role, 0s, now) == FencingToken{3});
  // The lease expires without a renewal, as in a partition or while the process is frozen. The
  // holder stops acting by its own clock, and the rival acts at least `lease` later.
  Instant lastHeldAt{};
  const Instant frozenAt = now;
  for (; now < frozenAt + 30s && !first.heldFence(script.role, 0s, now); now += 50ms) {
    if (second.heldFence(script.role, 0s, now)) lastHeldAt = now;
    script.step(first, now);
  }
  CHECK(first.heldFence(script.role, 0s, now) == FencingToken{4});
  CHECK(now - lastHeldAt >= lease);
  CHECK_FALSE(second.heldFence(script.role, 0s, now));  // the process resumed
  // A restarted process on the same machine counts as another holder.
  Leases later(member(1), 33, lease);
  const Instant restartedAt = now;
  for (; now < restartedAt + 30s && !later.heldFence(script.role, 0s, now); now += 50ms)
    script.step(later, now);
  CHECK(now - restartedAt >= 4s + lease);
}

TEST_CASE("decisions: read by position, with the gap shown to a reader that is too slow") {
  DecisionLog log(100);
  for (int i = 1; i <= 250; ++i) log.add("r" + std::to_string(i), std::to_string(i));
  const DecisionPage page = log.read(10, 40);
  CHECK(page.first == 151);
  CHECK(page.next == 191);
  CHECK(page.lines.front() == "151");
  CHECK(log.read(page.next, 500).next == 251);
  CHECK(log.read(251, 10).lines.empty());
  CHECK(log.find("r250") == "250");
  CHECK_FALSE(log.find("r3"));
}

TEST_CASE("server list: another's reading is taken with its age, and only where it is newer") {
  ServerList own({member(1), 1s, 50}), other({member(2), 1s, 50});
  const ListPeers peers{{member(2), member(1)}, 2};
  Instant now{100s};
  const std::vector<ListedServer> old{{ServerName{"a"}, "z", false}},
      fresh{{ServerName{"a"}, "z", true}};
  std::vector<Envelope> sends;
  own.onReadDone(old, now, 1, now, &sends);
  // The clocks of the two daemons are unrelated.
  const Instant otherNow{5s};
  const auto requestsAfter = [&](Duration later) {
    std::vector<Envelope> made;
    CHECK_FALSE(own.onTick(peers, now + later, &made));
    return messagesOf<ServerListRequest>(made);
  };
  const auto asked = requestsAfter(1s);
  REQUIRE(asked.size() == 1);
  CHECK(asked[0].to == member(2));
  CHECK(requestsAfter(1100ms).empty());  // one request at a time
  const auto& ask = std::get<ServerListRequest>(asked[0].body);
  other.onAsk(member(1), ask, otherNow, &sends);
  CHECK(messagesOf<ServerListResponse>(sends).empty());  // it has no list yet
  other.onReadDone(fresh, otherNow + 100ms, 1, otherNow + 300ms, &sends);
  const auto answered = messagesOf<ServerListResponse>(sends);
  REQUIRE(answered.size() == 1);
  CHECK(answered[0].to == member(1));
  const auto& answer = std::get<ServerListResponse>(answered[0].body);
  ServerListResponse unsolicited = answer;
  ++unsolicited.sequence;
  CHECK_FALSE(own.onAnswer(unsolicited, now + 2s, &sends));  // matches no request
  CHECK(own.rows() == old);
  // However long the answer took, the age is computed from when the request was sent: the request
  // was held for 300 ms, and the read began 200 ms before that time ended.
  CHECK(own.onAnswer(answer, now + 2s, &sends) == now + 1s + 300ms);
  CHECK(own.rows() == fresh);
  CHECK(own.readAt() == now + 1100ms);
  CHECK_FALSE(own.onAnswer(answer, now + 2s, &sends));  // each request is answered once
  const auto later = requestsAfter(2s);
  REQUIRE(later.size() >= 1);
  ServerListResponse aged{
      std::get<ServerListRequest>(later[0].body).sequence, 0, 2900000, 77, old, {}};
  own.onAnswer(aged, now + 2s, &sends);  // read at 99.1 s, before the known list
  CHECK(own.rows() == fresh);
  CHECK(own.readAt() == now + 1100ms);
}

TEST_CASE(
    "duties: the next in order steps in only when the leader role is overdue, each a while later") {
  std::vector<Address> live;
  for (int i = 1; i <= 9; ++i) live.push_back(member(i));
  std::set<std::size_t> ranks;
  for (const Address& self : live) {
    const std::size_t rank = rendezvousRank("orders/s", live, self);
    ranks.insert(rank);
    CHECK((rank == 0) == (rendezvousOwner("orders/s", live) == self));
  }
  CHECK(ranks.size() == 9);  // the same order at every daemon
}
