#pragma once
// What a daemon's process needs before anything else of the program runs: blocked signals and open
// standard streams. Done while the program is loaded, before other static initialization and main.
#include <csignal>

namespace quayrill {

// The signals that the daemon waits for. They are blocked from the start of the program, so that
// one that comes early is handled once the daemon waits for it.
sigset_t handledSignals();

}  // namespace quayrill
