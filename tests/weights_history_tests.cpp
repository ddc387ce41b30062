// How long superseded weights may still be used, with a simulated clock.
#include <catch2/catch.hpp>

#include "agent/core/weights_histories.h"

using namespace quayrill;
using namespace std::chrono_literals;

namespace {
const ModelName kModel{"m"};
const Instant kNow{1000s};
constexpr Duration kBound = 15s;
const WeightsVersion kOne{"1"}, kTwo{"2"}, kThree{"3"}, kFour{"4"};
}  // namespace

TEST_CASE("weights history: the time of a version counts from the first naming after it") {
  WeightsHistory history;
  history.setNewest(kOne, std::nullopt);
  CHECK(history.usableUntil(kOne, kBound) == Instant::max());
  history.setNewest(kTwo, kNow);
  history.setNewest(kThree, kNow + 7s);
  history.setNewest(kFour, kNow + 14s);
  CHECK(history.newest() == kFour);
  CHECK(history.usableUntil(kOne, kBound) == kNow + 15s);
  CHECK(history.usableUntil(kTwo, kBound) == kNow + 22s);
  CHECK(history.usableUntil(kThree, kBound) == kNow + 29s);
  CHECK(history.usableUntil(kFour, kBound) == Instant::max());
  // A server may already have weights that this daemon's configuration doesn't name yet.
  CHECK(history.usableUntil(WeightsVersion{"5"}, kBound) == Instant::max());
}

TEST_CASE("weights history: what is not known counts as superseded any time ago") {
  WeightsHistory restarted;
  restarted.setNewest(kThree, std::nullopt);
  CHECK(restarted.usableUntil(kTwo, kBound) == Instant::min());
  CHECK(restarted.usableUntil(kThree, kBound) == Instant::max());
  // While an older version was the newest, no later version was superseded.
  restarted.recordNewestAt(kOne, kNow);
  CHECK(restarted.usableUntil(kTwo, kBound) == kNow + 15s);
  CHECK(restarted.usableUntil(WeightsVersion{"0"}, kBound) == Instant::min());
  restarted.recordNewestAt(kTwo, kNow + 4s);
  restarted.recordNewestAt(kTwo, kNow + 2s);  // earlier, so it adds nothing
  CHECK(restarted.usableUntil(kTwo, kBound) == kNow + 19s);
  CHECK(restarted.usableUntil(kOne, kBound) == kNow + 15s);
  restarted.forgetBefore(kNow + 1s);
  CHECK(restarted.usableUntil(kOne, kBound) == Instant::min());
  CHECK(restarted.usableUntil(kTwo, kBound) == kNow + 19s);
}

TEST_CASE("weights history: a naming that was slept through is taken for the earliest it can be") {
  WeightsHistory history;
  history.setNewest(kOne, std::nullopt);
  history.setNewest(kFour, kNow);  // 2 and 3 were named between two confirmations
  for (const WeightsVersion& version : {kOne, kTwo, kThree})
    CHECK(history.usableUntil(version, kBound) == kNow + 15s);
  // Another daemon saw version 3 as the newest 300 ms later.
  history.recordNewestAt(kThree, kNow + 300ms);
  CHECK(history.usableUntil(kThree, kBound) == kNow + 15300ms);
  CHECK(history.usableUntil(kTwo, kBound) == kNow + 15s);
}

TEST_CASE("weights history: before the first naming every version may be used") {
  WeightsHistory history;
  history.setNewest(kTwo, kNow);
  CHECK(history.usableUntil(kOne, kBound) == kNow + 15s);
  CHECK(history.usableUntil(WeightsVersion{"0"}, kBound) == kNow + 15s);
}

TEST_CASE("weights history: names without an order, one of them named again") {
  const WeightsVersion first{"w1"}, second{"w2"}, third{"w3"};
  WeightsHistory history;
  history.setNewest(first, std::nullopt);
  history.setNewest(second, kNow);
  CHECK(history.usableUntil(first, kBound) == kNow + 15s);
  history.setNewest(first, kNow + 3s);
  CHECK(history.usableUntil(first, kBound) == Instant::max());
  CHECK(history.usableUntil(second, kBound) == kNow + 18s);
  history.setNewest(third, kNow + 5s);
  CHECK(history.usableUntil(first, kBound) == kNow + 20s);
  CHECK(history.usableUntil(second, kBound) == kNow + 18s);
  CHECK(history.usableUntil(WeightsVersion{"w0"}, kBound) == Instant::min());
}

TEST_CASE("weights history: many namings keep their number of rows, and forget the oldest") {
  WeightsHistory history;
  for (int i = 1; i <= 200; ++i)
    history.setNewest(WeightsVersion{std::to_string(i)}, kNow + std::chrono::milliseconds(i));
  CHECK(history.superseded().size() == 64);
  CHECK(history.usableUntil(WeightsVersion{"199"}, kBound) == kNow + 15200ms);
  CHECK(history.usableUntil(WeightsVersion{"135"}, kBound) == Instant::min());
}

TEST_CASE("weights histories: other daemons' words are counted from when they were asked for") {
  WeightsHistories mine, others;
  mine.onConfiguration({{kModel, kOne}}, std::nullopt);
  mine.onConfiguration({{kModel, kTwo}}, kNow - 300ms);
  mine.onConfiguration({{kModel, kTwo}}, kNow);  // a later configuration names the same weights
  CHECK(mine.report(kNow) == std::vector<SupersededWeights>{{kModel, kOne, 300000}});
  others.onConfiguration({{kModel, kTwo}}, std::nullopt);
  CHECK(others.usableUntil(kModel, kOne, kBound) == Instant::min());
  others.merge({{kModel, kOne, -1}, {ModelName{"other"}, kOne, 5}},
               kNow);  // invalid; unknown model
  CHECK(others.usableUntil(kModel, kOne, kBound) == Instant::min());
  others.merge(mine.report(kNow + 1s), kNow + 900ms);
  CHECK(others.usableUntil(kModel, kOne, kBound) == kNow - 400ms + kBound);
  CHECK(others.usableUntil(ModelName{"other"}, kOne, kBound) == Instant::max());
  others.onConfiguration({}, kNow);
  CHECK(others.of(kModel) == nullptr);
}
