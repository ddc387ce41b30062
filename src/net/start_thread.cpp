#include "net/start_thread.h"

#include <chrono>
#include <system_error>

#include "base/leave_request.h"
#include "net/log.h"

namespace quayrill {

namespace {
constexpr std::chrono::milliseconds kRetryInterval{100};
constexpr int kTriesPerReport = 100;
}  // namespace

std::thread startThread(const char* name, const std::function<void()>& body) {
  for (int tries = 0;; ++tries) {
    try {
      return std::thread(body);
    } catch (const std::system_error& error) {
      if (error.code() != std::errc::resource_unavailable_try_again || isLeaveRequested()) throw;
      if (tries % kTriesPerReport == 0)
        LOG_LINE(kError) << "can't start a thread for " << name << " (" << error.what()
                         << "): raise the limit on threads or memory, it is tried again";
    }
    std::this_thread::sleep_for(kRetryInterval);
  }
}

}  // namespace quayrill
