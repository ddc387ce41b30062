// The proposer and the replicas of the register, with every message delivered by the test.
#include <catch2/catch.hpp>

#include "register/proposer.h"
#include "register/replica.h"

using namespace quayrill;
using namespace std::chrono_literals;

namespace {
// Replicas in memory without a network: the test decides which message reaches which replica.
struct ReplicaHarness {
  std::vector<RegisterReplica> replicas;
  ReplicaSet set;
  Instant now{1s};

  explicit ReplicaHarness(std::size_t count) {
    set.epoch = Epoch{1};
    set.settled = true;
    for (std::size_t i = 1; i <= count; ++i) {
      replicas.emplace_back(StoreId{i});
      set.members.push_back({StoreId{i}, Address{"m" + std::to_string(i)}});
    }
    for (RegisterReplica& replica : replicas) replica.adopt(set);
  }
  // Delivers one message to a replica.
  std::optional<ReplicaResponse> deliver(std::size_t index, const Message& message) {
    ReplicaEffects effects;
    if (const auto* prepare = std::get_if<Prepare>(&message))
      effects = replicas[index].onPrepare(*prepare);
    if (const auto* accept = std::get_if<Accept>(&message))
      effects = replicas[index].onAccept(*accept);
    if (!effects.answer) return std::nullopt;
    return std::get<ReplicaResponse>(*effects.answer);
  }
  using Sends = std::vector<std::pair<ReplicaMember, Message>>;
  // Delivers messages to the replicas in `reachable` and the answers to the proposer, until there
  // are no more messages.
  std::vector<ChangeOutcome> deliverAll(Proposer& proposer, Sends sends,
                                        const std::vector<std::size_t>& reachable) {
    std::vector<ChangeOutcome> done;
    while (!sends.empty()) {
      Sends next;
      for (const auto& [member, message] : sends) {
        const std::size_t index = member.store.value - 1;
        if (std::find(reachable.begin(), reachable.end(), index) == reachable.end()) continue;
        if (const auto answer = deliver(index, message)) {
          for (auto& send : proposer.onAnswer(*answer, now, &done)) next.push_back(send);
        }
      }
      sends = std::move(next);
    }
    return done;
  }
  ChangeRequest change(std::uint64_t id, std::uint64_t expected, const std::string& body) {
    return {OperationId{id},    kConfigurationKey, false, expected, body,
            WriteId{1000 + id}, now + 3s};
  }
  ChangeRequest read(std::uint64_t id) {
    return {OperationId{id}, kConfigurationKey, true, 0, {}, WriteId{1000 + id}, now + 3s};
  }
};
}  // namespace

TEST_CASE("register: a change is chosen at a majority, and only with the value it expects") {
  ReplicaHarness harness(4);
  Proposer proposer(ProposerId{1}, 1);
  auto done = harness.deliverAll(
      proposer, proposer.begin(harness.change(1, 0, "a"), harness.set, harness.now), {0, 1, 2});
  REQUIRE(done.size() == 1);
  CHECK(done[0].result == ChangeResult::Chosen);
  CHECK(done[0].value.version == 1);
  done = harness.deliverAll(
      proposer, proposer.begin(harness.change(2, 0, "b"), harness.set, harness.now), {1, 2, 3});
  REQUIRE(done.size() == 1);
  CHECK(done[0].result == ChangeResult::Conflict);
  CHECK(done[0].value.body == "a");
  CHECK(majorityOf(harness.set) == 3);
  CHECK(readQuorumOf(harness.set) == 2);
}

TEST_CASE("register: half of the replicas choose nothing, and unsent is told from unknown") {
  ReplicaHarness harness(4);
  Proposer proposer(ProposerId{1}, 1);
  auto done = harness.deliverAll(
      proposer, proposer.begin(harness.change(1, 0, "a"), harness.set, harness.now), {0, 1});
  CHECK(done.empty());
  harness.now += 4s;
  proposer.onTick(harness.set, harness.now, &done);
  REQUIRE(done.size() == 1);
  CHECK(done[0].result == ChangeResult::NotTried);

  // A majority promised and one replica accepted, so the change may still be chosen later.
  auto prepares = proposer.begin(harness.change(2, 0, "b"), harness.set, harness.now);
  ReplicaHarness::Sends accepts;
  done.clear();
  for (const auto& [member, message] : prepares) {
    if (const auto answer = harness.deliver(member.store.value - 1, message)) {
      for (auto& send : proposer.onAnswer(*answer, harness.now, &done)) accepts.push_back(send);
    }
  }
  REQUIRE(accepts.size() == 4);
  harness.deliver(0, accepts[0].second);
  harness.now += 4s;
  proposer.onTick(harness.set, harness.now, &done);
  REQUIRE(done.size() == 1);
  CHECK(done[0].result == ChangeResult::Unknown);
  // A read that finds the one accepted value completes the change, and any later read agrees.
  Proposer reader(ProposerId{2}, 2);
  done = harness.deliverAll(reader, reader.begin(harness.read(3), harness.set, harness.now),
                            {0, 1, 2});
  CHECK(done.empty());  // its first ballot is too low; it backs off and retries with a higher one
  harness.now += 200ms;
  done = harness.deliverAll(reader, reader.onTick(harness.set, harness.now, &done), {0, 1, 2});
  REQUIRE(done.size() == 1);
  CHECK(done[0].value.body == "b");
  done = harness.deliverAll(reader, reader.begin(harness.read(4), harness.set, harness.now),
                            {1, 2, 3});
  REQUIRE(done.size() == 1);
  CHECK(done[0].value.body == "b");
}

TEST_CASE("register: a conflict is told only once what stands in the way is chosen") {
  ReplicaHarness harness(3);
  Proposer own(ProposerId{1}, 1), rival(ProposerId{2}, 2), reader(ProposerId{3}, 3);
  std::vector<ChangeOutcome> done;
  const auto promised = [&](Proposer& proposer, const ReplicaHarness::Sends& prepares,
                            const std::vector<std::size_t>& reachable) {
    ReplicaHarness::Sends accepts;
    for (const std::size_t index : reachable) {
      const auto answer = harness.deliver(index, prepares[index].second);
      REQUIRE(answer);
      for (auto& send : proposer.onAnswer(*answer, harness.now, &done)) accepts.push_back(send);
    }
    return accepts;
  };
  // The first two replicas promise to the first proposer. Its accept messages are delayed.
  const auto delayedAccepts =
      promised(own, own.begin(harness.change(1, 0, "a"), harness.set, harness.now), {0, 1});
  REQUIRE(delayedAccepts.size() == 3);
  // Its phase times out. The same two replicas promise to a rival, and the third replica accepts
  // the first proposer's delayed value.
  harness.now += 1s;
  own.onTick(harness.set, harness.now, &done);
  harness.now += 200ms;
  const auto retry = own.onTick(harness.set, harness.now, &done);
  REQUIRE(retry.size() == 3);
  const auto rivalAccepts =
      promised(rival, rival.begin(harness.change(2, 0, "b"), harness.set, harness.now), {0, 1});
  REQUIRE(rivalAccepts.size() == 3);
  REQUIRE(harness.deliver(2, delayedAccepts[2].second)->granted);
  // The rival's value is accepted only by the second replica, where the first proposer finds it.
  REQUIRE(harness.deliver(1, rivalAccepts[1].second)->granted);
  auto ownAccepts = promised(own, retry, {0, 1});
  CHECK(done.empty());  // the value at the third replica can still be chosen, so no conflict yet
  SECTION("a read that misses the rival's value ends in mine") {
    const auto read = [&] {
      auto sends = reader.begin(harness.read(3), harness.set, harness.now);
      auto outcomes = harness.deliverAll(reader, sends, {0, 2});
      while (outcomes.empty() && harness.now < Instant{10s}) {
        harness.now += 200ms;
        sends = reader.onTick(harness.set, harness.now, &outcomes);
        if (outcomes.empty()) outcomes = harness.deliverAll(reader, sends, {0, 2});
      }
      return outcomes;
    }();
    REQUIRE(read.size() == 1);
    REQUIRE(read[0].result == ChangeResult::Chosen);
    CHECK(read[0].value.body == "a");
    harness.now = Instant{10s};
    own.onTick(harness.set, harness.now, &done);
    REQUIRE(done.size() == 1);
    CHECK(done[0].result == ChangeResult::Unknown);
  }
  SECTION("once a majority accepted the rival's value, no read can show mine") {
    done = harness.deliverAll(own, ownAccepts, {0, 1});
    REQUIRE(done.size() == 1);
    CHECK(done[0].result == ChangeResult::Conflict);
    CHECK(done[0].value.body == "b");
    for (const std::vector<std::size_t>& reachable : {std::vector<std::size_t>{0, 2}, {1, 2}}) {
      Proposer otherReader(ProposerId{4 + reachable[0]}, 1);
      std::vector<ChangeOutcome> outcomes;
      auto sends = otherReader.begin(harness.read(10 + reachable[0]), harness.set, harness.now);
      for (int round = 0; outcomes.empty() && round < 10; ++round) {
        outcomes = harness.deliverAll(otherReader, sends, reachable);
        harness.now += 200ms;
        if (outcomes.empty()) sends = otherReader.onTick(harness.set, harness.now, &outcomes);
      }
      REQUIRE(outcomes.size() == 1);
      CHECK(outcomes[0].value.body == "b");
    }
  }
}

TEST_CASE("register: a replica of an emptied disk is no voter, and an old epoch is turned away") {
  ReplicaHarness harness(3);
  Prepare prepare{
      OperationId{1}, kConfigurationKey, {Epoch{1}, 1, ProposerId{1}}, StoreId{1}, harness.set};
  RegisterReplica emptied(StoreId{9});
  CHECK_FALSE(emptied.onPrepare(prepare).answer);  // addressed to the store that was lost
  ReplicaSet later = harness.set;
  later.epoch = Epoch{2};
  harness.replicas[0].adopt(later);
  const auto answer = harness.deliver(0, prepare);
  REQUIRE(answer);
  CHECK_FALSE(answer->granted);
  CHECK(answer->replicas.epoch == Epoch{2});
}

TEST_CASE("register: of two fleets founded under one epoch a replica votes in the first alone") {
  ReplicaHarness harness(3);
  harness.set.fleet = 5;
  ReplicaSet first = harness.set, second = harness.set;
  second.fleet = 6;
  RegisterReplica replica(StoreId{1});
  const Ballot ballot{Epoch{1}, 1, ProposerId{1}}, higher{Epoch{1}, 2, ProposerId{2}};
  const auto granted = [](const ReplicaEffects& effects) {
    return std::get<ReplicaResponse>(*effects.answer).granted;
  };
  CHECK(granted(replica.onPrepare({OperationId{1}, kConfigurationKey, ballot, StoreId{1}, first})));
  CHECK_FALSE(
      granted(replica.onPrepare({OperationId{2}, kConfigurationKey, higher, StoreId{1}, second})));
  CHECK_FALSE(granted(
      replica.onAccept({OperationId{2}, kConfigurationKey, higher, StoreId{1}, second, {}})));
  CHECK(granted(
      replica.onAccept({OperationId{1}, kConfigurationKey, ballot, StoreId{1}, first, {}})));
}

TEST_CASE("register: what is on disk is what was said, and a write error ends voting") {
  ReplicaHarness harness(3);
  RegisterReplica& replica = harness.replicas[0];
  std::map<std::string, std::string> disk;
  const auto keep = [&](const std::vector<DiskWrite>& writes) {
    for (const DiskWrite& write : writes) disk[write.key] = write.bytes;
  };
  keep(replica.identityWrites());
  const Ballot low{Epoch{1}, 3, ProposerId{1}}, high{Epoch{1}, 7, ProposerId{2}};
  const RegisterValue value{1, WriteId{5}, {}, "body"};
  keep(replica.onAccept({OperationId{1}, kConfigurationKey, low, StoreId{1}, harness.set, value})
           .writes);
  keep(
      replica.onPrepare({OperationId{2}, kConfigurationKey, high, StoreId{1}, harness.set}).writes);
  RegisterReplica restarted(StoreId{77});
  REQUIRE(restarted.restore(disk));
  CHECK(restarted.store() == StoreId{1});
  restarted.adopt(harness.set);
  const auto lowBallotEffects =
      restarted.onAccept({OperationId{3}, kConfigurationKey, low, StoreId{1}, harness.set, value});
  REQUIRE(lowBallotEffects.answer);
  CHECK_FALSE(std::get<ReplicaResponse>(*lowBallotEffects.answer).granted);
  const auto prepared = restarted.onPrepare(
      {OperationId{4}, kConfigurationKey, {Epoch{1}, 9, ProposerId{1}}, StoreId{1}, harness.set});
  CHECK(std::get<ReplicaResponse>(*prepared.answer).value == value);
  restarted.stopVoting();
  CHECK_FALSE(restarted
                  .onPrepare({OperationId{5},
                              kConfigurationKey,
                              {Epoch{1}, 11, ProposerId{1}},
                              StoreId{1},
                              harness.set})
                  .answer);
  disk["slot/spec"] = "damaged";
  CHECK_FALSE(RegisterReplica(StoreId{78}).restore(disk));
}

TEST_CASE("messages: seeded damage is told, never misread, and every kind comes back whole") {
  std::mt19937_64 random(3);
  Accept accept{OperationId{1},
                kConfigurationKey,
                {Epoch{1}, 2, ProposerId{3}},
                StoreId{4},
                {},
                {1, WriteId{2}, {WriteId{1}}, std::string(500, 'x')}};
  const std::string whole = encodeEnvelope({Address{"a:1"}, Address{"b:2"}, accept});
  const auto back = decodeEnvelope(whole);
  REQUIRE(back.ok());
  CHECK(std::get<Accept>(back->body).value == accept.value);
  for (int i = 0; i < 3000; ++i) {
    std::string damaged = whole;
    damaged[random() % damaged.size()] ^= static_cast<char>(1 + random() % 255);
    if (random() % 3 == 0) damaged.resize(random() % damaged.size());
    CHECK_FALSE(decodeEnvelope(damaged).ok());
  }
}
