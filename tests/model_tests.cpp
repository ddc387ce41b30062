// Model checks of small systems that run the production register code. Each search must reach a
// minimum of distinct states, so that a search that explores nothing fails.
#include <catch2/catch.hpp>

#include "model/explorer.h"
#include "model/history.h"

using namespace quayrill;
using namespace quayrill::model;

namespace {
Configuration configurationNamed(const std::string& name) {
  const auto configuration = configurationByName(name);
  REQUIRE(configuration);
  return *configuration;
}

SearchReport search(const Configuration& configuration, std::size_t states) {
  SearchBounds bounds;
  bounds.states = states;
  // Generous for a loaded machine, so that the number of states is the effective bound.
  bounds.time = std::chrono::seconds(250);
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

// The smallest systems in which each injected defect can be detected.
Configuration unsyncedPromise() {
  Configuration configuration = withoutFaults(configurationNamed("crash"));
  configuration.budgets.restarts = 1;
  configuration.defect = Defect::UnsyncedPromise;
  return configuration;
}
Configuration unsettledEpoch() {
  Configuration configuration = configurationNamed("replace");
  configuration.defect = Defect::UnsettledEpoch;
  return configuration;
}
Configuration minorityRead() {
  Configuration configuration = withoutFaults(configurationNamed("race"));
  configuration.defect = Defect::MinorityRead;
  return configuration;
}
Configuration resendAsNew() {
  Configuration configuration = withoutFaults(configurationNamed("resend"));
  configuration.changes.resize(1);
  configuration.calls = {{0}, {0}};
  configuration.defect = Defect::ResendAsNew;
  return configuration;
}

// Checks that the defect is detected, and that twice as many states without it have no violation.
SearchReport checkDetected(Configuration configuration, std::size_t states) {
  SearchReport found = search(configuration, states);
  CHECK_FALSE(found.violation.empty());
  CHECK(found.schedule.size() == found.depth);
  configuration.defect = Defect::None;
  const SearchReport clean = search(configuration, 2 * found.distinct);
  CHECK(clean.violation.empty());
  CHECK((clean.isExhausted || clean.distinct >= 2 * found.distinct));
  return found;
}

// Searches a named configuration, with all its faults, up to a bound on the states.
void checkNamed(const std::string& name) {
  constexpr std::size_t kStates = 30'000;
  const SearchReport report = search(configurationNamed(name), kStates);
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
  const SearchReport report = search(withoutFaults(configurationNamed("race")), 1'000'000);
  CHECK(report.violation.empty());
  CHECK(report.isExhausted);
  CHECK(report.distinct > 4'000);
  CHECK(report.depth >= 20);
}

// Three interchangeable replicas have six permutations, so at most six states are merged into one,
// and the depth does not change.
TEST_CASE("model: merging states of like replicas loses none") {
  const Configuration race = withoutFaults(configurationNamed("race"));
  SearchBounds withoutMerging;
  withoutMerging.mergesSymmetricStates = false;
  const SearchReport merged = explore(race, {});
  const SearchReport unmerged = explore(race, withoutMerging);
  REQUIRE(merged.isExhausted);
  REQUIRE(unmerged.isExhausted);
  CHECK(merged.depth == unmerged.depth);
  CHECK(merged.distinct < unmerged.distinct);
  CHECK(6 * merged.distinct >= unmerged.distinct);
  const SearchReport defectMerged = explore(unsyncedPromise(), {});
  const SearchReport defectUnmerged = explore(unsyncedPromise(), withoutMerging);
  CHECK_FALSE(defectMerged.violation.empty());
  CHECK(defectMerged.depth == defectUnmerged.depth);
}

// A round is abandoned and its Accept is delivered late: a reported conflict must remain true.
TEST_CASE("model: a race in which one round's time passes is exhausted and holds") {
  Configuration race = withoutFaults(configurationNamed("race"));
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
  const SearchReport found = checkDetected(unsyncedPromise(), 400'000);
  CHECK(found.violation.find("without an acknowledged change") != std::string::npos);
  Configuration withoutRestarts = unsyncedPromise();
  withoutRestarts.budgets.restarts = 0;  // the promise is still in memory
  CHECK(search(withoutRestarts, 1'000'000).violation.empty());
}

TEST_CASE("model: finds a replica set that follows one that is not settled") {
  const SearchReport found = checkDetected(unsettledEpoch(), 400'000);
  CHECK(found.violation.find("without an acknowledged change: epoch 3") != std::string::npos);
}

TEST_CASE("model: finds a read that asks a minority") {
  const SearchReport found = checkDetected(minorityRead(), 100'000);
  CHECK(found.violation.find("acknowledged before it began") != std::string::npos);
}

TEST_CASE("model: finds a change sent again that is judged as a new one") {
  const SearchReport found = checkDetected(resendAsNew(), 100'000);
  CHECK(found.violation.find("refused") != std::string::npos);
}

TEST_CASE("model: which majorities meet") {
  CHECK(majoritiesIntersect(setOf(1, {1, 2, 3}), setOf(2, {1, 2, 3, 4})));
  CHECK(majoritiesIntersect(setOf(1, {1, 2, 3, 4}), setOf(2, {1, 2, 3})));
  CHECK_FALSE(majoritiesIntersect(setOf(1, {1, 2, 3}), setOf(2, {2, 3, 4})));
  CHECK_FALSE(majoritiesIntersect(setOf(1, {1, 2, 3}), setOf(3, {1, 2, 3, 4, 5})));
  CHECK_FALSE(majoritiesIntersect(setOf(1, {1}), setOf(2, {2})));
}
