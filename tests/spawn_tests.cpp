// Tests that no coroutine ends in silence by an exception.
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

#include "net/spawn.h"

using namespace quayrill;

namespace {
awaitable<void> fail() {
  co_await pauseFor(std::chrono::milliseconds(1));
  throw std::runtime_error("planted");
}

// The exit status of a process that runs `start` and then all work of its event loop.
template <typename Start>
int statusAfter(Start start) {
  const pid_t child = ::fork();
  if (child == 0) {
    asio::io_context io;
    start(io);
    io.run();
    ::_exit(0);
  }
  int status = 0;
  ::waitpid(child, &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}
}  // namespace

// Guards against: a daemon whose control loop or listener was ended by an exception runs on and
// does nothing.
TEST_CASE("spawn: an exception ends the process of an essential coroutine, and no other's") {
  CHECK(statusAfter([](asio::io_context& io) { spawnEssential(io, "planted", fail()); }) == 1);
  CHECK(statusAfter([](asio::io_context& io) { spawnTask(io, "planted", fail()); }) == 0);
}

// Guards against: a new coroutine that nobody awaits and whose exception nobody sees.
TEST_CASE("spawn: the daemon starts no coroutine whose exceptions are dropped") {
  std::size_t sources = 0;
  for (const char* folder : {"agent", "daemon", "net", "proxy", "relay"}) {
    const auto tree = std::filesystem::path(QUAYRILL_SOURCE) / "src" / folder;
    for (const auto& entry : std::filesystem::recursive_directory_iterator(tree)) {
      if (entry.path().filename() == "asio.h" || !entry.is_regular_file()) continue;
      std::ifstream in(entry.path());
      const std::string text{std::istreambuf_iterator<char>(in), {}};
      INFO(entry.path());
      CHECK(text.find("asio::detached") == std::string::npos);
      ++sources;
    }
  }
  CHECK(sources > 50);
}
