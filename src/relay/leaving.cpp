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
constexpr Span kHandOverSpan = 3s;
constexpr Span kRefuseSpan = 500ms;  // ours: connections handed over last are refused, not reset
constexpr Span kEndMargin = 500ms;   // ours: before the kill, for the final answers to be written
constexpr Span kGoneMargin = 250ms;  // ours: before the kill, for the process to end
constexpr Span kPollInterval = 20ms;

// Bytes of a request wait there unread.
bool hasBytes(Tcp::socket& socket) {
  char byte = 0;
  return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}
}  // namespace

LeaveSchedule leaveSchedule(Instant signalAt, Span grace) {
  LeaveSchedule schedule;
  schedule.goneBy = signalAt + grace - std::min<Span>(kGoneMargin, grace / 32);
  schedule.endsAt = signalAt + grace - std::min<Span>(kEndMargin, grace / 16);
  schedule.refusesFrom = signalAt + std::min<Span>(kHandOverSpan, grace / 2);
  schedule.mayEndFrom = schedule.refusesFrom + std::min<Span>(kRefuseSpan, grace / 16);
  return schedule;
}

void Relay::beginLeaving() {
  if (leaving_.exchange(true)) return;
  asio::co_spawn(io_, leave(leaveSchedule(BootClock::now(), settings_.grace)), asio::detached);
}

awaitable<void> Relay::leave(LeaveSchedule schedule) {
  co_await pauseFor(schedule.refusesFrom - BootClock::now());
  refusing_ = true;
  closeIdle();
  co_await pauseFor(schedule.mayEndFrom - BootClock::now());
  while (isBusy() && BootClock::now() < schedule.endsAt) co_await pauseFor(kPollInterval);
  ending_ = true;
  endTries();
  while (isBusy() && BootClock::now() < schedule.goneBy) co_await pauseFor(kPollInterval);
  hasLeft_ = true;
}

// A request that crosses this close on its way is never read, and its caller learns so by the
// reset. What came before the close is there to be seen, and is read and answered.
void Relay::closeIdle() {
  for (const auto& weak : open_) {
    const auto caller = weak.lock();
    ErrorCode code;
    if (caller && caller->isIdle && !hasBytes(caller->socket)) caller->socket.close(code);
  }
}

bool Relay::isBusy() const {
  return std::any_of(open_.begin(), open_.end(), [](const auto& weak) {
    const auto caller = weak.lock();
    return caller && caller->socket.is_open() && (!caller->isIdle || hasBytes(caller->socket));
  });
}

// Each caller gets the answer that is true of its request; an answer that has begun is cut.
void Relay::endTries() {
  for (const auto& weak : open_) {
    const auto caller = weak.lock();
    if (caller && caller->endTry) caller->endTry();
  }
}

}  // namespace quayrill
