#include "placement/retry_budget.h"

#include <algorithm>

namespace quayrill {

using namespace std::chrono_literals;

namespace {
// A window that starts between a burst of traffic and the tries it paid for would see the tries
// alone. Asking shorter windows too spaces the tries out with the traffic.
constexpr int kDivisors[] = {1, 2, 5};
// Ours: how many times more daemons there may be than one of them knows of.
constexpr double kUnknownDaemons = 2;
}  // namespace

std::size_t RetryBudget::count(const std::deque<Instant>& times, Instant now, Span window) {
  const auto first = std::upper_bound(times.begin(), times.end(), now - window);
  return static_cast<std::size_t>(times.end() - first);
}

void RetryBudget::forget(Instant now) {
  for (auto* times : {&firsts_, &extras_}) {
    while (!times->empty() && times->front() <= now - window_) times->pop_front();
  }
}

void RetryBudget::countRequest(Instant now) {
  forget(now);
  firsts_.push_back(now);
}

bool RetryBudget::canTakeRetry(Instant now) const {
  return std::all_of(std::begin(kDivisors), std::end(kDivisors), [&](int divisor) {
    const Span window = window_ / divisor;
    const double allowed =
        share_ * static_cast<double>(count(firsts_, now, window)) + slack_ / divisor;
    return static_cast<double>(count(extras_, now, window) + 1) <= allowed + 1e-9;
  });
}

bool RetryBudget::takeRetry(Instant now) {
  forget(now);
  if (!canTakeRetry(now)) return false;
  extras_.push_back(now);
  return true;
}

RetryBudget& RetryBudgets::rowOf(const ServiceName& service) {
  return rows_.try_emplace(service, share_, slack_, window_).first->second;
}

void RetryBudgets::setSlack(double slack) {
  slack_ = slack;
  for (auto& [service, row] : rows_) row.setSlack(slack);
}

void RetryBudgets::countRequest(const ServiceName& service, Instant now) {
  rowOf(service).countRequest(now);
}

bool RetryBudgets::canTakeRetry(const ServiceName& service, Instant now) const {
  const auto row = rows_.find(service);
  return row != rows_.end() && row->second.canTakeRetry(now);
}

bool RetryBudgets::takeRetry(const ServiceName& service, Instant now) {
  return rowOf(service).takeRetry(now);
}

void RetryBudgets::removeIdle(Instant now) {
  std::erase_if(rows_, [&](const auto& row) { return row.second.isIdle(now); });
}

void RetrySlack::note(std::size_t daemons, Instant now) {
  if (daemons <= most_) return;
  most_ = daemons;
  grewAt_ = now;
}

double RetrySlack::of(double fleetSlack, Instant now) const {
  if (most_ == 0 || now - grewAt_ < window_) return 0;
  return fleetSlack / (kUnknownDaemons * static_cast<double>(most_));
}

}  // namespace quayrill
