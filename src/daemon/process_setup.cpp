#include "daemon/process_setup.h"

#include <fcntl.h>
#include <unistd.h>

#include <initializer_list>

namespace quayrill {

namespace {
// The earliest that programs may ask for; lower ones are the compiler's.
constexpr int kFirstConstructor = 101;

// A closed standard stream would give its descriptor to the next file or socket that is opened, and
// the log would be written there.
void openStandardStreams() {
  for (const int descriptor : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
    if (::fcntl(descriptor, F_GETFD) != -1) continue;
    // The lowest free descriptor is this one: all lower ones are open by now.
    if (::open("/dev/null", O_RDWR) < 0) return;
  }
}

[[gnu::constructor(kFirstConstructor)]] void prepareProcess() {
  const sigset_t signals = handledSignals();
  ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);  // a write over the file size limit must fail like on a full disk
  openStandardStreams();
}
}  // namespace

sigset_t handledSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

}  // namespace quayrill
