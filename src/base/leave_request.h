#pragma once
// Whether this process was asked to leave, for code that waits before anything handles signals.

namespace quayrill {

// Whether a signal that asks the process to leave (SIGTERM or SIGINT, which all threads block) has
// come and was not taken yet.
bool isLeaveRequested();

}  // namespace quayrill
