// Preloaded (LD_PRELOAD) into daemons to test that they don't rely on the wall clock: it jumps by
// up to two days, forwards and backwards, several times a second. Other clocks are unchanged.
#include <dlfcn.h>
#include <sys/time.h>

#include <ctime>

namespace {
using ClockGettime = int (*)(clockid_t, timespec*);

ClockGettime realClockGettime() {
  static const auto function = reinterpret_cast<ClockGettime>(::dlsym(RTLD_NEXT, "clock_gettime"));
  return function;
}

long clockOffsetSeconds() {
  timespec steady{};
  realClockGettime()(CLOCK_MONOTONIC, &steady);
  const unsigned long slot = static_cast<unsigned long>(steady.tv_sec) * 5 +
                             static_cast<unsigned long>(steady.tv_nsec) / 200000000;
  const unsigned long mixed = (slot * 0x9E3779B97F4A7C15UL) >> 33;
  return static_cast<long>(mixed % 345600) - 172800;
}
}  // namespace

extern "C" {
int clock_gettime(clockid_t clock, timespec* reading) noexcept {
  const int result = realClockGettime()(clock, reading);
  if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE))
    reading->tv_sec += clockOffsetSeconds();
  return result;
}

int gettimeofday(timeval* reading, void*) noexcept {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  reading->tv_sec = now.tv_sec;
  reading->tv_usec = now.tv_nsec / 1000;
  return 0;
}

time_t time(time_t* reading) noexcept {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (reading != nullptr) *reading = now.tv_sec;
  return now.tv_sec;
}
}
