#include "daemon/end_report.h"

#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <exception>

#include "net/log.h"
#include "net/spawn.h"

namespace quayrill {

namespace {
// The signals that the program's own faults raise, each with the line that is written for it. They
// are whole lines since hardly anything else may be done while such a signal is handled.
struct FaultSignal {
  int number;
  const char* line;
};
constexpr FaultSignal kFaultSignals[] = {
    {SIGSEGV, "this process ends by signal 11 (SIGSEGV): report it with its core dump\n"},
    {SIGBUS, "this process ends by signal 7 (SIGBUS): report it with its core dump\n"},
    {SIGILL, "this process ends by signal 4 (SIGILL): report it with its core dump\n"},
    {SIGFPE, "this process ends by signal 8 (SIGFPE): report it with its core dump\n"},
    {SIGABRT, "this process ends by signal 6 (SIGABRT): report it with its core dump\n"},
};

extern "C" void reportFaultSignal(int number) {
  for (const FaultSignal& signal : kFaultSignals) {
    if (signal.number == number)
      (void)!::write(STDERR_FILENO, signal.line, std::strlen(signal.line));
  }
  ::raise(number);  // handled by the system now, see SA_RESETHAND
}

[[noreturn]] void reportTerminate() {
  const std::exception_ptr error = std::current_exception();
  LOG_LINE(kError) << "this process ends by "
                   << (error ? "an exception that nothing caught (" + describeException(error) + ")"
                             : std::string("std::terminate"));
  std::abort();
}

// Leaves a signal alone that something else handles, as sanitizers do.
void reportSignal(int number) {
  struct sigaction current {};
  if (::sigaction(number, nullptr, &current) != 0 || current.sa_handler != SIG_DFL) return;
  struct sigaction reporting {};
  reporting.sa_handler = reportFaultSignal;
  reporting.sa_flags = static_cast<int>(SA_RESETHAND);
  ::sigaction(number, &reporting, nullptr);
}
}  // namespace

void reportUnexpectedEnds() {
  std::set_terminate(reportTerminate);
  for (const FaultSignal& signal : kFaultSignals) reportSignal(signal.number);
}

}  // namespace quayrill
