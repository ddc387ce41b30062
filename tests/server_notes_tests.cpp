// What notes add to the server list, with a simulated clock.
#include <catch2/catch.hpp>

#include "agent/core/server_notes.h"

using namespace quayrill;
using namespace std::chrono_literals;

namespace {
const ModelName kModel{"m"};
}

TEST_CASE("notes: weights of one life never fall, and a silent holder blocks no server") {
  ServerNotes notes;
  const Instant now{10s};
  const ServerName server{"s"};
  const ServerIdentity identity{"i"};
  const WeightsVersion one{"1"}, two{"2"}, ten{"10"};
  notes.onNote({server, identity, kModel, {}, true, FencingToken{3}, 1}, now);
  CHECK(notes.overlay(server, identity, one, now).switching);
  CHECK(notes.overlay(server, identity, one, now).weights == one);
  CHECK_FALSE(notes.overlay(server, identity, one, now + 3s).switching);
  notes.onNote({server, identity, kModel, two, false, FencingToken{3}, 2}, now + 1s);
  notes.onNote({server, identity, kModel, {}, true, FencingToken{3}, 1}, now + 1s);  // late
  CHECK_FALSE(notes.overlay(server, identity, one, now + 1s).switching);
  CHECK(notes.overlay(server, identity, one, now + 30s).weights == two);
  CHECK(notes.overlay(server, identity, ten, now + 30s).weights == ten);
  // The note on the next order has no weights, so the weights reached before remain known.
  notes.onNote({server, identity, kModel, {}, true, FencingToken{4}, 1}, now + 2s);
  CHECK(notes.overlay(server, identity, one, now + 2s).weights == two);
  CHECK(notes.overlay(server, ServerIdentity{"next"}, one, now + 2s).weights == one);
  CHECK_FALSE(notes.overlay(server, ServerIdentity{"next"}, one, now + 2s).switching);
  CHECK(notes.lastActivity(kModel) == now + 2s);
}

TEST_CASE("notes: versions without an order are believed only until the list must show them") {
  CHECK(isOlderVersion(WeightsVersion{"9"}, WeightsVersion{"10"}));
  CHECK_FALSE(isOlderVersion(WeightsVersion{"10"}, WeightsVersion{"9"}));
  CHECK(isOlderVersion(WeightsVersion{"w2"}, WeightsVersion{"w1"}));
  ServerNotes notes;
  const Instant now{10s};
  notes.onNote({ServerName{"s"}, ServerIdentity{"i"}, kModel, WeightsVersion{"w1"}, false,
                FencingToken{3}, 1},
               now);
  const auto weights = [&](Duration later) {
    return notes.overlay(ServerName{"s"}, ServerIdentity{"i"}, WeightsVersion{"w0"}, now + later)
        .weights;
  };
  CHECK(weights(1s) == WeightsVersion{"w1"});
  CHECK(weights(4s) == WeightsVersion{"w0"});
}
