#include "net/body_reader.h"

namespace quayrill {

namespace {
constexpr Duration kRetryInterval = std::chrono::milliseconds(20);
}  // namespace

awaitable<bool> growShare(ByteBudget::Share& share, std::size_t bytes, std::size_t roomForOthers) {
  const Instant deadline = BootClock::now() + kBodyBudgetWait;
  while (!share.growTo(bytes, roomForOthers)) {
    if (BootClock::now() >= deadline) co_return false;
    co_await pauseFor(kRetryInterval);
  }
  co_return true;
}

}  // namespace quayrill
