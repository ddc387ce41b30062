#pragma once
// The schedule of a graceful shutdown. A pure function of the time of the signal and the grace
// period; leaving.cpp acts on it.
#include "base/clock.h"

namespace quayrill {

// The stages of a graceful shutdown. Their order is the same for any grace period.
struct LeaveSchedule {
  Instant rejectFrom{};  // requests read from now on are rejected without being run, as they might
                         // not finish in time
  Instant earliestExit{};  // not earlier, so that late callers get a rejection instead of a
                           // connection reset
  Instant abortAt{};       // requests still running get a final response now
  Instant exitBy{};        // callers that have not read that response by now will not get it
};

// `grace`: the time between the signal and the forced kill, of any length.
LeaveSchedule leaveSchedule(Instant signalAt, Span grace);

}  // namespace quayrill
