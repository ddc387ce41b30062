#pragma once
// Writes the log to standard error without ever waiting for its reader. glog writes each line
// while it holds a lock, so a pipe that nobody reads would stop every thread that logs.
#include <cstdint>

namespace quayrill {

// Starts logging to standard error. Lines that it would have to wait for are dropped and counted.
void startLogging(const char* program);

// How many lines were dropped since the start of the program. May be called on any thread.
std::uint64_t droppedLogLines();

}  // namespace quayrill
