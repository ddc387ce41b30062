#pragma once
// The budget for extra tries. The bound is per service and over all daemons together: in every
// sliding window no more extra tries than `share` of the requests, plus a slack. Each daemon keeps
// its part by what it sees alone.
//
// Why the parts keep the whole: let W be a window of length T and t the last extra try of a daemon
// in W. What it took in W it took in (t - T, t], so it is at most own share * own requests in
// (t - T, t] + own slack. That span lies in W and the window before it, each request is one
// daemon's, and so the sum is at most own share * (requests in W + requests in the window before) +
// the sum of the slacks: with half of `share` as each one's own, at most share * the larger of the
// two. Nothing is assumed of how the traffic is spread, or moves.
#include <deque>
#include <map>

#include "base/clock.h"
#include "base/types.h"

namespace quayrill {

// One daemon's part for one service.
class RetryBudget {
 public:
  // At most share * requests + slack extra tries in the window, and as much in proportion in a half
  // and a fifth of it.
  explicit RetryBudget(double share = 1.0 / 7, double slack = 0,
                       Span window = std::chrono::seconds(10))
      : share_(share), slack_(slack), window_(window) {}
  // Once for each request, however often it is sent.
  void countRequest(Instant now);
  bool canTakeRetry(Instant now) const;
  // Takes one extra try if every trailing window can bear it. Empty at start.
  bool takeRetry(Instant now);
  void setSlack(double slack) { slack_ = slack; }
  // A whole window has passed over it.
  bool isIdle(Instant now) const {
    return requestCount(now, window_) + retryCount(now, window_) == 0;
  }
  std::size_t requestCount(Instant now, Span window) const { return count(requests_, now, window); }
  std::size_t retryCount(Instant now, Span window) const { return count(retries_, now, window); }

 private:
  static std::size_t count(const std::deque<Instant>& times, Instant now, Span window);
  void dropExpired(Instant now);
  double share_;
  double slack_;
  Span window_;
  // Both rise and hold no more than the longest window.
  std::deque<Instant> requests_, retries_;
};

// One daemon's parts for all services.
class RetryBudgets {
 public:
  // `fleetShare`: of the bound over all daemons.
  RetryBudgets(double fleetShare, Span window) : share_(fleetShare / 2), window_(window) {}
  // `slack`: this daemon's part, for each service.
  void setSlack(double slack);
  void countRequest(const ServiceName& service, Instant now);
  bool canTakeRetry(const ServiceName& service, Instant now) const;
  bool takeRetry(const ServiceName& service, Instant now);
  // Rows over which a whole window has passed with no request go: those that stay are of services
  // that the configuration named within it.
  void removeIdle(Instant now);
  std::size_t serviceCount() const { return budgets_.size(); }

 private:
  RetryBudget& budgetFor(const ServiceName& service);
  double share_;
  double slack_ = 0;
  Span window_;
  std::map<ServiceName, RetryBudget> budgets_;
};

// One daemon's part of the slack. How many daemons there are is told nowhere; each knows the live
// ones that it has heard of.
class RetrySlack {
 public:
  explicit RetrySlack(Span window) : window_(window) {}
  // `daemons`: live ones that take requests, as far as is known now.
  void noteDaemons(std::size_t daemons, Instant now);
  // 0 until the number has not grown for a window. Half of an even part then, by the largest number
  // ever known: the sum keeps the bound while each daemon knows half of the others or more.
  double shareOf(double fleetSlack, Instant now) const;

 private:
  Span window_;
  std::size_t maxDaemons_ = 0;
  Instant lastGrowth_{};
};

}  // namespace quayrill
