#include "placement/retry_budget.h"

#include <algorithm>

namespace quayrill {

using namespace std::chrono_literals;

namespace {
// A window that starts between a burst of requests and the retries that the burst paid for contains
// the retries alone. Checking shorter windows as well spreads the retries over the traffic.
constexpr int kWindowDivisors[] = {1, 2, 5};
// There may be up to this many times more daemons than a single one knows of.
constexpr double kUnseenDaemonFactor = 2;
}  // namespace

std::size_t RetryBudget::count(const std::deque<Instant>& times, Instant now, Duration window) {
  const auto first = std::upper_bound(times.begin(), times.end(), now - window);
  return static_cast<std::size_t>(times.end() - first);
}

void RetryBudget::dropExpired(Instant now) {
  for (auto* times : {&requests_, &retries_}) {
    while (!times->empty() && times->front() <= now - window_) times->pop_front();
  }
}

void RetryBudget::countRequest(Instant now) {
  dropExpired(now);
  requests_.push_back(now);
}

bool RetryBudget::canTakeRetry(Instant now) const {
  return std::all_of(std::begin(kWindowDivisors), std::end(kWindowDivisors), [&](int divisor) {
    const Duration window = window_ / divisor;
    const double allowed =
        share_ * static_cast<double>(count(requests_, now, window)) + slack_ / divisor;
    return static_cast<double>(count(retries_, now, window) + 1) <= allowed + 1e-9;
  });
}

bool RetryBudget::takeRetry(Instant now) {
  dropExpired(now);
  if (!canTakeRetry(now)) return false;
  retries_.push_back(now);
  return true;
}

RetryBudget& RetryBudgets::budgetFor(const ServiceName& service) {
  return budgets_.try_emplace(service, share_, slack_, window_).first->second;
}

void RetryBudgets::setSlack(double slack) {
  slack_ = slack;
  for (auto& [service, budget] : budgets_) budget.setSlack(slack);
}

void RetryBudgets::countRequest(const ServiceName& service, Instant now) {
  budgetFor(service).countRequest(now);
}

bool RetryBudgets::canTakeRetry(const ServiceName& service, Instant now) const {
  const auto budget = budgets_.find(service);
  return budget != budgets_.end() && budget->second.canTakeRetry(now);
}

bool RetryBudgets::takeRetry(const ServiceName& service, Instant now) {
  return budgetFor(service).takeRetry(now);
}

void RetryBudgets::removeIdle(Instant now) {
  std::erase_if(budgets_, [&](const auto& budget) { return budget.second.isIdle(now); });
}

void RetrySlack::noteDaemons(std::size_t daemons, Instant now) {
  if (daemons <= maxDaemons_) return;
  maxDaemons_ = daemons;
  lastGrowth_ = now;
}

double RetrySlack::shareOf(double fleetSlack, Instant now) const {
  if (maxDaemons_ == 0 || now - lastGrowth_ < window_) return 0;
  return fleetSlack / (kUnseenDaemonFactor * static_cast<double>(maxDaemons_));
}

}  // namespace quayrill
