#pragma once
// Radix tree over granule blocks with an index-linked LRU list of unlocked leaves, after
// "Radix tree over token ids with index-linked LRU leaf list". No I/O, no clock.
#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <unordered_map>
#include <vector>

namespace quayrill {

using Token = std::uint64_t;
using BlockValue = std::uint64_t;

// A handle is good while its slot still holds the node it was made for: each removal raises the
// slot's generation, so a stale handle is detected instead of reaching a reused slot.
struct NodeHandle {
  std::uint32_t index = 0;
  std::uint32_t generation = 0;
  auto operator<=>(const NodeHandle&) const = default;
};

struct PrefixMatch {
  std::size_t tokens = 0;  // a multiple of the granule
  std::vector<NodeHandle> path;
};

struct PrefixInsert {
  NodeHandle node;
  std::vector<BlockValue> unusedValues;  // the caller's values for what was stored already
};

class RadixTree {
 public:
  explicit RadixTree(std::size_t granule);  // throws std::invalid_argument on 0

  std::size_t granule() const { return granule_; }
  std::size_t size() const { return valueCount_; }
  std::size_t nodeCount() const { return liveCount_; }
  std::size_t slotCount() const { return nodes_.size(); }
  static NodeHandle root() { return {}; }

  bool isLive(NodeHandle node) const;
  std::span<const Token> label(NodeHandle node) const;
  std::span<const BlockValue> values(NodeHandle node) const;
  NodeHandle parent(NodeHandle node) const;
  std::vector<NodeHandle> children(NodeHandle node) const;  // by rising index
  std::uint32_t lockCount(NodeHandle node) const;
  std::vector<NodeHandle> lruOrder() const;  // oldest first

  PrefixMatch matchPrefix(std::span<const Token> key);
  // The same walk without a stamp or a split: whole blocks of `key` that are stored.
  std::size_t peekPrefix(std::span<const Token> key) const;
  PrefixInsert insert(std::span<const Token> key, std::vector<BlockValue> values);
  void lock(NodeHandle node);
  void unlock(NodeHandle node);  // throws std::logic_error when not locked or stale
  std::size_t evict(std::size_t count, const std::function<void(BlockValue)>& onEvicted);
  // Drops the unlocked leaves at and below the node that ends `key`; locked paths stay.
  std::size_t prune(std::span<const Token> key);

 private:
  static constexpr std::uint32_t kNone = UINT32_MAX;
  // label.size() == values.size() * granule, and both are empty only in the root.
  // lockCount >= the sum of the children's lock counts.
  // isInLru is true exactly for live, non-root, childless nodes with lockCount == 0; the list runs
  // from head (smallest stamp) to tail.
  struct Node {
    std::vector<Token> label;
    std::vector<BlockValue> values;
    std::unordered_multimap<std::uint64_t, std::uint32_t> children;  // by hash of first granule
    std::uint32_t parent = kNone, prev = kNone, next = kNone;
    std::uint32_t generation = 0, lockCount = 0;
    std::uint64_t stamp = 0;
    bool live = false, isInLru = false;
  };
  struct Step {
    std::uint32_t node = 0;
    std::size_t tokens = 0;         // whole granules matched so far
    std::uint32_t partial = kNone;  // child entered but not walked to its end
    std::size_t partialTokens = 0;
  };

  const Node& at(NodeHandle node) const;
  NodeHandle handle(std::uint32_t index) const { return {index, nodes_[index].generation}; }
  std::uint64_t firstBlockHash(std::span<const Token> key) const;
  std::uint32_t findChild(std::uint32_t node, std::span<const Token> key) const;
  void unlinkChild(std::uint32_t parent, std::uint32_t child);
  Step walk(std::span<const Token> key, std::vector<std::uint32_t>* path) const;
  std::uint32_t split(std::uint32_t child, std::size_t tokens);
  std::uint32_t allocate();
  void release(std::uint32_t index);
  void updateLru(std::uint32_t index);
  void removeFromLru(std::uint32_t index);
  void touch(std::uint32_t index, std::uint64_t stamp);
  std::uint32_t descend(std::span<const Token> key, std::size_t* tokens,
                        std::vector<NodeHandle>* path);
  std::uint32_t removeLeaf(std::uint32_t index, const std::function<void(BlockValue)>& onEvicted,
                           std::size_t* freed);

  std::size_t granule_;
  std::vector<Node> nodes_;          // slot 0 is the root and is never freed
  std::vector<std::uint32_t> free_;  // slots that are not live
  std::uint32_t lruHead_ = kNone, lruTail_ = kNone;
  std::uint64_t lastStamp_ = 0;                 // rises by one on every match and insert
  std::size_t valueCount_ = 0, liveCount_ = 0;  // liveCount_ leaves the root out
};

}  // namespace quayrill
