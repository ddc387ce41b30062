// The steps of the replica set: what is asked of the register, and when.
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
  const auto ended = [](const RegisterKey& key, std::uint64_t epoch, ChangeResult result) {
    ChangeOutcome done;
    done.key = key;
    done.ballot.epoch = Epoch{epoch};
    done.result = result;
    return done;
  };
  // Without the list of keys one read brings the replicas into the epoch.
  auto asks = sweep.next(replicas, 7, std::nullopt, following, now);
  REQUIRE(asks.size() == 1);
  CHECK(asks[0].isRead);
  sweep.onReadDone(ended(kReplicaSetKey, 2, ChangeResult::Chosen));
  CHECK(
      sweep.next(replicas, 7, std::vector<RegisterKey>{kConfigurationKey}, following, now).empty());
  CHECK(sweep.next(replicas, 7, std::nullopt, following, now).size() == 2);
  sweep.onReadDone(ended(kReplicaSetKey, 2, ChangeResult::Chosen));
  sweep.onReadDone(ended(kConfigurationKey, 1, ChangeResult::Chosen));  // under the older epoch
  sweep.onReadDone(
      ended(kConfigurationKey, 2, ChangeResult::Unknown));  // perhaps on a minority only
  asks = sweep.next(replicas, 7, std::nullopt, following, now);
  REQUIRE(asks.size() == 1);
  CHECK(asks[0].isRead);
  CHECK(asks[0].key == kConfigurationKey);
  sweep.onReadDone(ended(kConfigurationKey, 2, ChangeResult::Chosen));
  asks = sweep.next(replicas, 7, std::nullopt, following, now);
  REQUIRE(asks.size() == 1);
  CHECK_FALSE(asks[0].isRead);
  CHECK(asks[0].expectedVersion == 7);
  ReplicaSet asked;
  REQUIRE(decodeValue(asks[0].body, &asked));
  CHECK(asked.epoch == replicas.epoch);
  CHECK(asked.settled);
  // The set that follows is asked for once this one is settled, and a new epoch begins anew.
  replicas.settled = true;
  asks = sweep.next(replicas, 8, std::nullopt, following, now);
  REQUIRE(asks.size() == 1);
  REQUIRE(decodeValue(asks[0].body, &asked));
  CHECK(asked.epoch == Epoch{3});
  CHECK(sweep.next(replicas, 8, std::nullopt, std::nullopt, now).empty());
  asks = sweep.next(following, 9, std::nullopt, std::nullopt, now);
  REQUIRE(asks.size() == 1);
  CHECK(asks[0].isRead);
}
