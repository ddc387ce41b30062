#include "placement/try_budget.h"

#include <algorithm>

namespace quayrill {

using namespace std::chrono_literals;

namespace {
// A window that starts between a burst of traffic and the tries it paid for would see the tries
// alone. Asking the shorter windows too spaces the tries out with the traffic.
constexpr Span kWindows[] = {10s, 5s, 2s};
// One seventh leaves room below a fifth for windows that cut a burst.
constexpr std::size_t kShare = 7;
}  // namespace

std::size_t TryBudget::count(const std::deque<Instant>& times, Instant now, Span window) {
  const auto first = std::upper_bound(times.begin(), times.end(), now - window);
  return static_cast<std::size_t>(times.end() - first);
}

void TryBudget::forget(Instant now) {
  for (auto* times : {&firsts_, &extras_}) {
    while (!times->empty() && times->front() <= now - kWindows[0]) times->pop_front();
  }
}

void TryBudget::countFirst(Instant now) {
  forget(now);
  firsts_.push_back(now);
}

bool TryBudget::couldTakeExtra(Instant now) const {
  return std::all_of(std::begin(kWindows), std::end(kWindows), [&](Span window) {
    return (count(extras_, now, window) + 1) * kShare <= count(firsts_, now, window);
  });
}

bool TryBudget::takeExtra(Instant now) {
  forget(now);
  if (!couldTakeExtra(now)) return false;
  extras_.push_back(now);
  return true;
}

}  // namespace quayrill
