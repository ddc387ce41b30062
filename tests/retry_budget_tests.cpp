// Tests of the retry budget, summed over daemons that do not communicate.
#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <random>

#include "placement/retry_budget.h"

using namespace quayrill;
using namespace std::chrono_literals;

namespace {
constexpr double kShare = 0.2, kSlack = 58;
constexpr Duration kWindow = 10s;
const ServiceName kService{"svc"};

std::size_t countWithin(const std::vector<Instant>& times, Instant from, Instant to) {
  const auto begin = std::lower_bound(times.begin(), times.end(), from);
  return static_cast<std::size_t>(std::lower_bound(begin, times.end(), to) - begin);
}

// How many retries the fleet-wide limit still allows in the window [from, from + kWindow).
double remainingIn(const std::vector<Instant>& requests, const std::vector<Instant>& retries,
                   Instant from) {
  std::size_t most = 0;
  for (const Duration offset : {Duration{}, Duration(kWindow / 2), Duration(kWindow)})
    most = std::max(most, countWithin(requests, from - offset, from - offset + kWindow));
  return kShare * static_cast<double>(most) + kSlack -
         static_cast<double>(countWithin(retries, from, from + kWindow));
}

// The smallest remaining allowance over all windows, and the number of retries.
struct WorstCase {
  double remaining = 1e9;
  std::size_t retries = 0;
};

// Simulates two minutes. Traffic moves between daemons at any time, and the daemons together save
// up their budgets for a while and then take all retries that they can.
template <class Budget>
WorstCase simulate(std::size_t daemons, std::uint64_t seed, const std::function<Budget()>& make) {
  std::mt19937_64 random(seed);
  std::vector<Budget> budgets;
  for (std::size_t i = 0; i < daemons; ++i) budgets.push_back(make());
  std::vector<Instant> requests, retries;
  Instant now{1000s}, nextTrafficChange = now, nextSpendingChange = now;
  const std::size_t spacing =
      4000000 / (20 + 3 * daemons);  // twice the mean spacing, in microseconds
  std::size_t firstDaemon = 0, activeDaemons = daemons;
  bool isSpending = false, isIdlePhase = false, isRoundRobin = false;
  for (const Instant end = now + 120s; now < end;) {
    now += std::chrono::microseconds(1 + random() % spacing);
    if (now >= nextTrafficChange) {  // traffic goes to one, some or all daemons, or stops
      nextTrafficChange = now + std::chrono::milliseconds(100 + random() % 9900);
      firstDaemon = random() % daemons;
      const std::size_t subset = 1 + random() % daemons;
      activeDaemons = std::array<std::size_t, 4>{1, subset, daemons, daemons}[random() % 4];
      isRoundRobin = random() % 2;
      isIdlePhase = random() % 6 == 0;
    }
    if (now >= nextSpendingChange) {
      nextSpendingChange = now + std::chrono::milliseconds(1 + random() % 8000);
      isSpending = !isSpending;
    }
    if (!isIdlePhase) {
      budgets[(firstDaemon + (isRoundRobin ? requests.size() : random()) % activeDaemons) % daemons]
          .countRequest(kService, now);
      requests.push_back(now);
    }
    if (!isSpending || random() % (4 + daemons / 4)) continue;
    for (Budget& budget : budgets) {
      while (budget.takeRetry(kService, now)) retries.push_back(now);
    }
  }
  WorstCase worst;
  worst.retries = retries.size();
  // The windows with the most retries start with a retry or end right after one.
  for (const Instant at : retries) {
    worst.remaining = std::min(worst.remaining, remainingIn(requests, retries, at));
    worst.remaining =
        std::min(worst.remaining, remainingIn(requests, retries, at - kWindow + Duration(1)));
  }
  return worst;
}

RetryBudgets budgetsOf(std::size_t known) {
  RetrySlack slack(kWindow);
  slack.noteDaemons(known, Instant{1s});
  RetryBudgets budgets(kShare, kWindow);
  budgets.setSlack(slack.shareOf(kSlack, Instant{1s} + kWindow));
  return budgets;
}
}  // namespace

TEST_CASE("extra tries: the sum over daemons keeps the bound in every sliding window") {
  for (const std::size_t daemons : {1, 2, 9, 81, 340}) {
    std::size_t retries = 0;
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
      // Each daemon knows all others, or half of them.
      for (const std::size_t known : {daemons, (daemons + 1) / 2}) {
        const WorstCase worst =
            simulate<RetryBudgets>(daemons, seed, [&] { return budgetsOf(known); });
        INFO(daemons << " daemons, " << known << " known, seed " << seed);
        CHECK(worst.remaining >= 0);
        retries += worst.retries;
      }
    }
    CHECK(retries > 500);
  }
}

namespace {
// A former, incorrect scheme: 70 % of the share for each daemon, and a sixteenth of the slack
// regardless of the number of daemons.
struct FixedPartBudget {
  RetryBudget budget{kShare * 0.7, std::floor(kSlack / 16), kWindow};
  void countRequest(const ServiceName&, Instant now) { budget.countRequest(now); }
  bool takeRetry(const ServiceName&, Instant now) {
    if (!budget.takeRetry(now)) return false;
    budget.countRequest(now);  // each attempt was counted as a request
    return true;
  }
};
}  // namespace

TEST_CASE("extra tries: a fixed part of the slack breaks the bound of many daemons") {
  // Shows that the simulation above can detect a violated limit.
  CHECK(simulate<FixedPartBudget>(81, 1, [] { return FixedPartBudget{}; }).remaining < 0);
  CHECK(simulate<FixedPartBudget>(340, 1, [] { return FixedPartBudget{}; }).remaining < 0);
}

TEST_CASE("extra tries: the slack waits until the number of daemons is known") {
  RetrySlack slack(kWindow);
  CHECK(slack.shareOf(kSlack, Instant{100s}) == 0);
  slack.noteDaemons(0, Instant{100s});
  CHECK(slack.shareOf(kSlack, Instant{200s}) == 0);
  slack.noteDaemons(9, Instant{200s});
  CHECK(slack.shareOf(kSlack, Instant{209s}) == 0);
  CHECK(slack.shareOf(kSlack, Instant{210s}) == Approx(kSlack / 18));
  // Knowing fewer daemons, as during a network partition, must not increase the slack.
  slack.noteDaemons(1, Instant{220s});
  CHECK(slack.shareOf(kSlack, Instant{300s}) == Approx(kSlack / 18));
  slack.noteDaemons(10, Instant{300s});
  CHECK(slack.shareOf(kSlack, Instant{301s}) == 0);
  CHECK(slack.shareOf(kSlack, Instant{310s}) == Approx(kSlack / 20));
}

TEST_CASE("extra tries: one service's requests pay for no other's, and idle rows go") {
  RetryBudgets budgets(kShare, kWindow);
  const Instant now{100s};
  for (int i = 0; i < 100; ++i) budgets.countRequest(ServiceName{"busy"}, now);
  CHECK_FALSE(budgets.canTakeRetry(ServiceName{"quiet"}, now));
  CHECK_FALSE(budgets.takeRetry(ServiceName{"quiet"}, now));
  int taken = 0;
  while (budgets.takeRetry(ServiceName{"busy"}, now)) ++taken;
  CHECK(taken == 10);
  for (int i = 0; i < 500; ++i) {
    const Instant at = now + i * 1s;
    budgets.countRequest(ServiceName{"s" + std::to_string(i)}, at);
    budgets.removeIdle(at);
    CHECK(budgets.serviceCount() <= 13);
  }
}
