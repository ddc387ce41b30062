#pragma once
// Ends a process that was asked to leave and is held up, by a file, a disk or a lock that does not
// come free. The platform would end it by force.
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "base/clock.h"

namespace quayrill {

// While it exists, ends the process with status 0 as soon as that is due.
class ExitGuard {
 public:
  // The time until the end may be due; none or less: it is. Called on a thread of the guard's own,
  // again and again.
  using TimeLeft = std::function<Duration()>;
  // `what` tells what is held up, for the log.
  ExitGuard(const char* what, TimeLeft timeLeft);
  ~ExitGuard();
  ExitGuard(const ExitGuard&) = delete;
  ExitGuard& operator=(const ExitGuard&) = delete;

 private:
  void run();

  const char* what_;
  TimeLeft timeLeft_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool isOver_ = false;
  std::thread thread_;  // none where the machine has no room for it
};

// For a start: due 0.3 s after a signal asked the process to leave.
ExitGuard::TimeLeft untilLeaveIsOverdue();
// For a leave: due at that time.
ExitGuard::TimeLeft until(Instant deadline);

}  // namespace quayrill
