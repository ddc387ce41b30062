#pragma once
// Limits retries to a share of the requests. The limit holds per service and over all daemons
// together: in every sliding window, at most `share` of the requests may be retried, plus a fixed
// slack. Each daemon enforces its part from what it observes alone, without communication.
//
// Why the local limits imply the global one: let W be a window of length T, and t the time of a
// daemon's last retry in W. All retries of that daemon in W lie in (t - T, t], so their number is
// at most local share * its own requests in (t - T, t] + local slack. That span lies within W and
// the window before it, and each request belongs to one daemon. The sum over the daemons is
// therefore at most local share * (requests in W + requests in the window before) + the sum of the
// slacks. If each daemon uses half of `share` as its local share, this is at most share * the
// larger of the two request counts, plus the slacks. Nothing is assumed about how traffic is spread
// over the daemons, or how it moves between them.
#include <deque>
#include <map>

#include "base/clock.h"
#include "base/types.h"

namespace quayrill {

// The retry budget of one service on one daemon.
class RetryBudget {
 public:
  // Allows at most share * requests + slack retries within the window. The same limit, scaled down,
  // holds for a half and a fifth of the window.
  explicit RetryBudget(double share = 1.0 / 7, double slack = 0,
                       Duration window = std::chrono::seconds(10))
      : share_(share), slack_(slack), window_(window) {}
  // Call once per request, however often the request is sent.
  void countRequest(Instant now);
  bool canTakeRetry(Instant now) const;
  // Takes one retry if all trailing windows allow it. The budget is empty at start.
  bool takeRetry(Instant now);
  // Replaces the slack; applies from the next call on.
  void setSlack(double slack) { slack_ = slack; }
  // True if there was neither a request nor a retry within the last window.
  bool isIdle(Instant now) const {
    return requestCount(now, window_) + retryCount(now, window_) == 0;
  }
  // Requests and retries within the last `window`, which may not exceed the budget's own.
  std::size_t requestCount(Instant now, Duration window) const {
    return count(requests_, now, window);
  }
  std::size_t retryCount(Instant now, Duration window) const {
    return count(retries_, now, window);
  }

 private:
  static std::size_t count(const std::deque<Instant>& times, Instant now, Duration window);
  void dropExpired(Instant now);
  double share_;
  double slack_;
  Duration window_;
  // Times in ascending order, none older than the window.
  std::deque<Instant> requests_, retries_;
};

// The retry budgets of all services on one daemon.
class RetryBudgets {
 public:
  // `fleetShare`: the limit over all daemons, of which each daemon applies half (see above).
  RetryBudgets(double fleetShare, Duration window) : share_(fleetShare / 2), window_(window) {}
  // `slack`: this daemon's part of the slack; applies to each service separately.
  void setSlack(double slack);
  void countRequest(const ServiceName& service, Instant now);
  bool canTakeRetry(const ServiceName& service, Instant now) const;
  bool takeRetry(const ServiceName& service, Instant now);
  // Removes the budgets of services without requests or retries for a whole window. Bounds the
  // table to the services that the configuration named within that window.
  void removeIdle(Instant now);
  // The number of services that have a budget at present.
  std::size_t serviceCount() const { return budgets_.size(); }

 private:
  RetryBudget& budgetFor(const ServiceName& service);
  double share_;
  double slack_ = 0;
  Duration window_;
  std::map<ServiceName, RetryBudget> budgets_;
};

// One daemon's part of the fleet-wide slack. No component knows the exact number of daemons; each
// daemon knows the live ones that it has heard of.
class RetrySlack {
 public:
  explicit RetrySlack(Duration window) : window_(window) {}
  // `daemons`: the number of live daemons that accept requests, as far as known now.
  void noteDaemons(std::size_t daemons, Instant now);
  // Returns 0 until the known number of daemons has not grown for one window. After that, half of
  // an even part by the largest number ever known. The sum over all daemons stays within
  // `fleetSlack` as long as each daemon knows at least half of the others.
  double shareOf(double fleetSlack, Instant now) const;

 private:
  Duration window_;
  std::size_t maxDaemons_ = 0;
  Instant lastGrowth_{};
};

}  // namespace quayrill
