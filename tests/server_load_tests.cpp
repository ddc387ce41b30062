// Tests of the estimate of outstanding work, from this daemon's requests and from fleet reports,
// with a fake clock.
#include <catch2/catch.hpp>

#include "placement/server_load.h"

using namespace quayrill;
using namespace std::chrono_literals;

TEST_CASE("server load: own requests count from placing to their end, their prompts until read") {
  ServerLoad load;
  Instant now{10s};
  load.onRequestPlaced(5000, now);
  load.onRequestPlaced(200, now);
  CHECK(load.own() == Outstanding{2, 5200});
  load.onPrefillDone(5000, now);
  CHECK(load.own() == Outstanding{2, 200});
  load.onRequestDone(0, now);
  load.onRequestDone(200, now);
  CHECK(load.own() == Outstanding{});
  load.onRequestDone(200, now);  // one more than was outstanding
  CHECK(load.own() == Outstanding{});
}

TEST_CASE("server load: what the fleet told is moved by what changed here since") {
  ServerLoad load;
  Instant now{10s};
  load.onRequestPlaced(1000, now);
  now += 500ms;
  // The load of all daemons 300 ms ago, including the 1000 tokens of this one.
  load.onFleetReport({9, 30000}, now - 300ms);
  CHECK(load.pendingPrefillTokens(now) == 30000);
  load.onRequestPlaced(4000, now);
  CHECK(load.pendingPrefillTokens(now) == 34000);
  load.onPrefillDone(1000, now);
  CHECK(load.pendingPrefillTokens(now) == 33000);
  // This daemon's own part is the lower bound.
  load.onFleetReport({0, 0}, now);
  CHECK(load.pendingPrefillTokens(now) == 4000);
}

TEST_CASE("server load: what was told long ago counts no more") {
  ServerLoad load;
  const Instant now{10s};
  load.onRequestPlaced(700, now);
  load.onFleetReport({50, 90000}, now);
  CHECK(load.pendingPrefillTokens(now + 1900ms) == 90000);
  CHECK(load.pendingPrefillTokens(now + 2100ms) == 700);
}

TEST_CASE("server load: what stood at an instant is kept for seconds, and boundedly") {
  ServerLoad load;
  Instant now{10s};
  for (int i = 0; i < 100; ++i) {
    load.onRequestPlaced(10, now);
    now += 100ms;
  }
  CHECK(load.ownAt(now - 1s).requests == 91);
  CHECK(load.ownAt(now).requests == 100);
  // Before the recorded history: the oldest recorded value.
  CHECK(load.ownAt(now - 9s).requests >= 68);
}
