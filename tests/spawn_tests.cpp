// Tests that no coroutine ends in silence by an exception.
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <stdexcept>

#include "daemon/end_report.h"
#include "net/spawn.h"
#include "net/start_thread.h"
#include "proxy/owned_table.h"

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
// The daemon's sources, without those of its tools, that hold the text.
std::set<std::string> sourcesWith(const std::string& text) {
  std::set<std::string> found;
  for (const char* folder : {"agent", "daemon", "net", "proxy", "relay"}) {
    const auto tree = std::filesystem::path(QUAYRILL_SOURCE) / "src" / folder;
    for (const auto& entry : std::filesystem::recursive_directory_iterator(tree)) {
      if (!entry.is_regular_file()) continue;
      std::ifstream in(entry.path());
      const std::string source{std::istreambuf_iterator<char>(in), {}};
      if (source.find(text) != std::string::npos) found.insert(entry.path().filename().string());
    }
  }
  return found;
}

}  // namespace

// Guards against: a daemon whose control loop or listener was ended by an exception runs on and
// does nothing.
TEST_CASE("spawn: an exception ends the process of an essential coroutine, and no other's") {
  CHECK(statusAfter([](asio::io_context& io) { spawnEssential(io, "planted", fail()); }) == 1);
  CHECK(statusAfter([](asio::io_context& io) { spawnTask(io, "planted", fail()); }) == 0);
}

// Guards against: one exception in a listener or a loop of the data plane ends the whole daemon.
TEST_CASE("spawn: a loop that an exception ended begins anew") {
  asio::io_context io;
  int starts = 0;
  const std::uint64_t logged = exceptionsLogged();
  spawnLoop(io, "planted", [&starts]() -> awaitable<void> {
    ++starts;
    co_await pauseFor(std::chrono::milliseconds(1));
    if (starts < 3) throw std::runtime_error("planted");
  });
  io.run_for(std::chrono::seconds(5));
  CHECK(starts == 3);
  CHECK(exceptionsLogged() == logged + 2);
}

// Guards against: an exception in a handler that is no coroutine ends the process by signal 6.
TEST_CASE("spawn: an event loop goes on behind a handler that throws") {
  asio::io_context io;
  bool hasRun = false;
  asio::post(io, [] { throw std::runtime_error("planted"); });
  asio::post(io, [&hasRun] { hasRun = true; });
  runEventLoop(io, "planted");
  CHECK(hasRun);
}

// Guards against: the same with a command of a table's thread, whose caller waits for ever.
TEST_CASE("spawn: a table's command that throws is refused, and others go on") {
  asio::io_context io;
  OwnedTable<int> table(4, 7);
  std::optional<int> failed, read;
  const std::function<int(int&)> fail = [](int&) -> int { throw std::runtime_error("planted"); };
  const std::function<int(int&)> get = [](int& value) { return value; };
  table.mustPost([](int&) { throw std::runtime_error("planted"); });
  const auto ask = [&]() -> awaitable<void> {
    failed = co_await table.ask<int>(fail);
    read = co_await table.ask<int>(get);
  };
  asio::co_spawn(io, ask(), asio::detached);
  io.run_for(std::chrono::seconds(5));
  CHECK_FALSE(failed);
  CHECK(read == 7);
}

// Guards against: a process that is gone, and nothing in its log says why.
TEST_CASE("spawn: what ends the process by a signal is named in the log") {
  const bool isException = GENERATE(true, false);
  int output[2];
  REQUIRE(::pipe(output) == 0);
  const pid_t child = ::fork();
  if (child == 0) {
    ::dup2(output[1], STDERR_FILENO);
    for (const int number : {SIGSEGV, SIGABRT}) std::signal(number, SIG_DFL);
    reportUnexpectedEnds();
    if (isException) startThread("planted", [] { throw std::runtime_error("planted"); }).join();
    ::raise(SIGSEGV);
    ::_exit(0);
  }
  ::close(output[1]);
  std::string log;
  char part[4096];
  for (ssize_t got = 0; (got = ::read(output[0], part, sizeof part)) > 0;)
    log.append(part, static_cast<std::size_t>(got));
  ::close(output[0]);
  int status = 0;
  ::waitpid(child, &status, 0);
  CHECK(WIFSIGNALED(status));
  CHECK(WTERMSIG(status) == (isException ? SIGABRT : SIGSEGV));
  CHECK(log.find(isException ? "an exception that nothing caught (planted)"
                             : "signal 11 (SIGSEGV)") != std::string::npos);
}

// Guards against: new code that ends the process where it could go on, or that takes the ports of
// listeners.
TEST_CASE("spawn: loops, threads and bound sockets are made in one place each") {
  using Names = std::set<std::string>;
  CHECK(sourcesWith("spawnEssential(") == Names{"agent.cpp", "spawn.h"});
  CHECK(sourcesWith("std::thread(") == Names{"exit_guard.cpp", "start_thread.cpp"});
  CHECK(sourcesWith(".bind(") == Names{"address_holder.cpp", "http.cpp", "outgoing.cpp"});
  CHECK(sourcesWith("io_.run()") == Names{"agent.cpp"});
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
