#include "base/leave_request.h"

#include <csignal>

namespace quayrill {

bool isLeaveRequested() {
  sigset_t pending;
  sigemptyset(&pending);
  ::sigpending(&pending);
  return sigismember(&pending, SIGTERM) == 1 || sigismember(&pending, SIGINT) == 1;
}

}  // namespace quayrill
