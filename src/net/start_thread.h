#pragma once
// Starts threads on machines that may be short of them for a while.
#include <functional>
#include <thread>

namespace quayrill {

// Starts a thread that runs `body`. Where the machine or a limit has no room for one now, waits
// until there is, and logs that. Throws std::system_error once a signal asks the process to leave,
// and for errors that waiting can't mend. `name` tells what the thread is for.
std::thread startThread(const char* name, const std::function<void()>& body);

}  // namespace quayrill
