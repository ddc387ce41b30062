#pragma once
// A scope guard.
#include <functional>

namespace quayrill {

// Runs `action` when it goes out of scope, also when an exception leaves the scope.
struct ScopeExit {
  std::function<void()> action;
  explicit ScopeExit(std::function<void()> onExit) : action(std::move(onExit)) {}
  ScopeExit(const ScopeExit&) = delete;
  ScopeExit& operator=(const ScopeExit&) = delete;
  ~ScopeExit() {
    if (action) action();
  }
};

}  // namespace quayrill
