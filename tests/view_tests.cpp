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

namespace {
// A configuration with the tenants a, b and c, of which these are isolated.
std::shared_ptr<const Configuration> isolating(const std::set<std::string>& isolated) {
  Configuration configuration;
  for (const char* name : {"a", "b", "c"})
    configuration.tenants[TenantName{name}].isolated = isolated.contains(name);
  deriveSharedScope(&configuration);
  return std::make_shared<const Configuration>(std::move(configuration));
}

// The view that follows `before` with this configuration, confirmed at `confirmedAt`.
ProxyView viewAfter(const ProxyView& before, std::shared_ptr<const Configuration> configuration,
                    Instant confirmedAt) {
  Snapshot snapshot;
  snapshot.configurationVersion = before.configurationVersion + 1;
  snapshot.confirmedAgoMicros = 0;
  return nextView(before, snapshot, confirmedAt, std::move(configuration));
}
}  // namespace

// Guards against: a request starts under a cache scope whose tenants are no longer all open.
TEST_CASE("view: a cache scope is usable for a bound after a tenant of it became isolated") {
  const auto none = isolating({}), onlyA = isolating({"a"}), aAndB = isolating({"a", "b"});
  const TenantName a{"a"}, c{"c"};
  const ProxyView first = viewAfter({}, none, kStart);
  const ProxyView second = viewAfter(first, onlyA, kStart + 10s);
  const ProxyView third = viewAfter(second, aAndB, kStart + 20s);
  CHECK(first.scopeUsableUntil(*none, c, 2s) == Instant::max());
  // The change came at some time after the last confirmation of what was before it.
  CHECK(second.scopeUsableUntil(*none, c, 2s) == kStart + 2s);
  CHECK(second.scopeUsableUntil(*none, a, 2s) == kStart + 2s);
  CHECK(third.scopeUsableUntil(*none, c, 2s) == kStart + 2s);
  CHECK(third.scopeUsableUntil(*onlyA, c, 2s) == kStart + 12s);
  // Tenant a had a scope of its own when this was sent.
  CHECK(third.scopeUsableUntil(*onlyA, a, 2s) == Instant::max());
  // What opens again takes nothing back.
  const ProxyView fourth = viewAfter(third, onlyA, kStart + 30s);
  CHECK(fourth.scopeUsableUntil(*aAndB, c, 2s) == Instant::max());
  CHECK(fourth.scopeUsableUntil(*none, c, 2s) == kStart + 2s);
  // One opens and another is isolated in one change.
  const ProxyView swapped = viewAfter(second, isolating({"b"}), kStart + 20s);
  CHECK(swapped.scopeUsableUntil(*onlyA, c, 2s) == kStart + 12s);
  CHECK(ProxyView{}.scopeUsableUntil(*none, c, 2s) == Instant::max());
}

// Guards against: a tenant that was removed and is named again as an isolated one counts as old.
TEST_CASE("view: a tenant that is named again is isolated since then") {
  const ProxyView first = viewAfter({}, isolating({"a"}), kStart);
  const ProxyView removed = viewAfter(first, std::make_shared<const Configuration>(), kStart + 10s);
  const ProxyView again = viewAfter(removed, isolating({"a"}), kStart + 20s);
  CHECK(again.scopeUsableUntil(*removed.configuration, TenantName{"c"}, 2s) == kStart + 12s);
}
