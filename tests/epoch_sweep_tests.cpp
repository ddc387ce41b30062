// The steps of the replica set: what is asked of the register, and when.
#include <catch2/catch.hpp>

#include "register/epoch_sweep.h"

using namespace quayrill;

namespace {
CopySet setOf(std::uint64_t epoch, const std::vector<std::uint64_t>& stores) {
  CopySet copies;
  copies.epoch = Epoch{epoch};
  for (const std::uint64_t store : stores) copies.members.push_back({StoreId{store}, {}});
  return copies;
}
}  // namespace

TEST_CASE("epoch sweep: a set is settled by a rewrite of every key, and only then followed") {
  const Instant now{std::chrono::seconds(1)};
  EpochSweep sweep;
  CopySet copies = setOf(2, {1, 2, 3, 4});
  const CopySet following = setOf(3, {1, 2, 3});
  const auto ended = [](const RegisterKey& key, std::uint64_t epoch, ChangeResult result) {
    ChangeDone done;
    done.key = key;
    done.ballot.epoch = Epoch{epoch};
    done.result = result;
    return done;
  };
  // Without the list of keys one read brings the replicas into the epoch.
  auto asks = sweep.next(copies, 7, std::nullopt, following, now);
  REQUIRE(asks.size() == 1);
  CHECK(asks[0].isRead);
  sweep.onReadDone(ended(kCopySetKey, 2, ChangeResult::Chosen));
  CHECK(sweep.next(copies, 7, std::vector<RegisterKey>{kSpecKey}, following, now).empty());
  CHECK(sweep.next(copies, 7, std::nullopt, following, now).size() == 2);
  sweep.onReadDone(ended(kCopySetKey, 2, ChangeResult::Chosen));
  sweep.onReadDone(ended(kSpecKey, 1, ChangeResult::Chosen));   // under the older epoch
  sweep.onReadDone(ended(kSpecKey, 2, ChangeResult::Unknown));  // perhaps on a minority only
  asks = sweep.next(copies, 7, std::nullopt, following, now);
  REQUIRE(asks.size() == 1);
  CHECK(asks[0].isRead);
  CHECK(asks[0].key == kSpecKey);
  sweep.onReadDone(ended(kSpecKey, 2, ChangeResult::Chosen));
  asks = sweep.next(copies, 7, std::nullopt, following, now);
  REQUIRE(asks.size() == 1);
  CHECK_FALSE(asks[0].isRead);
  CHECK(asks[0].expectedVersion == 7);
  CopySet asked;
  REQUIRE(decodeValue(asks[0].body, &asked));
  CHECK(asked.epoch == copies.epoch);
  CHECK(asked.settled);
  // The set that follows is asked for once this one is settled, and a new epoch begins anew.
  copies.settled = true;
  asks = sweep.next(copies, 8, std::nullopt, following, now);
  REQUIRE(asks.size() == 1);
  REQUIRE(decodeValue(asks[0].body, &asked));
  CHECK(asked.epoch == Epoch{3});
  CHECK(sweep.next(copies, 8, std::nullopt, std::nullopt, now).empty());
  asks = sweep.next(following, 9, std::nullopt, std::nullopt, now);
  REQUIRE(asks.size() == 1);
  CHECK(asks[0].isRead);
}
