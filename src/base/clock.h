#pragma once
// The only clock that decisions are based on. It keeps counting while the machine is suspended and
// never jumps. Readings are comparable only with other readings on the same machine, so messages
// carry durations instead of instants.
#include <ctime>

#include <chrono>

namespace quayrill {

// CLOCK_BOOTTIME as a clock for std::chrono.
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

// A point in time on the boot clock of this machine.
using Instant = BootClock::time_point;
using Duration = BootClock::duration;

}  // namespace quayrill
