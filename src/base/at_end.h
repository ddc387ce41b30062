#pragma once
#include <functional>

namespace quayrill {

// Runs its action once, when its scope ends.
struct AtEnd {
  std::function<void()> action;
  explicit AtEnd(std::function<void()> a) : action(std::move(a)) {}
  AtEnd(const AtEnd&) = delete;
  AtEnd& operator=(const AtEnd&) = delete;
  ~AtEnd() {
    if (action) action();
  }
};

}  // namespace quayrill
