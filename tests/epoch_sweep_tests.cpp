// The steps of a reconfiguration: which register operations are started, and when.
#include <catch2/catch.hpp>

#include "register/epoch_sweep.h"

using namespace quayrill;

namespace {
ReplicaSet setOf(std::uint64_t epoch, const std::vector<std::uint64_t>& stores) {
  ReplicaSet replicas;
  replicas.epoch = Epoch{epoch};
  for (const std::uint64_t store : stores) replicas.members.push_back({StoreId{store}, {}});
  return replicas;
}
}  // namespace

TEST_CASE("epoch sweep: a set is settled by a rewrite of every key, and only then followed") {
  const Instant now{std::chrono::seconds(1)};
  EpochSweep sweep;
  ReplicaSet replicas = setOf(2, {1, 2, 3, 4});
  const ReplicaSet following = setOf(3, {1, 2, 3});
  const auto outcomeOf = [](const RegisterKey& key, std::uint64_t epoch, ChangeResult result) {
    ChangeOutcome outcome;
    outcome.key = key;
    outcome.ballot.epoch = Epoch{epoch};
    outcome.result = result;
    return outcome;
  };
  // As long as the keys aren't known, a read moves the replicas into the epoch.
  auto requests = sweep.next(replicas, 7, std::nullopt, following, now);
  REQUIRE(requests.size() == 1);
  CHECK(requests[0].isRead);
  sweep.onReadDone(outcomeOf(kReplicaSetKey, 2, ChangeResult::Chosen));
  CHECK(
      sweep.next(replicas, 7, std::vector<RegisterKey>{kConfigurationKey}, following, now).empty());
  CHECK(sweep.next(replicas, 7, std::nullopt, following, now).size() == 2);
  sweep.onReadDone(outcomeOf(kReplicaSetKey, 2, ChangeResult::Chosen));
  sweep.onReadDone(
      outcomeOf(kConfigurationKey, 1, ChangeResult::Chosen));  // chosen in the previous epoch
  sweep.onReadDone(outcomeOf(kConfigurationKey, 2,
                             ChangeResult::Unknown));  // possibly accepted by a minority only
  requests = sweep.next(replicas, 7, std::nullopt, following, now);
  REQUIRE(requests.size() == 1);
  CHECK(requests[0].isRead);
  CHECK(requests[0].key == kConfigurationKey);
  sweep.onReadDone(outcomeOf(kConfigurationKey, 2, ChangeResult::Chosen));
  requests = sweep.next(replicas, 7, std::nullopt, following, now);
  REQUIRE(requests.size() == 1);
  CHECK_FALSE(requests[0].isRead);
  CHECK(requests[0].expectedVersion == 7);
  ReplicaSet proposed;
  REQUIRE(decodeValue(requests[0].body, &proposed));
  CHECK(proposed.epoch == replicas.epoch);
  CHECK(proposed.settled);
  // The following set is proposed once this one is settled, and its epoch starts a new sweep.
  replicas.settled = true;
  requests = sweep.next(replicas, 8, std::nullopt, following, now);
  REQUIRE(requests.size() == 1);
  REQUIRE(decodeValue(requests[0].body, &proposed));
  CHECK(proposed.epoch == Epoch{3});
  CHECK(sweep.next(replicas, 8, std::nullopt, std::nullopt, now).empty());
  requests = sweep.next(following, 9, std::nullopt, std::nullopt, now);
  REQUIRE(requests.size() == 1);
  CHECK(requests[0].isRead);
}
