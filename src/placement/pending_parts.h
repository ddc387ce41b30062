#pragma once
// Cache events name a part alone. Those of parts whose place in a prompt is not known yet wait here
// until a request shows it.
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/types.h"

namespace quayrill {

class PendingParts {
 public:
  struct CachedPart {
    ServerName holder;
    std::uint64_t treeGeneration = 0;  // of the holder's tree when it was told
    CacheSalt salt;
    ModelName model;
    std::uint32_t tokens = 0;
  };
  explicit PendingParts(std::size_t maxParts) : maxParts_(maxParts) {}

  // What the holder keeps of the part now, in place of what it kept; 0 tokens: nothing.
  void put(const std::string& part, CachedPart cached);
  // Those of a part that `wanted` takes; they wait no longer.
  std::vector<CachedPart> take(const std::string& part,
                               const std::function<bool(const CachedPart&)>& wanted);
  std::size_t size() const { return cachedParts_.size(); }

 private:
  std::size_t maxParts_;
  std::unordered_map<std::string, std::vector<CachedPart>> cachedParts_;  // no row is empty
  // In the order in which the parts were first told; past the bound the oldest go. May name parts
  // that are gone.
  std::deque<std::string> order_;
};

}  // namespace quayrill
