#pragma once
// The one clock that decides anything. It counts through suspend, never jumps, and is only ever
// compared with itself on the same machine.
#include <ctime>

#include <chrono>

namespace quayrill {

struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;
  static time_point now() noexcept {
    timespec reading{};
    ::clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point(std::chrono::seconds(reading.tv_sec) +
                      std::chrono::nanoseconds(reading.tv_nsec));
  }
};

using Instant = BootClock::time_point;
using Duration = BootClock::duration;

}  // namespace quayrill
