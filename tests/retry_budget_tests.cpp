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
constexpr Span kWindow = 10s;
const ServiceName kService{"svc"};

std::size_t within(const std::vector<Instant>& times, Instant from, Instant to) {
  const auto first = std::lower_bound(times.begin(), times.end(), from);
  return static_cast<std::size_t>(std::lower_bound(first, times.end(), to) - first);
}

// How many retries the fleet-wide limit still allows in the window [from, from + kWindow).
double leftIn(const std::vector<Instant>& requests, const std::vector<Instant>& extras,
              Instant from) {
  std::size_t most = 0;
  for (const Span back : {Span{}, Span(kWindow / 2), Span(kWindow)})
    most = std::max(most, within(requests, from - back, from - back + kWindow));
  return kShare * static_cast<double>(most) + kSlack -
         static_cast<double>(within(extras, from, from + kWindow));
}

// The smallest remaining allowance over all windows, and the number of retries.
struct Worst {
  double left = 1e9;
  std::size_t extras = 0;
};

// Simulates two minutes. Traffic moves between daemons at any time, and the daemons together save
// up their budgets for a while and then take all retries that they can.
template <class Budget>
Worst play(std::size_t daemons, std::uint64_t seed, const std::function<Budget()>& make) {
  std::mt19937_64 random(seed);
  std::vector<Budget> budgets;
  for (std::size_t i = 0; i < daemons; ++i) budgets.push_back(make());
  std::vector<Instant> requests, extras;
  Instant now{1000s}, nextMove = now, nextTurn = now;
  const std::size_t spacing =
      4000000 / (20 + 3 * daemons);  // twice the mean spacing, in microseconds
  std::size_t first = 0, used = daemons;
  bool spends = false, rests = false, takesTurns = false;
  for (const Instant end = now + 120s; now < end;) {
    now += std::chrono::microseconds(1 + random() % spacing);
    if (now >= nextMove) {  // traffic goes to one, some or all daemons, or stops
      nextMove = now + std::chrono::milliseconds(100 + random() % 9900);
      first = random() % daemons;
      const std::size_t some = 1 + random() % daemons;
      used = std::array<std::size_t, 4>{1, some, daemons, daemons}[random() % 4];
      takesTurns = random() % 2;
      rests = random() % 6 == 0;
    }
    if (now >= nextTurn) {
      nextTurn = now + std::chrono::milliseconds(1 + random() % 8000);
      spends = !spends;
    }
    if (!rests) {
      budgets[(first + (takesTurns ? requests.size() : random()) % used) % daemons].countRequest(
          kService, now);
      requests.push_back(now);
    }
    if (!spends || random() % (4 + daemons / 4)) continue;
    for (Budget& budget : budgets) {
      while (budget.takeRetry(kService, now)) extras.push_back(now);
    }
  }
  Worst worst;
  worst.extras = extras.size();
  // The windows with the most retries start with a retry or end right after one.
  for (const Instant at : extras) {
    worst.left = std::min(worst.left, leftIn(requests, extras, at));
    worst.left = std::min(worst.left, leftIn(requests, extras, at - kWindow + Span(1)));
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
    std::size_t extras = 0;
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
      // Each daemon knows all others, or half of them.
      for (const std::size_t known : {daemons, (daemons + 1) / 2}) {
        const Worst worst = play<RetryBudgets>(daemons, seed, [&] { return budgetsOf(known); });
        INFO(daemons << " daemons, " << known << " known, seed " << seed);
        CHECK(worst.left >= 0);
        extras += worst.extras;
      }
    }
    CHECK(extras > 500);
  }
}

namespace {
// A former, incorrect scheme: 70 % of the share for each daemon, and a sixteenth of the slack
// regardless of the number of daemons.
struct EvenPart {
  RetryBudget row{kShare * 0.7, std::floor(kSlack / 16), kWindow};
  void countRequest(const ServiceName&, Instant now) { row.countRequest(now); }
  bool takeRetry(const ServiceName&, Instant now) {
    if (!row.takeRetry(now)) return false;
    row.countRequest(now);  // each attempt was counted as a request
    return true;
  }
};
}  // namespace

TEST_CASE("extra tries: a fixed part of the slack breaks the bound of many daemons") {
  // Shows that the simulation above can detect a violated limit.
  CHECK(play<EvenPart>(81, 1, [] { return EvenPart{}; }).left < 0);
  CHECK(play<EvenPart>(340, 1, [] { return EvenPart{}; }).left < 0);
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
