#pragma once
// The schedule of a graceful shutdown. A pure function of the time of the signal and the grace
// period; leaving.cpp acts on it.
#include "base/clock.h"

namespace quayrill {

// The stages of a graceful shutdown. Their order is the same for any grace period.
struct LeaveSchedule {
  // Requests read from now on are rejected without being run, as they might not finish in time.
  Instant rejectFrom{};
  // Not earlier, so that late callers get a rejection instead of a connection reset.
  Instant earliestExit{};
  // Requests still running get a final response now.
  Instant abortAt{};
  // Callers that have not read that response by now will not get it.
  Instant exitBy{};
};

// `grace`: the time between the signal and the forced kill, of any length.
LeaveSchedule leaveSchedule(Instant signalAt, Duration grace);

}  // namespace quayrill
