// Which build a program is, and how a daemon learns it of the others.
#include <catch2/catch.hpp>
#include <regex>

#include "agent/core/fleet_builds.h"
#include "base/build_identity.h"

using namespace quayrill;
using namespace std::chrono_literals;

namespace {
const Address kSelf{"10.0.0.1:7100"}, kOther{"10.0.0.2:7100"}, kThird{"10.0.0.3:7100"};

GossipItem liveAt(const Address& address) {
  GossipItem item;
  item.source = address;
  return item;
}
}  // namespace

// Guards against: a log and --version that don't tell which sources a program was built from.
TEST_CASE("builds: the identity names version, sources and processor") {
  const std::regex form(
      "[0-9]+\\.[0-9]+\\.[0-9]+( commit [0-9a-f]{12}( modified)?)? sources [0-9a-f]{16} .+");
  CHECK(std::regex_match(buildIdentity(), form));
  CHECK(buildIdentity() == buildIdentity());
}

// Guards against: a fleet of several builds that looks like one.
TEST_CASE(
    "builds: each live daemon is asked, and an answer from before the question is not shown") {
  FleetBuilds builds(kSelf, "new");
  const Instant start = Instant{} + 100s;
  std::vector<Envelope> sends;
  builds.ask({liveAt(kSelf), liveAt(kOther), liveAt(kThird)}, start, &sends);
  REQUIRE(sends.size() == 2);
  CHECK(std::holds_alternative<BuildRequest>(sends[0].body));
  CHECK(sends[0].to == kOther);
  CHECK(sends[1].to == kThird);
  CHECK(builds.buildOf(kSelf, start) == "new");
  CHECK_FALSE(builds.buildOf(kOther, start).has_value());
  builds.onResponse(kOther, BuildResponse{"old"}, start + 10ms);
  CHECK(builds.buildOf(kOther, start) == "old");
  // The third is of a build that doesn't know the question.
  CHECK_FALSE(builds.buildOf(kThird, start).has_value());
  builds.ask({liveAt(kSelf), liveAt(kOther)}, start + 1s, &sends);
  CHECK_FALSE(builds.buildOf(kOther, start + 1s).has_value());
}

TEST_CASE("builds: answers that nobody asked for are not kept, and long ones are cut") {
  FleetBuilds builds(kSelf, "new");
  const Instant start = Instant{} + 100s;
  std::vector<Envelope> sends;
  builds.onResponse(kOther, BuildResponse{"old"}, start);
  CHECK_FALSE(builds.buildOf(kOther, start).has_value());
  builds.ask({liveAt(kSelf), liveAt(kOther)}, start, &sends);
  builds.onResponse(kOther, BuildResponse{std::string(100000, 'x')}, start);
  REQUIRE(builds.buildOf(kOther, start).has_value());
  CHECK(builds.buildOf(kOther, start)->size() <= 200);
  builds.ask({liveAt(kSelf)}, start, &sends);
  CHECK_FALSE(builds.buildOf(kOther, start).has_value());
}

TEST_CASE("builds: a daemon that is asked tells its build to the asker") {
  const FleetBuilds builds(kSelf, "new");
  std::vector<Envelope> sends;
  builds.onRequest(kOther, &sends);
  REQUIRE(sends.size() == 1);
  const auto back = decodeEnvelope(encodeEnvelope(sends[0]));
  REQUIRE(back.ok());
  CHECK(back->to == kOther);
  REQUIRE(std::holds_alternative<BuildResponse>(back->body));
  CHECK(std::get<BuildResponse>(back->body).build == "new");
}
