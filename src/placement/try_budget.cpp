#include "placement/try_budget.h"

#include <algorithm>

namespace quayrill {

using namespace std::chrono_literals;

namespace {
// A window that starts between a burst of traffic and the tries it paid for would see the tries
// alone. Asking shorter windows too spaces the tries out with the traffic.
constexpr int kDivisors[] = {1, 2, 5};
}  // namespace

std::size_t TryBudget::count(const std::deque<Instant>& times, Instant now, Span window) {
  const auto first = std::upper_bound(times.begin(), times.end(), now - window);
  return static_cast<std::size_t>(times.end() - first);
}

void TryBudget::forget(Instant now) {
  for (auto* times : {&firsts_, &extras_}) {
    while (!times->empty() && times->front() <= now - window_) times->pop_front();
  }
}

void TryBudget::countFirst(Instant now) {
  forget(now);
  firsts_.push_back(now);
}

bool TryBudget::couldTakeExtra(Instant now) const {
  return std::all_of(std::begin(kDivisors), std::end(kDivisors), [&](int divisor) {
    const Span window = window_ / divisor;
    const double allowed = share_ * static_cast<double>(count(firsts_, now, window)) +
                           static_cast<double>(slack_) / divisor;
    return static_cast<double>(count(extras_, now, window) + 1) <= allowed + 1e-9;
  });
}

bool TryBudget::takeExtra(Instant now) {
  forget(now);
  if (!couldTakeExtra(now)) return false;
  extras_.push_back(now);
  return true;
}

}  // namespace quayrill
