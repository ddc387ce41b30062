#pragma once
// A radix tree over fixed-size blocks of tokens, with reference-counted locks and LRU eviction of
// unlocked leaves. The LRU list is linked by node index, after "Radix tree over token ids with
// index-linked LRU leaf list". No I/O, no clock.
#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <unordered_map>
#include <vector>

namespace quayrill {

using Token = std::uint64_t;
// The caller's value for one block, such as the index of a cache page.
using BlockValue = std::uint64_t;

// Refers to a node. Valid as long as the slot holds the node that the handle was made for. Removing
// a node increments the slot's generation, so a stale handle is detected and never refers to the
// next node in the slot.
struct NodeHandle {
  std::uint32_t index = 0;
  std::uint32_t generation = 0;
  auto operator<=>(const NodeHandle&) const = default;
};

// The longest stored prefix of a key.
struct PrefixMatch {
  std::size_t tokens = 0;  // a multiple of the granule
  std::vector<NodeHandle> path;
};

// The node that ends an inserted key.
struct PrefixInsert {
  NodeHandle node;
  std::vector<BlockValue> unusedValues;  // the caller's values for blocks that were stored already
};

// Maps keys, which are sequences of tokens, to one value per `granule` tokens. Keys with a common
// prefix share its nodes.
class RadixTree {
 public:
  explicit RadixTree(std::size_t granule);  // throws std::invalid_argument on 0

  std::size_t granule() const { return granule_; }
  // The number of values, nodes without the root, and allocated slots.
  std::size_t size() const { return valueCount_; }
  std::size_t nodeCount() const { return liveCount_; }
  std::size_t slotCount() const { return nodes_.size(); }
  static NodeHandle root() { return {}; }

  // True if the handle still refers to its node.
  bool isLive(NodeHandle node) const;
  // The properties of a node. All throw std::logic_error for a stale handle.
  std::span<const Token> label(NodeHandle node) const;
  std::span<const BlockValue> values(NodeHandle node) const;
  NodeHandle parent(NodeHandle node) const;
  std::vector<NodeHandle> children(NodeHandle node) const;  // in ascending order of index
  std::uint32_t lockCount(NodeHandle node) const;
  std::vector<NodeHandle> lruOrder() const;  // oldest first

  // Finds the longest stored prefix, marks its path as most recently used, and splits a node in
  // which the prefix ends.
  PrefixMatch matchPrefix(std::span<const Token> key);
  // The length of the longest stored prefix in tokens, without any change to the tree.
  std::size_t peekPrefix(std::span<const Token> key) const;
  // Stores the key with one value per block. Throws std::invalid_argument if the key is not a whole
  // number of blocks.
  PrefixInsert insert(std::span<const Token> key, std::vector<BlockValue> values);
  // Locks the path from the root to the node against eviction. Locks nest.
  void lock(NodeHandle node);
  void unlock(NodeHandle node);  // throws std::logic_error when not locked or stale
  // Evicts least recently used leaves until at least `count` values are freed or nothing unlocked
  // is left. Returns the number of freed values.
  std::size_t evict(std::size_t count, const std::function<void(BlockValue)>& onEvicted);
  // Removes the unlocked nodes at and below the one in which `key` ends, leaves first. Locked paths
  // stay. Returns the number of freed values.
  std::size_t prune(std::span<const Token> key);

 private:
  static constexpr std::uint32_t kNone = UINT32_MAX;
  // Invariants: label.size() == values.size() * granule, and both are empty only in the root.
  // lockCount >= the sum of the children's lock counts. isInLru is true exactly for live, non-root,
  // childless nodes with lockCount == 0. The LRU list runs from head (smallest stamp) to tail.
  struct Node {
    std::vector<Token> label;
    std::vector<BlockValue> values;
    std::unordered_multimap<std::uint64_t, std::uint32_t>
        children;  // by hash of the first block of their labels
    std::uint32_t parent = kNone, prev = kNone, next = kNone;
    std::uint32_t generation = 0, lockCount = 0;
    std::uint64_t stamp = 0;
    bool live = false, isInLru = false;
  };
  // The result of a walk along a key.
  struct Step {
    std::uint32_t node = 0;
    std::size_t tokens = 0;         // matched by whole nodes
    std::uint32_t partial = kNone;  // the child in which the match ends, if any
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
  std::vector<std::uint32_t> free_;  // indices of unused slots
  std::uint32_t lruHead_ = kNone, lruTail_ = kNone;
  std::uint64_t lastStamp_ = 0;                 // incremented by every match and insert
  std::size_t valueCount_ = 0, liveCount_ = 0;  // liveCount_ excludes the root
};

}  // namespace quayrill
