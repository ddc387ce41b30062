// The named scenarios of the simulator, with a few seeds each; `quayrill-sim --scenario` can run
// thousands.
#include <catch2/catch.hpp>

#include "sim/scenarios.h"

using namespace quayrill;
using namespace quayrill::sim;

namespace {
void runSeeds(NamedScenarioResult (*run)(std::uint64_t, bool), std::uint64_t seeds) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    INFO("seed " << seed);
    const NamedScenarioResult result = run(seed, false);
    CHECK(result.injectedFaults > 0);
    CHECK(result.confirmed > 0);
    for (const std::string& what : result.violations) FAIL_CHECK(what);
  }
}
// True if the scenario detects its injected defect with one of the seeds.
bool detectsDefect(NamedScenarioResult (*run)(std::uint64_t, bool), std::uint64_t seeds) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    if (!run(seed, true).violations.empty()) return true;
  }
  return false;
}
}  // namespace

TEST_CASE("scenario: a control machine is cut off while changes go on") { runSeeds(runCutOff, 10); }

TEST_CASE("scenario: operators race under one number and lose their answers") {
  runSeeds(runRacingOperators, 20);
}

TEST_CASE("scenario: 600 changes while replicas restart and disks fail") {
  runSeeds(runManyChanges, 3);
}

TEST_CASE("scenario: planted errors are found") {
  CHECK(detectsDefect(runCutOff, 2));
  CHECK(detectsDefect(runRacingOperators, 2));
  CHECK(detectsDefect(runManyChanges, 4));
}
