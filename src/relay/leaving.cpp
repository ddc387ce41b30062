// The relay's leave: it accepts for as long as connections may still be handed to it, ends what it
// accepted, and is gone before it would be killed.
#include "relay/leaving.h"

#include <sys/socket.h>

#include <algorithm>

#include "relay/relay.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
// The platform asks for readiness once a second and takes out who missed twice; the third second
// covers its question under way and the handing over.
constexpr Span kHandoverPeriod = 3s;
constexpr Span kRejectPeriod = 500ms;  // ours: connections handed over last are refused, not reset
constexpr Span kAbortMargin = 500ms;   // ours: before the kill, for the final answers to be written
constexpr Span kExitMargin = 250ms;    // ours: before the kill, for the process to end
constexpr Span kCheckInterval = 20ms;

// Bytes of a request wait there unread.
bool hasBytes(Tcp::socket& socket) {
  char byte = 0;
  return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}
}  // namespace

LeaveSchedule leaveSchedule(Instant signalAt, Span grace) {
  LeaveSchedule schedule;
  schedule.exitBy = signalAt + grace - std::min<Span>(kExitMargin, grace / 32);
  schedule.abortAt = signalAt + grace - std::min<Span>(kAbortMargin, grace / 16);
  schedule.rejectFrom = signalAt + std::min<Span>(kHandoverPeriod, grace / 2);
  schedule.earliestExit = schedule.rejectFrom + std::min<Span>(kRejectPeriod, grace / 16);
  return schedule;
}

void Relay::beginLeaving() {
  if (leaving_.exchange(true)) return;
  asio::co_spawn(io_, leave(leaveSchedule(BootClock::now(), settings_.grace)), asio::detached);
}

awaitable<void> Relay::leave(LeaveSchedule schedule) {
  co_await pauseFor(schedule.rejectFrom - BootClock::now());
  isRejecting_ = true;
  closeIdleCallers();
  co_await pauseFor(schedule.earliestExit - BootClock::now());
  while (isBusy() && BootClock::now() < schedule.abortAt) co_await pauseFor(kCheckInterval);
  isAborting_ = true;
  abortAttempts();
  while (isBusy() && BootClock::now() < schedule.exitBy) co_await pauseFor(kCheckInterval);
  hasLeft_ = true;
}

// A request that crosses this close on its way is never read, and its caller learns so by the
// reset. What came before the close is there to be seen, and is read and answered.
void Relay::closeIdleCallers() {
  for (const auto& weak : callerList_) {
    const auto caller = weak.lock();
    ErrorCode code;
    if (caller && caller->isIdle && !hasBytes(caller->socket)) caller->socket.close(code);
  }
}

bool Relay::isBusy() const {
  return std::any_of(callerList_.begin(), callerList_.end(), [](const auto& weak) {
    const auto caller = weak.lock();
    return caller && caller->socket.is_open() && (!caller->isIdle || hasBytes(caller->socket));
  });
}

// Each caller gets the answer that is true of its request; an answer that has begun is cut.
void Relay::abortAttempts() {
  for (const auto& weak : callerList_) {
    const auto caller = weak.lock();
    if (caller && caller->abortAttempt) caller->abortAttempt();
  }
}

}  // namespace quayrill
