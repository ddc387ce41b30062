// Changes of the settings file of a running daemon, with and without SIGHUP, and their effect on
// its fleet.
#include <unistd.h>
#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <future>

#include "daemon/settings_watch.h"
#include "platform/settings.h"
#include "sim/scenario.h"

using namespace quayrill;
using namespace std::chrono_literals;

namespace {
constexpr char kFile[] = "/settings.json";

std::string settingsText(const std::string& seeds, const std::string& more = "") {
  return R"({"cohort":"10.0.0.1:1","operators":"10.0.0.1:2","callers":"10.0.0.1:3",)"
         R"("platform":"10.0.9.1:1","seeds":[)" +
         seeds + "]" + more + "}";
}

const std::string kOld = settingsText(R"("10.0.0.1:1","10.0.0.2:1")");
const std::string kNew = settingsText(R"("10.0.0.2:1","10.0.0.3:1")");

absl::StatusOr<Settings> readOwn(const std::string& text) { return readSettings(text, {}); }

SettingsReloader reloaderOf(const std::string& text) {
  return {SettingsSource{kFile, text, readOwn}, *readOwn(text)};
}

// Polls twice with the same text: a changed text is evaluated once it has stopped changing.
SettingsPollResult pollTwice(SettingsReloader& reloader, const std::optional<std::string>& text,
                             bool reloadRequested = false) {
  const SettingsPollResult first = reloader.onPoll(text, reloadRequested);
  CHECK_FALSE(first.changed.has_value());
  CHECK(first.error.empty());
  CHECK(first.pollSoon);
  return reloader.onPoll(text, false);
}

// A settings file on disk, removed at the end of the test.
struct SettingsFile {
  std::string path =
      (std::filesystem::temp_directory_path() / ("quayrill-settings-" + std::to_string(::getpid())))
          .string();
  explicit SettingsFile(const std::string& text) { write(text); }
  ~SettingsFile() { std::filesystem::remove(path); }
  void write(const std::string& text) const {
    std::ofstream(path, std::ios::trunc | std::ios::binary) << text;
  }
};
}  // namespace

TEST_CASE("settings: a changed file is taken up, and an unchanged one is passed over") {
  SettingsReloader reloader = reloaderOf(kOld);
  const SettingsPollResult same = reloader.onPoll(kOld, false);
  CHECK_FALSE((same.changed || same.pollSoon));
  CHECK((same.notice + same.error).empty());
  const SettingsPollResult result = pollTwice(reloader, kNew);
  REQUIRE(result.changed);
  CHECK(result.changed->seeds == std::vector<Address>{{"10.0.0.2:1"}, {"10.0.0.3:1"}});
  CHECK(reloader.inForce().seeds == result.changed->seeds);
  CHECK_THAT(result.notice, Catch::Contains("10.0.0.2:1, 10.0.0.3:1"));
  CHECK(result.error.empty());
  CHECK_FALSE(reloader.onPoll(kNew, false).changed);
  // The old settings can be restored.
  CHECK(pollTwice(reloader, kOld).changed->seeds.front() == Address{"10.0.0.1:1"});
}

TEST_CASE("settings: SIGHUP over an unchanged file is answered by one line and changes nothing") {
  SettingsReloader reloader = reloaderOf(kOld);
  const SettingsPollResult result = reloader.onPoll(kOld, true);
  CHECK_FALSE(result.changed);
  CHECK_THAT(result.notice, Catch::Contains("unchanged"));
  CHECK(reloader.onPoll(kOld, false).notice.empty());
}

TEST_CASE("settings: a half written file waits until it is whole, whatever part it shows") {
  for (std::size_t size = 0; size < kNew.size(); ++size) {
    SettingsReloader reloader = reloaderOf(kOld);
    const SettingsPollResult half = reloader.onPoll(kNew.substr(0, size), size % 2 == 0);
    CHECK_FALSE(half.changed);
    CHECK(half.error.empty());
    CHECK(half.pollSoon);
    CHECK(reloader.onPoll(kNew, false).pollSoon);
    CHECK(reloader.onPoll(kNew, false).changed);
  }
}

TEST_CASE("settings: a bad file is refused in one line with the remedy, and the old ones stay") {
  const std::string outside = settingsText(R"("a.host:1")");
  for (const std::string& bad : {std::string(), std::string("{"), outside, settingsText("")}) {
    INFO(bad);
    SettingsReloader reloader = reloaderOf(kOld);
    const SettingsPollResult result = pollTwice(reloader, bad);
    CHECK_FALSE(result.changed);
    CHECK_THAT(result.error, Catch::Contains("refused") && Catch::Contains(kFile) &&
                                 Catch::Contains("stay in force"));
    CHECK(result.error.find('\n') == std::string::npos);
    CHECK(reloader.inForce().seeds.size() == 2);
    // The file is read each second, so the error is reported only once.
    const SettingsPollResult again = reloader.onPoll(bad, false);
    CHECK((again.error + again.notice).empty());
    // After SIGHUP it is reported again.
    CHECK_FALSE(reloader.onPoll(bad, true).error.empty());
    // Restoring the file is not a change.
    const SettingsPollResult back = pollTwice(reloader, kOld);
    CHECK_FALSE(back.changed);
    CHECK(back.error.empty());
    CHECK(pollTwice(reloader, kNew).changed);
  }
  SettingsReloader reloader = reloaderOf(kOld);
  CHECK_THAT(pollTwice(reloader, outside).error,
             Catch::Contains("'seeds'") && Catch::Contains("give ip:port"));
}

TEST_CASE("settings: a file that is gone is told once, and read again when it is back") {
  SettingsReloader reloader = reloaderOf(kOld);
  const SettingsPollResult result = pollTwice(reloader, std::nullopt);
  CHECK_FALSE(result.changed);
  CHECK_THAT(result.error, Catch::Contains("can't be read") && Catch::Contains("stay in force"));
  CHECK(reloader.onPoll(std::nullopt, false).error.empty());
  CHECK(pollTwice(reloader, kNew).changed);
}

TEST_CASE("settings: what only a restart can change is named once, and the rest is taken up") {
  SettingsReloader reloader = reloaderOf(kOld);
  const std::string text =
      settingsText(R"("10.0.0.9:1")", R"(,"zone":"b","fresh_limit_ms":900,"grace_ms":4000)");
  const SettingsPollResult result = pollTwice(reloader, text);
  REQUIRE(result.changed);
  CHECK_THAT(result.notice,
             Catch::Contains("zone, fresh_limit_ms") && Catch::Contains("restart this daemon"));
  CHECK(result.notice.find('\n') == std::string::npos);
  CHECK(result.changed->seeds == std::vector<Address>{{"10.0.0.9:1"}});
  CHECK(result.changed->shutdownGrace == 4000ms);
  CHECK(result.changed->zone == readOwn(kOld)->zone);
  CHECK(result.changed->stalenessLimit == readOwn(kOld)->stalenessLimit);
  const std::string moved = R"({"cohort":"10.0.0.1:9","operators":"10.0.0.1:8",)"
                            R"("callers":"10.0.0.1:7","role":"agent","platform":"10.0.9.2:1",)"
                            R"("seeds":["10.0.0.9:1"]})";
  const SettingsPollResult other = pollTwice(reloader, moved);
  CHECK_THAT(other.notice, Catch::Contains("role, cohort, operators, callers"));
  CHECK(other.changed->role == "both");
  CHECK(other.changed->peerAddress == Address{"10.0.0.1:1"});
  CHECK(other.changed->platformAddress == Address{"10.0.9.2:1"});
}

TEST_CASE("settings: the platform's file goes through the same watch") {
  const auto text = [](const std::string& seeds, const std::string& more) {
    return "ip=10.1.0.1\nportRange=7000,7010\nlisten.http=10.1.0.1:80\nprovider.addr=10.9.0.1:1\n"
           "provider.ratePerS=40\nseeds=" +
           seeds + "\n" + more;
  };
  const std::string old = text("10.1.0.1:8", "bootstrap=true\n");
  const auto settings = platform::readSettings(old);
  REQUIRE(settings.ok());
  SettingsReloader reloader({kFile, old, platform::readSettings}, *settings);
  const SettingsPollResult result =
      pollTwice(reloader, text("10.1.0.2:8,10.1.0.3:8", "bootstrap=false\nfield.unknown=1\n"));
  REQUIRE(result.changed);
  CHECK(result.changed->seeds == std::vector<Address>{{"10.1.0.2:7000"}, {"10.1.0.3:7000"}});
  // `bootstrap` matters at the first start only, so its change requires no restart.
  CHECK(result.notice.find("restart") == std::string::npos);
  CHECK(result.changed->mayFound);
  CHECK_THAT(pollTwice(reloader, text("a:8", "")).error, Catch::Contains("'seeds'"));
}

TEST_CASE("settings watch: the file is read with and without a signal") {
  const bool signalled = GENERATE(true, false);
  const SettingsFile file(kOld);
  SettingsSource source{file.path, "", readOwn};
  const auto settings = loadSettings(&source);
  REQUIRE(settings.ok());
  std::promise<Settings> taken;
  SettingsWatch watch(source, *settings,
                      [&](const Settings& changed) { taken.set_value(changed); });
  file.write(kNew);
  if (signalled) watch.requestReload();
  auto changed = taken.get_future();
  REQUIRE(changed.wait_for(20s) == std::future_status::ready);
  CHECK(changed.get().seeds.back() == Address{"10.0.0.3:1"});
  CHECK(watch.stop().seeds.back() == Address{"10.0.0.3:1"});
}

TEST_CASE("settings: a file that can't be read ends the start with the remedy") {
  SettingsSource source{"/no/such/file", "", readOwn};
  CHECK_THAT(std::string(loadSettings(&source).status().message()),
             Catch::Contains("/no/such/file") && Catch::Contains("name one"));
  CHECK_FALSE(readSettingsFile("/").has_value());
}

TEST_CASE("settings: a daemon whose seeds are all gone finds its fleet by new ones") {
  sim::WorldSettings settings;
  settings.seed = 31;
  sim::World world(settings);
  REQUIRE(sim::runUntilFounded(world, 60s));
  const std::size_t late = world.size() - 1;
  world.crash(late, true);
  world.run(30s);  // the others forget its first incarnation
  // It restarts with seeds at which no daemon listens.
  world.setSeeds(late, {Address{"127.9.9.1:7000"}, Address{"127.9.9.2:7000"}});
  world.start(late);
  world.run(20s);
  REQUIRE(world.liveMachinesSeenBy(late) == 1);
  REQUIRE_FALSE(world.isConfirmed(late, 2s));
  world.setSeeds(late, {world.addressOf(1), world.addressOf(2)});
  world.run(5s);
  CHECK(world.liveMachinesSeenBy(late) == world.size());
  CHECK(world.isConfirmed(late, 2s));
  CHECK(world.violations().empty());
}

TEST_CASE("settings: new seeds cost a replica neither its identity nor a call under way") {
  sim::WorldSettings settings;
  settings.seed = 32;
  sim::World world(settings);
  REQUIRE(sim::runUntilFounded(world, 60s));
  const StoreId store = world.core(0).store();
  const ReplicaSet replicas = world.core(0).freshness().replicas();
  const std::uint64_t id = world.change(0, 0, "kept");
  for (std::size_t i = 0; i < world.size(); ++i)
    world.setSeeds(i, {world.addressOf(2), world.addressOf(3)});
  world.run(5s);
  REQUIRE(world.operationById(id).done);
  CHECK(world.operationById(id).done->result == ChangeResult::Chosen);
  CHECK(world.core(0).store() == store);
  CHECK(world.core(0).freshness().replicas() == replicas);
  CHECK(world.isConverged());
  CHECK(world.violations().empty());
}

TEST_CASE("settings: seeds that share none with the first ones found no second fleet") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    INFO("seed " << seed);
    sim::WorldSettings settings;
    settings.seed = seed;
    sim::World world(settings);
    // All start with the first three as seeds. Then one gets itself as its only seed, which would
    // let it found a fleet of its own.
    world.setSeeds(3, {world.addressOf(3)});
    CHECK(sim::runUntilFounded(world, 60s));
    std::set<std::uint64_t> fleets;
    for (std::size_t i = 0; i < world.size(); ++i)
      fleets.insert(world.core(i).freshness().replicas().fleet);
    CHECK(fleets.size() == 1);
    CHECK(world.violations().empty());
  }
}

TEST_CASE("settings: a seed that dies before the founding is replaced, and the fleet is founded") {
  sim::WorldSettings settings;
  settings.seed = 33;
  sim::World world(settings);
  world.crash(2, true);
  world.run(20s);
  REQUIRE(world.core(0).freshness().replicas().epoch.value == 0);
  for (std::size_t i = 0; i < world.size(); ++i)
    world.setSeeds(i, {world.addressOf(0), world.addressOf(1), world.addressOf(3)});
  world.run(20s);
  CHECK(world.isConverged());
  CHECK(world.core(0).freshness().replicas().members.size() == 3);
  CHECK(world.violations().empty());
}

TEST_CASE("settings: the platform's bounds may be fractions, and what is no number is refused") {
  const auto read = [](const std::string& more) {
    return platform::readSettings(
        "ip=10.1.0.1\nportRange=7000,7010\nlisten.http=10.1.0.1:80\nprovider.addr=10.9.0.1:1\n"
        "seeds=10.1.0.1:8\n" +
        more);
  };
  const auto fractions =
      read("bounds.retrySlack=32.94736842105263\nbounds.retryRatio=0.2\nbounds.rolloutMs=1500.5\n");
  REQUIRE(fractions.ok());
  CHECK(fractions->retryHeadroom == 32);
  CHECK(fractions->rolloutTimeLimit == 1500ms);
  for (const char* wrong : {"nan", "inf", "-1", "1e300", "many", "5x"}) {
    CAPTURE(wrong);
    const auto refused = read("bounds.retrySlack=" + std::string(wrong) + "\n");
    REQUIRE_FALSE(refused.ok());
    CHECK_THAT(std::string(refused.status().message()), Catch::Contains("'bounds.retrySlack'"));
  }
}
