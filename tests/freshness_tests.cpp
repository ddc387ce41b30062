// How a daemon learns the configuration from the replicas, and that a large body is transferred
// once.
#include <catch2/catch.hpp>

#include "agent/core/freshness.h"

using namespace quayrill;
using namespace std::chrono_literals;

namespace {
constexpr std::size_t kLarge = 200000;

// Five replicas and a daemon that queries them.
struct Register {
  std::vector<RegisterReplica> replicas;
  ReplicaSet set;
  Freshness freshness{7};
  Instant now{100s};
  std::size_t bodies = 0, bytes = 0;

  Register() {
    set.epoch = Epoch{1};
    set.fleet = 9;
    set.settled = true;
    for (std::uint64_t i = 1; i <= 5; ++i) {
      replicas.emplace_back(StoreId{i});
      set.members.push_back({StoreId{i}, Address{"r" + std::to_string(i)}});
    }
    for (RegisterReplica& replica : replicas) replica.adopt(set);
    freshness.adopt(set);
  }
  RegisterValue valueOf(std::uint64_t version, std::size_t size) const {
    return {version, WriteId{version}, {}, std::string(size, static_cast<char>('a' + version))};
  }
  void accept(const RegisterValue& value, std::size_t from, std::size_t to) {
    const Ballot ballot{set.epoch, value.version, ProposerId{3}};
    for (std::size_t i = from; i < to; ++i)
      replicas[i].onAccept({{}, kConfigurationKey, ballot, StoreId{i + 1}, set, value});
  }
  void deliver(const Freshness::Sends& sends, const std::set<StoreId>& mute = {}) {
    for (const auto& [member, message] : sends) {
      const auto& confirm = std::get<ConfirmRequest>(message);
      if (mute.contains(member.store)) continue;
      const auto made = replicas[member.store.value - 1].onConfirm(confirm);
      const auto& answer = std::get<ConfirmResponse>(*made.answer);
      for (const ConfirmedKey& held : answer.keys) {
        bytes += held.value.body.size();
        bodies += held.value.body.size() >= kLarge ? 1 : 0;
      }
      freshness.onAnswer(answer, now);
    }
  }
  void round(const std::set<StoreId>& mute = {}) {
    deliver(freshness.beginRound(now, false, false), mute);
    for (int i = 0; i < 4; ++i) {
      deliver(freshness.widenRound(now), mute);
      now += 50ms;
    }
    now += 50ms;
  }
};
}  // namespace

TEST_CASE("freshness: a large configuration comes once, from one replica") {
  Register fleet;
  fleet.accept(fleet.valueOf(1, kLarge), 0, 5);
  for (int i = 0; i < 8; ++i) fleet.round();
  CHECK(fleet.freshness.configuration().value == fleet.valueOf(1, kLarge));
  CHECK(fleet.freshness.confirmedAt());
  CHECK(fleet.bodies == 1);
  CHECK(fleet.bytes == kLarge);
  fleet.accept(fleet.valueOf(2, kLarge), 0, 5);
  for (int i = 0; i < 8; ++i) fleet.round();
  CHECK(fleet.freshness.configuration().value.version == 2);
  CHECK(fleet.bodies == 2);
}

TEST_CASE("freshness: a configuration that no majority accepted brings no body") {
  Register fleet;
  fleet.accept(fleet.valueOf(1, kLarge), 0, 5);
  for (int i = 0; i < 4; ++i) fleet.round();
  fleet.accept(fleet.valueOf(2, kLarge), 0, 2);
  for (int i = 0; i < 20; ++i) fleet.round();
  CHECK(fleet.freshness.configuration().value.version == 1);
  CHECK(fleet.bodies == 1);
  CHECK(fleet.freshness.keyToSettle(fleet.now, 500ms) == kConfigurationKey);
}

TEST_CASE("freshness: a body that does not come is asked of the others") {
  Register fleet;
  fleet.accept(fleet.valueOf(1, kLarge), 0, 5);
  // The first replica that is asked for the body never answers that request.
  std::set<StoreId> asked;
  const Instant began = fleet.now;
  while (fleet.now - began < 4s && fleet.freshness.configuration().value.version == 0) {
    fleet.deliver(fleet.freshness.beginRound(fleet.now, false, false));
    for (int i = 0; i < 4; ++i) {
      Freshness::Sends sends = fleet.freshness.widenRound(fleet.now);
      std::erase_if(sends, [&](const auto& send) {
        const auto& confirm = std::get<ConfirmRequest>(send.second);
        if (confirm.wantsBodies) asked.insert(confirm.store);
        return confirm.wantsBodies && asked.size() < 2;
      });
      fleet.deliver(sends);
      fleet.now += 50ms;
    }
  }
  CHECK(asked.size() >= 2);
  CHECK(fleet.freshness.configuration().value.version == 1);
}

TEST_CASE("freshness: the same configuration under a later ballot needs no body") {
  Register fleet;
  fleet.accept(fleet.valueOf(1, kLarge), 0, 5);
  for (int i = 0; i < 4; ++i) fleet.round();
  const Ballot later{fleet.set.epoch, 9, ProposerId{4}};
  for (std::size_t i = 0; i < 5; ++i)
    fleet.replicas[i].onAccept(
        {{}, kConfigurationKey, later, StoreId{i + 1}, fleet.set, fleet.valueOf(1, kLarge)});
  for (int i = 0; i < 4; ++i) fleet.round();
  CHECK(fleet.bodies == 1);
  CHECK(fleet.freshness.configuration().ballot == later);
  CHECK(fleet.freshness.configuration().value.body.size() == kLarge);
}

TEST_CASE("freshness: a small configuration goes along with the answers") {
  Register fleet;
  fleet.accept(fleet.valueOf(1, 300), 0, 5);
  fleet.deliver(fleet.freshness.beginRound(fleet.now, false, false));
  CHECK(fleet.freshness.configuration().value.version == 1);
}

TEST_CASE("freshness: changes in quick succession are each in force without a pause") {
  Register fleet;
  for (std::uint64_t version = 1; version <= 6; ++version) {
    fleet.accept(fleet.valueOf(version, kLarge), 0, 5);
    fleet.round();
    CHECK(fleet.freshness.configuration().value.version == version);
  }
  CHECK(fleet.bodies == 6);
}

// Guards against: a daemon behind on the configuration takes the register for unreachable and
// serves on by the old one.
TEST_CASE("freshness: the register is silent only while too few replicas answer") {
  Register fleet;
  fleet.accept(fleet.valueOf(1, 10), 0, 5);
  for (int i = 0; i < 4; ++i) fleet.round();
  REQUIRE(fleet.freshness.confirmedAt());
  // Two of five hold a newer value: nothing can be confirmed, and the register is not silent.
  fleet.accept(fleet.valueOf(2, 10), 0, 2);
  const Instant confirmedAt = *fleet.freshness.confirmedAt();
  for (int i = 0; i < 20; ++i) fleet.round();
  CHECK(*fleet.freshness.confirmedAt() == confirmedAt);
  CHECK_FALSE(fleet.freshness.isRegisterSilent(fleet.now));
  const std::set<StoreId> all{StoreId{1}, StoreId{2}, StoreId{3}, StoreId{4}, StoreId{5}};
  const std::set<StoreId> most{StoreId{1}, StoreId{2}, StoreId{3}};
  for (const auto& mute : {all, most}) {
    for (int i = 0; i < 3; ++i) fleet.round(mute);
    CHECK_FALSE(fleet.freshness.isRegisterSilent(fleet.now));
    for (int i = 0; i < 3; ++i) fleet.round(mute);
    CHECK(fleet.freshness.isRegisterSilent(fleet.now));
    // After a stall of the process it has to be silent anew.
    fleet.freshness.forgetSilence();
    CHECK_FALSE(fleet.freshness.isRegisterSilent(fleet.now));
    for (int i = 0; i < 6; ++i) fleet.round(mute);
    CHECK(fleet.freshness.isRegisterSilent(fleet.now));
    fleet.round();
    CHECK_FALSE(fleet.freshness.isRegisterSilent(fleet.now));
  }
}

// Guards against: answers of a former replica set are counted as a majority of a smaller new one,
// and a configuration that was never chosen comes into force.
TEST_CASE("freshness: a round that shows a new replica set decides no other key") {
  Register fleet;
  fleet.set.members.resize(4);
  for (RegisterReplica& replica : fleet.replicas) replica.adopt(fleet.set);
  Freshness& freshness = fleet.freshness;
  ReplicaSet four = fleet.set;
  four.epoch = Epoch{2};
  freshness.adopt(four);
  for (RegisterReplica& replica : fleet.replicas) replica.adopt(four);
  fleet.set = four;
  fleet.accept(fleet.valueOf(1, 10), 0, 4);
  for (int i = 0; i < 4; ++i) fleet.round();
  REQUIRE(freshness.configuration().value.version == 1);
  // Two of four accept a configuration that is not chosen. All know a set without the fourth.
  fleet.accept(fleet.valueOf(2, 10), 0, 2);
  ReplicaSet three = four;
  three.epoch = Epoch{3};
  three.members.resize(3);
  const RegisterValue setValue{1, WriteId{77}, {}, encodeValue(three)};
  const Ballot ballot{four.epoch, 5, ProposerId{3}};
  const auto sends = freshness.beginRound(fleet.now, true, false);
  for (const auto& [member, message] : sends) {
    const auto made =
        fleet.replicas[member.store.value - 1].onConfirm(std::get<ConfirmRequest>(message));
    auto answer = std::get<ConfirmResponse>(*made.answer);
    for (ConfirmedKey& held : answer.keys) {
      if (held.key == kReplicaSetKey) held = {kReplicaSetKey, ballot, setValue};
    }
    freshness.onAnswer(answer, fleet.now);
  }
  CHECK(freshness.replicas().epoch == Epoch{3});
  CHECK(freshness.configuration().value.version == 1);
}
