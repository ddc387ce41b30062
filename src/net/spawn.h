#pragma once
// Starts coroutines that nobody awaits, so that none of them ends in silence by an exception.
#include <cstdint>
#include <exception>
#include <functional>
#include <string>

#include "net/asio.h"

namespace quayrill {

// Logs the exception that ended the coroutine `name`, and ends the process with status 1: it would
// run on without what the coroutine did.
void endAfterException(const char* name, const std::exception_ptr& error);

// Logs and counts the exception that ended the coroutine or handler `name`.
void logException(const char* name, const std::exception_ptr& error);

// The exception's message.
std::string describeException(const std::exception_ptr& error);

// How many exceptions logException() was told of. May be called on any thread.
std::uint64_t exceptionsLogged();

// Awaits the coroutine that `start` returns, and after an exception another one, until one returns.
awaitable<void> repeatAfterExceptions(const char* name, std::function<awaitable<void>()> start);

// Runs the event loop until it is stopped or has no work. A handler that throws is logged, and the
// others go on. `name` is a literal.
void runEventLoop(asio::io_context& io, const char* name);

// Starts a coroutine that the daemon can't do without and whose state an exception may leave half
// changed. `name` is a literal.
template <typename Executor>
void spawnEssential(Executor&& executor, const char* name, awaitable<void> work) {
  asio::co_spawn(std::forward<Executor>(executor), std::move(work),
                 [name](const std::exception_ptr& error) {
                   if (error) endAfterException(name, error);
                 });
}

// Starts a coroutine that the daemon can't do without and that may begin anew at any time: after an
// exception `start` makes another one. `name` is a literal.
template <typename Executor>
void spawnLoop(Executor&& executor, const char* name, std::function<awaitable<void>()> start) {
  spawnEssential(std::forward<Executor>(executor), name,
                 repeatAfterExceptions(name, std::move(start)));
}

// Starts a coroutine that serves one connection or request: an exception ends that alone. `name` is
// a literal.
template <typename Executor>
void spawnTask(Executor&& executor, const char* name, awaitable<void> work) {
  asio::co_spawn(std::forward<Executor>(executor), std::move(work),
                 [name](const std::exception_ptr& error) {
                   if (error) logException(name, error);
                 });
}

}  // namespace quayrill
