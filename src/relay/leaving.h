#pragma once
// When a relay that was told to end does what. Pure: the signal's instant and the grace in,
// instants out; front.cpp acts by them.
#include "base/clock.h"

namespace quayrill {

// In this order, whatever the grace.
struct LeaveSchedule {
  Instant rejectFrom{};    // requests read later are refused unrun: they might not end in time
  Instant earliestExit{};  // not sooner, so that whoever still comes gets a refusal and no reset
  Instant abortAt{};       // what still runs gets its final answer now
  Instant exitBy{};        // whoever has not taken that answer by now never gets it
};

// `grace`: from the signal to the kill, of any length.
LeaveSchedule leaveSchedule(Instant signalAt, Span grace);

}  // namespace quayrill
