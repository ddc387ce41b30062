#pragma once
// Says in the log why a process ends that nobody asked to.

namespace quayrill {

// From now on, an exception that nothing catches and a signal that stands for a fault of the
// program (such as SIGSEGV) are logged before they end the process as they would otherwise.
void reportUnexpectedEnds();

}  // namespace quayrill
