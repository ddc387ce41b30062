// Tests of when a data plane may serve by the configuration that it has.
#include <catch2/catch.hpp>

#include "agent/view.h"

using namespace quayrill;
using namespace std::chrono_literals;

namespace {
constexpr StalenessLimits kLimits{2s, 1h};
const Instant kStart{1000s};

// The view after a snapshot at kStart with a configuration that was last confirmed then.
ProxyView viewAt(Instant updatedAt, Duration confirmedAgo, bool registerSilent) {
  Snapshot snapshot;
  snapshot.configurationVersion = 1;
  snapshot.confirmedAgoMicros =
      std::chrono::duration_cast<std::chrono::microseconds>(confirmedAgo).count();
  snapshot.registerSilent = registerSilent;
  return nextView({}, snapshot, updatedAt, std::make_shared<const Configuration>());
}
}  // namespace

// Guards against: a daemon that could have learned of a newer configuration serves by an old one.
TEST_CASE("view: an unconfirmed configuration serves only while the register does not answer") {
  CHECK(viewAt(kStart, 1900ms, false).isUsable(kStart, kLimits));
  CHECK_FALSE(viewAt(kStart, 2100ms, false).isUsable(kStart, kLimits));
  CHECK(viewAt(kStart, 2100ms, true).isUsable(kStart, kLimits));
  CHECK_FALSE(viewAt(kStart, 1h, true).isUsable(kStart, kLimits));
  // An agent that fell silent itself may have missed what the register answers.
  CHECK(viewAt(kStart, 2100ms, true).isUsable(kStart + 900ms, kLimits));
  CHECK_FALSE(viewAt(kStart, 2100ms, true).isUsable(kStart + 1100ms, kLimits));
  // The shorter bound for a daemon out of touch holds for one in touch too.
  CHECK_FALSE(viewAt(kStart, 600ms, false).isUsable(kStart, {2s, 500ms}));
  CHECK_FALSE(ProxyView{}.isUsable(kStart, kLimits));
}

TEST_CASE("view: a parsed configuration is taken over, and a body is parsed only if it is newer") {
  Snapshot snapshot;
  snapshot.configurationVersion = 3;
  snapshot.configurationBody = "body";
  snapshot.confirmedAgoMicros = 0;
  int reads = 0;
  const auto read = [&](const std::string&) -> absl::StatusOr<Configuration> {
    ++reads;
    return Configuration{};
  };
  const auto parsed = readConfigurationOf(snapshot, {}, read);
  REQUIRE(parsed);
  const ProxyView view = nextView({}, snapshot, kStart, parsed);
  CHECK(view.configuration == parsed);
  CHECK(view.configurationVersion == 3);
  CHECK(view.confirmedAt == kStart);
  CHECK(readConfigurationOf(snapshot, view, read) == nullptr);
  CHECK(reads == 1);
  snapshot.configurationVersion = 4;
  const ProxyView unread = nextView(view, snapshot, kStart + 1s, nullptr);
  CHECK(unread.configurationVersion == 3);
  CHECK(unread.confirmedAt == kStart);
}
