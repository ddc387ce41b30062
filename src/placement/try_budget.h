#pragma once
// The budget for extra tries: at most a fifth of the traffic in any window.
#include <deque>

#include "base/clock.h"

namespace quayrill {

class TryBudget {
 public:
  void countFirst(Instant now);
  bool couldTakeExtra(Instant now) const;
  // Takes one extra try if every trailing window can bear it. Empty at start.
  bool takeExtra(Instant now);
  std::size_t firsts(Instant now, Span window) const { return count(firsts_, now, window); }
  std::size_t extras(Instant now, Span window) const { return count(extras_, now, window); }

 private:
  static std::size_t count(const std::deque<Instant>& times, Instant now, Span window);
  void forget(Instant now);
  // Both rise and hold no more than the longest window.
  std::deque<Instant> firsts_, extras_;
};

}  // namespace quayrill
