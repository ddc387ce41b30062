// Machine losses that follow each other as closely as the tolerated number of simultaneous losses
// permits, over many seeds.
#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

#include "sim/losses.h"

using namespace quayrill;
using namespace quayrill::sim;
using namespace std::chrono_literals;

namespace {
using Seconds = std::chrono::duration<double>;

// The environment variable QUAYRILL_SEEDS overrides the number of seeds, for long manual runs, and
// prints the statistics.
std::uint64_t seedsOr(std::uint64_t defaultSeeds) {
  const char* requested = std::getenv("QUAYRILL_SEEDS");
  return requested ? std::strtoull(requested, nullptr, 10) : defaultSeeds;
}

// Statistics over all losses of one kind.
struct RepairStatistics {
  std::size_t losses = 0, unrepaired = 0;
  Duration slowest{},
      leastMargin = 1h;  // margin: from the repair until the next loss was permitted
  std::uint64_t epochs = 0;
};

// Runs all seeds, checks the guarantees of each run and returns the repair statistics by kind.
std::map<LossKind, RepairStatistics> checkLosses(LossesSettings settings, std::uint64_t seeds,
                                                 Duration longestGap) {
  std::map<LossKind, RepairStatistics> statisticsByKind;
  Duration gap{};
  for (settings.seed = 1; settings.seed <= seeds; ++settings.seed) {
    const LossesResult result = runLosses(settings);
    INFO("seed " << settings.seed);
    REQUIRE(result.founded);
    CHECK(result.majorityAtEnd);
    CHECK(result.newestChangeKept);
    CHECK(result.acknowledged > 20);
    CHECK(Seconds(result.longestGap).count() < Seconds(longestGap).count());
    gap = std::max(gap, result.longestGap);
    for (const auto& violation : result.violations) FAIL_CHECK(violation.what);
    for (const LossOutcome& outcome : result.outcomes) {
      RepairStatistics& statistics = statisticsByKind[outcome.kind];
      ++statistics.losses;
      statistics.epochs += outcome.epochs;
      if (!outcome.repairedAfter) {
        ++statistics.unrepaired;
        continue;
      }
      statistics.slowest = std::max(statistics.slowest, *outcome.repairedAfter);
      statistics.leastMargin =
          std::min(statistics.leastMargin, outcome.nextLossAllowedAfter - *outcome.repairedAfter);
    }
  }
  if (!std::getenv("QUAYRILL_SEEDS")) return statisticsByKind;
  std::cout << settings.diskMachines << " machines, " << settings.tolerate << " tolerated, "
            << seeds << " seeds: longest gap between acknowledged changes " << Seconds(gap).count()
            << " s\n";
  for (const auto& [kind, statistics] : statisticsByKind)
    std::cout << "  " << nameOf(kind) << ": " << statistics.losses << " losses, "
              << statistics.unrepaired << " not repaired in time, slowest "
              << Seconds(statistics.slowest).count() << " s, least margin "
              << Seconds(statistics.leastMargin).count() << " s, epochs "
              << static_cast<double>(statistics.epochs) / static_cast<double>(statistics.losses)
              << "\n";
  return statisticsByKind;
}
}  // namespace

TEST_CASE("sim losses: one at a time of four machines, queued at the bound, leave all repaired") {
  LossesSettings settings;
  const auto statisticsByKind = checkLosses(settings, seedsOr(12), 5s);
  for (const auto& [kind, statistics] : statisticsByKind) {
    INFO(nameOf(kind));
    CHECK(statistics.unrepaired == 0);
    // A leaving machine votes for another 3 s, so the next loss may come before it is replaced.
    if (kind == LossKind::Replaced)
      CHECK(statistics.slowest < 3s);
    else
      CHECK(statistics.leastMargin > 300ms);
  }
}

TEST_CASE("sim losses: two at once of eight machines, queued at the bound, keep every change") {
  LossesSettings settings;
  settings.diskMachines = 8;
  settings.tolerate = 2;
  settings.catchUpSpan = 6s;
  settings.losses = 8;
  checkLosses(settings, seedsOr(6), 5s);
}

TEST_CASE("sim losses: two at once of five machines, queued at the bound, keep every change") {
  LossesSettings settings;
  settings.diskMachines = 5;
  settings.tolerate = 2;
  settings.catchUpSpan = 6s;
  settings.losses = 8;
  checkLosses(settings, seedsOr(6), 5s);
}

TEST_CASE("sim losses: a planned replacement, then at once the loss of a disk, keep every change") {
  LossesSettings settings;
  settings.kinds = {LossKind::Replaced, LossKind::Wiped};
  settings.losses = 6;
  const auto statisticsByKind = checkLosses(settings, seedsOr(12), 5s);
  for (const auto& [kind, statistics] : statisticsByKind) {
    INFO(nameOf(kind));
    CHECK(statistics.unrepaired == 0);
    CHECK((kind == LossKind::Replaced ? statistics.slowest < 3s : statistics.leastMargin > 300ms));
  }
}

TEST_CASE("sim losses: a plain restart costs no step of the replica set") {
  LossesSettings settings;
  settings.kinds = {LossKind::Restarted};
  const auto statisticsByKind = checkLosses(settings, seedsOr(6), 5s);
  CHECK(statisticsByKind.at(LossKind::Restarted).epochs == 0);
}
