// Wrapper used in place of the daemon in runs with jumping wall clocks (`quayrill-local
// --quayrilld=`): executes the quayrilld in its directory with jumping_clock.so preloaded.
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>

int main(int, char** argv) {
  const auto folder = std::filesystem::canonical("/proc/self/exe").parent_path();
  const std::string clock = folder / "jumping_clock.so";
  std::string daemon = folder / "quayrilld";
  // If the library is missing the loader only warns, and the run would test nothing.
  if (::access(clock.c_str(), R_OK) == 0) {
    ::setenv("LD_PRELOAD", clock.c_str(), 1);
    argv[0] = daemon.data();
    ::execv(daemon.c_str(), argv);
  }
  std::cerr << "jumping_daemon: needs " << clock << " and " << daemon << "\n";
  return 127;
}
