// Graceful shutdown of the relay. Accepts requests as long as the platform may still hand over
// connections, completes those accepted, and finishes before it would be killed.
#include "relay/leaving.h"

#include <sys/socket.h>

#include <algorithm>

#include "net/spawn.h"
#include "relay/relay.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
// The platform checks readiness once a second and removes an instance after two failures. The third
// second covers a check in progress and the handover of connections.
constexpr Duration kHandoverPeriod = 3s;
constexpr Duration kRejectPeriod = 500ms;  // late connections get a rejection instead of a reset
constexpr Duration kPollInterval = 20ms;
// Parts of the grace before the kill: a busy machine may take that long for what is left to do. The
// first leaves time to write the final responses, the second for the process to exit.
constexpr int kAbortPart = 7, kExitPart = 8;

// True if unread bytes of a request are available.
bool hasBytes(Tcp::socket& socket) {
  char byte = 0;
  return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}
}  // namespace

LeaveSchedule leaveSchedule(Instant signalAt, Duration grace) {
  LeaveSchedule schedule;
  schedule.exitBy = signalAt + grace - grace / kExitPart;
  schedule.abortAt = signalAt + grace - grace / kAbortPart;
  schedule.rejectFrom = signalAt + std::min<Duration>(kHandoverPeriod, grace / 2);
  schedule.earliestExit = schedule.rejectFrom + std::min<Duration>(kRejectPeriod, grace / 16);
  return schedule;
}

void Relay::beginLeaving(Duration grace) {
  if (leaving_.exchange(true)) return;
  spawnTask(io_, "leaving", leave(leaveSchedule(BootClock::now(), grace)));
}

awaitable<void> Relay::leave(LeaveSchedule schedule) {
  co_await pauseFor(schedule.rejectFrom - BootClock::now());
  isRejecting_ = true;
  closeIdleCallers();
  co_await pauseFor(schedule.earliestExit - BootClock::now());
  while (isBusy() && BootClock::now() < schedule.abortAt) co_await pauseFor(kPollInterval);
  isAborting_ = true;
  abortAttempts();
  while (isBusy() && BootClock::now() < schedule.exitBy) co_await pauseFor(kPollInterval);
  hasLeft_ = true;
}

// Closes connections without a request. A request that is in transit at that moment is never read,
// and the connection reset tells its caller so. Bytes that arrived before the close are visible
// here; their request is read and answered.
void Relay::closeIdleCallers() {
  for (const auto& weak : callerList_) {
    const auto caller = weak.lock();
    ErrorCode code;
    if (caller && caller->isIdle && !hasBytes(caller->socket)) caller->socket.close(code);
  }
}

// True if a request is in progress or has arrived.
bool Relay::isBusy() const {
  return std::any_of(callerList_.begin(), callerList_.end(), [](const auto& weak) {
    const auto caller = weak.lock();
    return caller && caller->socket.is_open() && (!caller->isIdle || hasBytes(caller->socket));
  });
}

// Aborts all attempts. Each caller gets the response that is true of its request; a response that
// has started is truncated.
void Relay::abortAttempts() {
  for (const auto& weak : callerList_) {
    const auto caller = weak.lock();
    if (caller && caller->abortAttempt) caller->abortAttempt();
  }
}

}  // namespace quayrill
