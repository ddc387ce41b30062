#pragma once
// Ends a process that was asked to leave and is held up, by a file, a disk or a lock that does not
// come free. The platform would end it by force.
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "base/clock.h"

namespace quayrill {

// While it exists, ends the process with status 0 as soon as `isDue` returns true.
class ExitGuard {
 public:
  // `isDue` is called on a thread of the guard's own. `what` tells what is held up, for the log.
  ExitGuard(const char* what, std::function<bool()> isDue);
  ~ExitGuard();
  ExitGuard(const ExitGuard&) = delete;
  ExitGuard& operator=(const ExitGuard&) = delete;

 private:
  void run();

  const char* what_;
  std::function<bool()> isDue_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool isOver_ = false;
  std::thread thread_;  // none where the machine has no room for it
};

// For a start: due a second after a signal asked the process to leave.
std::function<bool()> isLeaveOverdue();
// For a leave: due at that time.
std::function<bool()> isPast(Instant deadline);

}  // namespace quayrill
