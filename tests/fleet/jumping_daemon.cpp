// Stands in for the daemon in runs with jumping wall clocks (`quayrill-local --quayrilld=`):
// becomes the quayrilld beside it, with jumping_clock.so loaded before the C library.
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>

int main(int, char** argv) {
  const auto folder = std::filesystem::canonical("/proc/self/exe").parent_path();
  const std::string clock = folder / "jumping_clock.so";
  std::string daemon = folder / "quayrilld";
  // The loader only warns where the library is missing, and the run would prove nothing.
  if (::access(clock.c_str(), R_OK) == 0) {
    ::setenv("LD_PRELOAD", clock.c_str(), 1);
    argv[0] = daemon.data();
    ::execv(daemon.c_str(), argv);
  }
  std::cerr << "jumping_daemon: needs " << clock << " and " << daemon << "\n";
  return 127;
}
