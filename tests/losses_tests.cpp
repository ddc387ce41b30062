// Losses queued as closely as the losses to bear allow, over many seeds.
#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

#include "sim/losses.h"

using namespace quayrill;
using namespace quayrill::sim;
using namespace std::chrono_literals;

namespace {
using Seconds = std::chrono::duration<double>;

// More seeds by hand: QUAYRILL_SEEDS.
std::uint64_t seedsOr(std::uint64_t usual) {
  const char* asked = std::getenv("QUAYRILL_SEEDS");
  return asked ? std::strtoull(asked, nullptr, 10) : usual;
}

struct Sum {
  std::size_t losses = 0, unrepaired = 0;
  Span slowest{}, leastMargin = 1h;
  std::uint64_t epochs = 0;
};

// Runs all seeds, checks what must hold in each, and returns the repairs by kind.
std::map<LossKind, Sum> checkLosses(LossesSettings settings, std::uint64_t seeds, Span longestGap) {
  std::map<LossKind, Sum> sums;
  Span gap{};
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
      Sum& sum = sums[outcome.kind];
      ++sum.losses;
      sum.epochs += outcome.epochs;
      if (!outcome.repairedAfter) {
        ++sum.unrepaired;
        continue;
      }
      sum.slowest = std::max(sum.slowest, *outcome.repairedAfter);
      sum.leastMargin =
          std::min(sum.leastMargin, outcome.nextLossAllowedAfter - *outcome.repairedAfter);
    }
  }
  if (!std::getenv("QUAYRILL_SEEDS")) return sums;
  std::cout << settings.diskMachines << " machines, " << settings.tolerate << " to bear, " << seeds
            << " seeds: longest gap between acknowledged changes " << Seconds(gap).count()
            << " s\n";
  for (const auto& [kind, sum] : sums)
    std::cout << "  " << nameOf(kind) << ": " << sum.losses << " losses, " << sum.unrepaired
              << " not repaired in time, slowest " << Seconds(sum.slowest).count()
              << " s, least margin " << Seconds(sum.leastMargin).count() << " s, steps "
              << static_cast<double>(sum.epochs) / static_cast<double>(sum.losses) << "\n";
  return sums;
}
}  // namespace

TEST_CASE("sim losses: one at a time of four machines, queued at the bound, leave all repaired") {
  LossesSettings settings;
  const auto sums = checkLosses(settings, seedsOr(12), 5s);
  for (const auto& [kind, sum] : sums) {
    INFO(nameOf(kind));
    CHECK(sum.unrepaired == 0);
    // One that is told to end votes for 3 s more, so the next loss may come before it is replaced.
    if (kind == LossKind::Replaced)
      CHECK(sum.slowest < 3s);
    else
      CHECK(sum.leastMargin > 300ms);
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
  const auto sums = checkLosses(settings, seedsOr(12), 5s);
  for (const auto& [kind, sum] : sums) {
    INFO(nameOf(kind));
    CHECK(sum.unrepaired == 0);
    CHECK((kind == LossKind::Replaced ? sum.slowest < 3s : sum.leastMargin > 300ms));
  }
}

TEST_CASE("sim losses: a plain restart costs no step of the replica set") {
  LossesSettings settings;
  settings.kinds = {LossKind::Restarted};
  const auto sums = checkLosses(settings, seedsOr(6), 5s);
  CHECK(sums.at(LossKind::Restarted).epochs == 0);
}
