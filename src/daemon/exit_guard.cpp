#include "daemon/exit_guard.h"

#include <cstdlib>
#include <optional>
#include <system_error>

#include "base/leave_request.h"
#include "net/log.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr std::chrono::milliseconds kPollInterval{100};
constexpr Duration kStartMayNotice = 1s;  // that it is to leave
}  // namespace

ExitGuard::ExitGuard(const char* what, std::function<bool()> isDue)
    : what_(what), isDue_(std::move(isDue)) {
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
  while (!wake_.wait_for(lock, kPollInterval, [this] { return isOver_; })) {
    if (!isDue_()) continue;
    LOG_LINE(kWarning) << what_ << " is held up: the process ends now, as it was asked to";
    std::_Exit(0);
  }
}

std::function<bool()> isLeaveOverdue() {
  return [noticedAt = std::optional<Instant>()]() mutable {
    if (!isLeaveRequested()) return false;
    const Instant now = BootClock::now();
    if (!noticedAt) noticedAt = now;
    return now >= *noticedAt + kStartMayNotice;
  };
}

std::function<bool()> isPast(Instant deadline) {
  return [deadline] { return BootClock::now() >= deadline; };
}

}  // namespace quayrill
