#pragma once
// The budget for extra tries: at most a fifth of the traffic in any window.
#include <deque>

#include "base/clock.h"

namespace quayrill {

class TryBudget {
 public:
  // At most share * firsts + slack extra tries in the window, and as much in proportion in a half
  // and a fifth of it. One seventh leaves room below a fifth for windows that cut a burst.
  explicit TryBudget(double share = 1.0 / 7, std::size_t slack = 0,
                     Span window = std::chrono::seconds(10))
      : share_(share), slack_(slack), window_(window) {}
  void countFirst(Instant now);
  bool couldTakeExtra(Instant now) const;
  // Takes one extra try if every trailing window can bear it. Empty at start.
  bool takeExtra(Instant now);
  std::size_t firsts(Instant now, Span window) const { return count(firsts_, now, window); }
  std::size_t extras(Instant now, Span window) const { return count(extras_, now, window); }

 private:
  static std::size_t count(const std::deque<Instant>& times, Instant now, Span window);
  void forget(Instant now);
  double share_;
  std::size_t slack_;
  Span window_;
  // Both rise and hold no more than the longest window.
  std::deque<Instant> firsts_, extras_;
};

}  // namespace quayrill
