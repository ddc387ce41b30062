// Tests of cache events for single parts, read by one daemon and shared with others.
#include <catch2/catch.hpp>

#include "placement/placement.h"
#include "relay/part_event_batch.h"

using namespace quayrill;

namespace {
const ServerName kServer{"s"};
const ModelName kModel{"m"};

ServerState serverState(const std::string& name) {
  ServerState state;
  state.name = ServerName{name};
  state.identity = ServerIdentity{name + "#1"};
  state.model = kModel;
  state.weights = WeightsVersion{"1"};
  state.healthy = true;
  state.slots = 8;
  state.cacheTokens = 16000;
  return state;
}

PartEvent stored(std::uint64_t position, const std::string& part, std::uint32_t tokens) {
  return {position, true, scopedCacheSalt(WeightsVersion{"1"}, {}), part, tokens, kModel};
}
PartEvent dropped(std::uint64_t position, const std::string& part) {
  return {position, false, scopedCacheSalt(WeightsVersion{"1"}, {}), part, 0, kModel};
}

// A daemon whose requests have named the part "rules", and its estimate of the cache of a single
// server.
struct Index {
  Placement placement{PlacementSettings{16}};
  Index() {
    placement.setServers({serverState("s")});
    placement.release(place()->ticket, false);
  }
  std::optional<PlacementResult> place() {
    return placement.place(
        {kModel, TenantName{"t"}, CacheSalt{}, *parsePrefix("rules:320,own:32"), {}});
  }
  std::size_t matchedTokensNow() {
    const auto placed = place();
    placement.release(placed->ticket, false);
    return placed->matchedTokens;
  }
  void apply(const PartEvents& batch) { placement.applyPartEvents(kServer, batch); }
};
}  // namespace

TEST_CASE("part events: a batch goes through the wire's form and comes back the same") {
  PartEvents batch{
      "7", 3, 6, true, {stored(4, "rules", 320), dropped(5, "notice"), stored(6, "rules", 336)}};
  batch.events[1].salt = CacheSalt{"1.hill"};
  const PartEvents back = fromBatch(toBatch(kServer, batch));
  CHECK(back.incarnation == batch.incarnation);
  CHECK(back.first == batch.first);
  CHECK(back.next == batch.next);
  CHECK(back.hasGap == batch.hasGap);
  REQUIRE(back.events.size() == 3);
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK(back.events[i].position == batch.events[i].position);
    CHECK(back.events[i].part == batch.events[i].part);
    CHECK(back.events[i].salt == batch.events[i].salt);
    CHECK(back.events[i].isAdded == batch.events[i].isAdded);
    CHECK(back.events[i].tokens == batch.events[i].tokens);
  }
}

TEST_CASE("part events: what another reader tells late changes nothing") {
  Index index;
  index.apply({"1", 0, 2, false, {stored(1, "rules", 320), dropped(2, "rules")}});
  CHECK(index.matchedTokensNow() == 0);
  index.apply({"1", 0, 1, false, {stored(1, "rules", 320)}});
  CHECK(index.matchedTokensNow() == 0);
  // Of an overlapping batch, only the new events are applied.
  index.apply({"1", 0, 3, false, {stored(1, "rules", 320), stored(3, "rules", 320)}});
  CHECK(index.matchedTokensNow() == 320);
  CHECK(index.placement.eventPosition(kServer) == 3);
  CHECK(index.placement.gaps() == 0);
}

TEST_CASE("part events: a lost batch is counted and the estimate stays") {
  Index index;
  index.apply({"1", 0, 1, false, {stored(1, "rules", 320)}});
  index.apply({"1", 8, 9, false, {stored(9, "notice", 16)}});
  CHECK(index.placement.gaps() == 1);
  CHECK(index.matchedTokensNow() == 320);
}

TEST_CASE("part events: what the server itself forgot drops the estimate, once") {
  Index index;
  index.apply({"1", 0, 1, false, {stored(1, "rules", 320)}});
  index.apply({"1", 1, 9, true, {stored(9, "notice", 16)}});
  CHECK(index.placement.gaps() == 1);
  CHECK(index.matchedTokensNow() == 0);
  index.apply({"1", 9, 10, false, {stored(10, "rules", 320)}});
  CHECK(index.matchedTokensNow() == 320);
  // A reader that started over reports the gap, but this daemon is already past it.
  index.apply({"1", 0, 11, true, {stored(9, "notice", 16), stored(11, "notice", 32)}});
  CHECK(index.matchedTokensNow() == 320);
  CHECK(index.placement.gaps() == 1);
}

TEST_CASE("part events: a server that started anew keeps nothing of before") {
  Index index;
  index.apply({"1", 0, 40, false, {stored(40, "rules", 320)}});
  index.apply({"2", 0, 1, false, {stored(1, "notice", 16)}});
  CHECK(index.matchedTokensNow() == 0);
  CHECK(index.placement.eventPosition(kServer) == 1);
}

TEST_CASE("part events: a position that the server never told is given up") {
  Index index;
  index.apply({"1", 0, 1, false, {stored(1, "rules", 320)}});
  index.apply({"1", 1, 1000000000, false, {stored(1000000000, "notice", 16)}});
  // The next read asks from that position, and the server responds with what it has.
  index.apply({"1", 1000000000, 2, false, {}});
  CHECK(index.placement.eventPosition(kServer) == 2);
  index.apply({"1", 2, 3, false, {stored(3, "rules", 320)}});
  CHECK(index.matchedTokensNow() == 320);
}

TEST_CASE("part events: of a long reading the newest are told on, and nobody drops what it knows") {
  PartEvents batch{"1", 0, 5000, true, {}};
  for (std::uint64_t position = 1001; position <= 5000; ++position)
    batch.events.push_back(stored(position, "part" + std::to_string(position), 16));
  truncateToNewest(&batch);
  CHECK(batch.events.size() == kMaxSharedEvents);
  CHECK(batch.events.front().position == 5000 - kMaxSharedEvents + 1);
  CHECK(batch.first == 5000 - kMaxSharedEvents);
  Index index;
  index.apply({"1", 0, 1, false, {stored(1, "rules", 320)}});
  index.apply(batch);
  CHECK(index.matchedTokensNow() == 320);
  CHECK(index.placement.gaps() == 1);
  CHECK(index.placement.eventPosition(kServer) == 5000);
  PartEvents shortBatch{"1", 0, 2, false, {stored(1, "rules", 320), dropped(2, "rules")}};
  truncateToNewest(&shortBatch);
  CHECK(shortBatch.events.size() == 2);
}
