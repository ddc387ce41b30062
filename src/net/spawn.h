#pragma once
// Starts coroutines that nobody awaits, so that none of them ends in silence by an exception.
#include <exception>

#include "net/asio.h"

namespace quayrill {

// Logs the exception that ended the coroutine `name`, and ends the process with status 1: it would
// run on without what the coroutine did.
void endAfterException(const char* name, const std::exception_ptr& error);

// Logs the exception that ended the coroutine `name`.
void logException(const char* name, const std::exception_ptr& error);

// Starts a coroutine that the daemon can't do without. `name` is a literal.
template <typename Executor>
void spawnEssential(Executor&& executor, const char* name, awaitable<void> work) {
  asio::co_spawn(std::forward<Executor>(executor), std::move(work),
                 [name](const std::exception_ptr& error) {
                   if (error) endAfterException(name, error);
                 });
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
