#pragma once
// Buffers cache events for prompt parts whose position within a prompt is not known yet. A cache
// event names only the part itself, so it waits here until a request shows which parts precede it.
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/types.h"

namespace quayrill {

// The buffered events, by part. Bounded: drops the parts that were buffered first.
class PendingParts {
 public:
  // How much of one part a server or the store has cached.
  struct CachedPart {
    ServerName holder;
    std::uint64_t treeGeneration = 0;  // the generation of the holder's tree when the event arrived
    CacheSalt salt;
    ModelName model;
    std::uint32_t tokens = 0;
  };
  explicit PendingParts(std::size_t maxParts) : maxParts_(maxParts) {}

  // Records how much of the part the holder has cached now, replacing its earlier record. 0 tokens
  // remove the record.
  void put(const std::string& part, CachedPart cached);
  // Removes and returns the records of a part that satisfy `wanted`.
  std::vector<CachedPart> take(const std::string& part,
                               const std::function<bool(const CachedPart&)>& wanted);
  // The number of parts with records.
  std::size_t size() const { return cachedParts_.size(); }

 private:
  std::size_t maxParts_;
  std::unordered_map<std::string, std::vector<CachedPart>> cachedParts_;  // no list is empty
  // Parts in the order of their first record. Parts at the front are dropped beyond maxParts_. May
  // contain parts that were removed already.
  std::deque<std::string> order_;
};

}  // namespace quayrill
