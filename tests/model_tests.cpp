// The model check: small systems over the product's own register code, schedule by schedule. Each
// search has a floor of distinct states, so that one that explores nothing fails.
#include <catch2/catch.hpp>

#include "model/explorer.h"
#include "model/history.h"

using namespace quayrill;
using namespace quayrill::model;

namespace {
Configuration named(const std::string& name) {
  const auto configuration = configurationByName(name);
  REQUIRE(configuration);
  return *configuration;
}

SearchReport search(const Configuration& configuration, std::size_t states) {
  SearchBounds bounds;
  bounds.states = states;
  bounds.time = std::chrono::seconds(250);  // a loaded machine: the states are the bound
  SearchReport report = explore(configuration, bounds);
  std::string schedule;
  for (const std::string& event : report.schedule) schedule += "\n  " + event;
  WARN(configuration.name << ": distinct " << report.distinct << " visited " << report.visited
                          << " depth " << report.depth << " seconds " << report.time.count()
                          << (report.isExhausted ? " exhausted" : "") << " " << report.violation);
  UNSCOPED_INFO("schedule:" << schedule);
  return report;
}

Configuration withoutFaults(Configuration configuration) {
  configuration.budgets = {};
  return configuration;
}

// The smallest systems in which each planted error shows, and the same ones without it.
Configuration unsyncedPromise() {
  Configuration configuration = withoutFaults(named("crash"));
  configuration.budgets.restarts = 1;
  configuration.defect = Defect::UnsyncedPromise;
  return configuration;
}
Configuration unsettledEpoch() {
  Configuration configuration = named("replace");
  configuration.defect = Defect::UnsettledEpoch;
  return configuration;
}
Configuration minorityRead() {
  Configuration configuration = withoutFaults(named("race"));
  configuration.defect = Defect::MinorityRead;
  return configuration;
}
Configuration resendAsNew() {
  Configuration configuration = withoutFaults(named("resend"));
  configuration.changes.resize(1);
  configuration.calls = {{0}, {0}};
  configuration.defect = Defect::ResendAsNew;
  return configuration;
}

// The error is found, and up to twice as many states without it are clean.
SearchReport checkPlanted(Configuration configuration, std::size_t states) {
  SearchReport found = search(configuration, states);
  CHECK_FALSE(found.violation.empty());
  CHECK(found.schedule.size() == found.depth);
  configuration.defect = Defect::None;
  const SearchReport clean = search(configuration, 2 * found.distinct);
  CHECK(clean.violation.empty());
  CHECK((clean.isExhausted || clean.distinct >= 2 * found.distinct));
  return found;
}

// A named configuration, with all of its faults, up to a bound that the test prints.
void checkNamed(const std::string& name) {
  constexpr std::size_t kStates = 30'000;
  const SearchReport report = search(named(name), kStates);
  CHECK(report.violation.empty());
  CHECK((report.isExhausted || report.distinct >= kStates));
  CHECK(report.distinct > 5'000);
}

ReplicaSet setOf(std::uint64_t epoch, const std::vector<std::uint64_t>& stores) {
  ReplicaSet replicas;
  replicas.epoch = Epoch{epoch};
  for (const std::uint64_t store : stores) replicas.members.push_back({StoreId{store}, {}});
  return replicas;
}
}  // namespace

TEST_CASE("model: a race of two operators without faults is exhausted and holds") {
  const SearchReport report = search(withoutFaults(named("race")), 1'000'000);
  CHECK(report.violation.empty());
  CHECK(report.isExhausted);
  CHECK(report.distinct > 4'000);
  CHECK(report.depth >= 20);
}

// Three like replicas: at most six states become one, and no depth is lost.
TEST_CASE("model: merging states of like replicas loses none") {
  const Configuration race = withoutFaults(named("race"));
  SearchBounds each;
  each.mergesSymmetricStates = false;
  const SearchReport merged = explore(race, {});
  const SearchReport apart = explore(race, each);
  REQUIRE(merged.isExhausted);
  REQUIRE(apart.isExhausted);
  CHECK(merged.depth == apart.depth);
  CHECK(merged.distinct < apart.distinct);
  CHECK(6 * merged.distinct >= apart.distinct);
  const SearchReport foundMerged = explore(unsyncedPromise(), {});
  const SearchReport foundApart = explore(unsyncedPromise(), each);
  CHECK_FALSE(foundMerged.violation.empty());
  CHECK(foundMerged.depth == foundApart.depth);
}

// A round that is given up, and its Accept that comes late: what a conflict says must still hold.
TEST_CASE("model: a race in which one round's time passes is exhausted and holds") {
  Configuration race = withoutFaults(named("race"));
  race.budgets.phases = 1;
  const SearchReport report = search(race, 1'000'000);
  CHECK(report.violation.empty());
  CHECK(report.isExhausted);
  CHECK(report.distinct > 100'000);
}

TEST_CASE("model: a race with faults of the network holds as far as the bound reaches") {
  checkNamed("race");
}
TEST_CASE("model: a race with a restart on the disk holds as far as the bound reaches") {
  checkNamed("crash");
}
TEST_CASE("model: a change sent again holds as far as the bound reaches") { checkNamed("resend"); }
TEST_CASE("model: a joining replica holds as far as the bound reaches") { checkNamed("join"); }
TEST_CASE("model: a leaving replica holds as far as the bound reaches") { checkNamed("leave"); }
TEST_CASE("model: a replacement holds as far as the bound reaches") { checkNamed("replace"); }
TEST_CASE("model: an emptied disk holds as far as the bound reaches") { checkNamed("emptied"); }
TEST_CASE("model: rival steps of the set hold as far as the bound reaches") {
  checkNamed("rivals");
}

TEST_CASE("model: finds a promise that was answered before it was on the disk") {
  const SearchReport found = checkPlanted(unsyncedPromise(), 400'000);
  CHECK(found.violation.find("without an acknowledged change") != std::string::npos);
  Configuration unharmed = unsyncedPromise();
  unharmed.budgets.restarts = 0;  // memory still knows what the disk does not
  CHECK(search(unharmed, 1'000'000).violation.empty());
}

TEST_CASE("model: finds a replica set that follows one that is not settled") {
  const SearchReport found = checkPlanted(unsettledEpoch(), 400'000);
  CHECK(found.violation.find("without an acknowledged change: epoch 3") != std::string::npos);
}

TEST_CASE("model: finds a read that asks a minority") {
  const SearchReport found = checkPlanted(minorityRead(), 100'000);
  CHECK(found.violation.find("acknowledged before it began") != std::string::npos);
}

TEST_CASE("model: finds a change sent again that is judged as a new one") {
  const SearchReport found = checkPlanted(resendAsNew(), 100'000);
  CHECK(found.violation.find("refused") != std::string::npos);
}

TEST_CASE("model: which majorities meet") {
  CHECK(majoritiesIntersect(setOf(1, {1, 2, 3}), setOf(2, {1, 2, 3, 4})));
  CHECK(majoritiesIntersect(setOf(1, {1, 2, 3, 4}), setOf(2, {1, 2, 3})));
  CHECK_FALSE(majoritiesIntersect(setOf(1, {1, 2, 3}), setOf(2, {2, 3, 4})));
  CHECK_FALSE(majoritiesIntersect(setOf(1, {1, 2, 3}), setOf(3, {1, 2, 3, 4, 5})));
  CHECK_FALSE(majoritiesIntersect(setOf(1, {1}), setOf(2, {2})));
}
