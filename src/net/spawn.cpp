#include "net/spawn.h"

#include <atomic>
#include <cstdlib>

#include "net/log.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
// Between an exception and the next start of what it ended.
constexpr Duration kRestartPause = 100ms;

std::atomic<std::uint64_t> loggedExceptions{0};
}  // namespace

std::string describeException(const std::exception_ptr& error) {
  try {
    std::rethrow_exception(error);
  } catch (const std::exception& exception) {
    return exception.what();
  } catch (...) {
    return "of unknown type";
  }
}

void endAfterException(const char* name, const std::exception_ptr& error) {
  LOG_LINE(kError) << name << " was ended by an exception (" << describeException(error)
                   << "): this process ends, start it again";
  std::_Exit(1);
}

void logException(const char* name, const std::exception_ptr& error) {
  ++loggedExceptions;
  LOG_LINE(kError) << name << " was ended by an exception (" << describeException(error) << ")";
}

std::uint64_t exceptionsLogged() { return loggedExceptions; }

awaitable<void> repeatAfterExceptions(const char* name, std::function<awaitable<void>()> start) {
  for (bool isRepeated = false;; isRepeated = true) {
    try {
      if (isRepeated) co_await pauseFor(kRestartPause);
      co_await start();
      co_return;
    } catch (...) {
      logException(name, std::current_exception());
    }
  }
}

void runEventLoop(asio::io_context& io, const char* name) {
  for (;;) {
    try {
      io.run();
      return;
    } catch (...) {
      logException(name, std::current_exception());
    }
  }
}

}  // namespace quayrill
