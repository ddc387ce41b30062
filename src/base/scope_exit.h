#pragma once
#include <functional>

namespace quayrill {

// Runs its action once, when its scope ends.
struct ScopeExit {
  std::function<void()> action;
  explicit ScopeExit(std::function<void()> a) : action(std::move(a)) {}
  ScopeExit(const ScopeExit&) = delete;
  ScopeExit& operator=(const ScopeExit&) = delete;
  ~ScopeExit() {
    if (action) action();
  }
};

}  // namespace quayrill
