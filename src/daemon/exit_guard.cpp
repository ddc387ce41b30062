#include "daemon/exit_guard.h"

#include <cstdlib>
#include <optional>
#include <system_error>

#include "base/leave_request.h"
#include "net/log.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Duration kPollInterval = 100ms;
constexpr Duration kStartMayNotice = 300ms;  // that it is to leave
}  // namespace

ExitGuard::ExitGuard(const char* what, TimeLeft timeLeft)
    : what_(what), timeLeft_(std::move(timeLeft)) {
  try {
    thread_ = std::thread([this] { run(); });
  } catch (const std::system_error& error) {
    LOG_LINE(kWarning) << "no guard of " << what_ << ": can't start a thread (" << error.what()
                       << ")";
  }
}

ExitGuard::~ExitGuard() {
  {
    const std::lock_guard lock(mutex_);
    isOver_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) thread_.join();
}

void ExitGuard::run() {
  std::unique_lock lock(mutex_);
  for (Duration left = timeLeft_(); left > Duration{}; left = timeLeft_()) {
    if (wake_.wait_for(lock, left, [this] { return isOver_; })) return;
  }
  LOG_LINE(kWarning) << what_ << " is held up: the process ends now, as it was asked to";
  std::_Exit(0);
}

ExitGuard::TimeLeft untilLeaveIsOverdue() {
  return [noticedAt = std::optional<Instant>()]() mutable {
    if (!isLeaveRequested()) return kPollInterval;
    const Instant now = BootClock::now();
    if (!noticedAt) noticedAt = now;
    return *noticedAt + kStartMayNotice - now;
  };
}

ExitGuard::TimeLeft until(Instant deadline) {
  return [deadline] { return deadline - BootClock::now(); };
}

}  // namespace quayrill
