#include "radix/radix_tree.h"

#include <algorithm>
#include <stdexcept>

#include "base/digest.h"

namespace quayrill {

RadixTree::RadixTree(std::size_t granule) : granule_(granule) {
  if (granule == 0) throw std::invalid_argument("granule is 0: use a block size of 1 or more");
  nodes_.emplace_back();
  nodes_[0].live = true;
}

bool RadixTree::isLive(NodeHandle node) const {
  return node.index < nodes_.size() && nodes_[node.index].live &&
         nodes_[node.index].generation == node.generation;
}

const RadixTree::Node& RadixTree::at(NodeHandle node) const {
  if (!isLive(node)) throw std::logic_error("stale node handle: match the prefix again");
  return nodes_[node.index];
}

std::span<const Token> RadixTree::label(NodeHandle node) const { return at(node).label; }
std::span<const BlockValue> RadixTree::values(NodeHandle node) const { return at(node).values; }
std::uint32_t RadixTree::lockCount(NodeHandle node) const { return at(node).lockCount; }

NodeHandle RadixTree::parent(NodeHandle node) const {
  const Node& found = at(node);
  return found.parent == kNone ? root() : handle(found.parent);
}

std::vector<NodeHandle> RadixTree::children(NodeHandle node) const {
  std::vector<NodeHandle> result;
  for (const auto& [hash, child] : at(node).children) result.push_back(handle(child));
  std::sort(result.begin(), result.end());
  return result;
}

std::vector<NodeHandle> RadixTree::lruOrder() const {
  std::vector<NodeHandle> order;
  for (std::uint32_t i = lruHead_; i != kNone; i = nodes_[i].next) order.push_back(handle(i));
  return order;
}

std::uint64_t RadixTree::firstBlockHash(std::span<const Token> key) const {
  std::uint64_t hash = 0;
  for (std::size_t i = 0; i < granule_; ++i) hash = combineHashes(hash, key[i]);
  return hash;
}

std::uint32_t RadixTree::findChild(std::uint32_t node, std::span<const Token> key) const {
  auto [first, last] = nodes_[node].children.equal_range(firstBlockHash(key));
  for (; first != last; ++first) {
    if (std::equal(key.begin(), key.begin() + granule_, nodes_[first->second].label.begin()))
      return first->second;
  }
  return kNone;
}

void RadixTree::unlinkChild(std::uint32_t parent, std::uint32_t child) {
  auto [first, last] = nodes_[parent].children.equal_range(firstBlockHash(nodes_[child].label));
  for (; first != last; ++first) {
    if (first->second == child) {
      nodes_[parent].children.erase(first);
      return;
    }
  }
}

RadixTree::Step RadixTree::walk(std::span<const Token> key,
                                std::vector<std::uint32_t>* path) const {
  Step step;
  while (key.size() - step.tokens >= granule_) {
    const auto rest = key.subspan(step.tokens);
    const std::uint32_t child = findChild(step.node, rest);
    if (child == kNone) break;
    const auto& label = nodes_[child].label;
    std::size_t shared = 0;
    while (shared < label.size() && rest.size() - shared >= granule_ &&
           std::equal(label.begin() + shared, label.begin() + shared + granule_,
                      rest.begin() + shared))
      shared += granule_;
    if (shared < label.size()) {
      step.partial = child;
      step.partialTokens = shared;
      break;
    }
    step.node = child;
    step.tokens += shared;
    if (path) path->push_back(child);
  }
  return step;
}

std::uint32_t RadixTree::split(std::uint32_t child, std::size_t tokens) {
  const std::uint32_t middle = allocate();
  const std::uint32_t parent = nodes_[child].parent;
  unlinkChild(parent, child);
  Node& upper = nodes_[middle];
  Node& lower = nodes_[child];
  const std::size_t granules = tokens / granule_;
  upper.label.assign(lower.label.begin(), lower.label.begin() + tokens);
  upper.values.assign(lower.values.begin(), lower.values.begin() + granules);
  lower.label.erase(lower.label.begin(), lower.label.begin() + tokens);
  lower.values.erase(lower.values.begin(), lower.values.begin() + granules);
  upper.parent = parent;
  upper.lockCount = lower.lockCount;
  upper.stamp = lower.stamp;
  lower.parent = middle;
  upper.children.emplace(firstBlockHash(lower.label), child);
  nodes_[parent].children.emplace(firstBlockHash(upper.label), middle);
  return middle;
}

std::uint32_t RadixTree::allocate() {
  std::uint32_t index;
  if (free_.empty()) {
    index = static_cast<std::uint32_t>(nodes_.size());
    nodes_.emplace_back();
  } else {
    index = free_.back();
    free_.pop_back();
  }
  nodes_[index].live = true;
  ++liveCount_;
  return index;
}

void RadixTree::release(std::uint32_t index) {
  const std::uint32_t generation = nodes_[index].generation + 1;
  nodes_[index] = Node{};
  nodes_[index].generation = generation;
  free_.push_back(index);
  --liveCount_;
}

void RadixTree::removeFromLru(std::uint32_t index) {
  Node& node = nodes_[index];
  if (!node.isInLru) return;
  (node.prev == kNone ? lruHead_ : nodes_[node.prev].next) = node.next;
  (node.next == kNone ? lruTail_ : nodes_[node.next].prev) = node.prev;
  node.prev = node.next = kNone;
  node.isInLru = false;
}

// Inserts the node into the LRU list at its own stamp, or removes it, to restore the invariant.
void RadixTree::updateLru(std::uint32_t index) {
  removeFromLru(index);
  Node& node = nodes_[index];
  if (index == 0 || !node.live || node.lockCount > 0 || !node.children.empty()) return;
  std::uint32_t after = lruTail_;
  while (after != kNone && nodes_[after].stamp > node.stamp) after = nodes_[after].prev;
  node.prev = after;
  node.next = after == kNone ? lruHead_ : nodes_[after].next;
  (node.prev == kNone ? lruHead_ : nodes_[node.prev].next) = index;
  (node.next == kNone ? lruTail_ : nodes_[node.next].prev) = index;
  node.isInLru = true;
}

void RadixTree::touch(std::uint32_t index, std::uint64_t stamp) {
  nodes_[index].stamp = stamp;
  updateLru(index);
}

std::uint32_t RadixTree::descend(std::span<const Token> key, std::size_t* tokens,
                                 std::vector<NodeHandle>* path) {
  ++lastStamp_;
  std::vector<std::uint32_t> walked;
  const Step step = walk(key, &walked);
  std::uint32_t last = step.node;
  *tokens = step.tokens;
  if (step.partial != kNone && step.partialTokens > 0) {
    last = split(step.partial, step.partialTokens);
    *tokens += step.partialTokens;
    walked.push_back(last);
  }
  for (std::uint32_t index : walked) {
    touch(index, lastStamp_);
    if (path) path->push_back(handle(index));
  }
  return last;
}

PrefixMatch RadixTree::matchPrefix(std::span<const Token> key) {
  PrefixMatch match;
  descend(key, &match.tokens, &match.path);
  return match;
}

std::size_t RadixTree::peekPrefix(std::span<const Token> key) const {
  const Step step = walk(key, nullptr);
  return step.tokens + step.partialTokens;
}

PrefixInsert RadixTree::insert(std::span<const Token> key, std::vector<BlockValue> values) {
  if (values.size() * granule_ != key.size())
    throw std::invalid_argument("insert needs one value per granule: cut the key to whole blocks");
  std::size_t stored = 0;
  std::uint32_t last = descend(key, &stored, nullptr);
  PrefixInsert result;
  const std::size_t storedGranules = stored / granule_;
  result.unusedValues.assign(values.begin(), values.begin() + storedGranules);
  if (stored < key.size()) {
    const std::uint32_t leaf = allocate();
    Node& node = nodes_[leaf];
    node.label.assign(key.begin() + stored, key.end());
    node.values.assign(values.begin() + storedGranules, values.end());
    node.parent = last;
    valueCount_ += node.values.size();
    nodes_[last].children.emplace(firstBlockHash(node.label), leaf);
    updateLru(last);
    touch(leaf, lastStamp_);
    last = leaf;
  }
  result.node = handle(last);
  return result;
}

void RadixTree::lock(NodeHandle node) {
  at(node);
  for (std::uint32_t i = node.index; i != 0 && i != kNone; i = nodes_[i].parent) {
    ++nodes_[i].lockCount;
    updateLru(i);
  }
}

void RadixTree::unlock(NodeHandle node) {
  const Node& found = at(node);
  if (node.index == 0) return;
  if (found.lockCount == 0)
    throw std::logic_error("unlock without a lock: release each stream's lock exactly once");
  for (std::uint32_t i = node.index; i != 0 && i != kNone; i = nodes_[i].parent) {
    --nodes_[i].lockCount;
    updateLru(i);
  }
}

// Returns the parent, which enters the LRU list at its own stamp if this was its last child.
std::uint32_t RadixTree::removeLeaf(std::uint32_t index,
                                    const std::function<void(BlockValue)>& onEvicted,
                                    std::size_t* freed) {
  removeFromLru(index);
  const std::uint32_t parent = nodes_[index].parent;
  unlinkChild(parent, index);
  for (BlockValue value : nodes_[index].values) {
    if (onEvicted) onEvicted(value);
  }
  *freed += nodes_[index].values.size();
  valueCount_ -= nodes_[index].values.size();
  release(index);
  updateLru(parent);
  return parent;
}

std::size_t RadixTree::evict(std::size_t count, const std::function<void(BlockValue)>& onEvicted) {
  std::size_t freed = 0;
  while (freed < count && lruHead_ != kNone) removeLeaf(lruHead_, onEvicted, &freed);
  return freed;
}

std::size_t RadixTree::prune(std::span<const Token> key) {
  const Step step = walk(key, nullptr);
  const std::size_t wholeTokens = key.size() - key.size() % granule_;
  std::uint32_t top = step.node;
  if (step.tokens + step.partialTokens < wholeTokens) return 0;
  if (step.tokens < wholeTokens) top = step.partial;
  std::vector<std::uint32_t> below{top};
  for (std::size_t i = 0; i < below.size(); ++i) {
    for (const auto& [hash, child] : nodes_[below[i]].children) below.push_back(child);
  }
  std::size_t freed = 0;
  for (auto index = below.rbegin(); index != below.rend(); ++index) {
    if (nodes_[*index].isInLru) removeLeaf(*index, nullptr, &freed);
  }
  return freed;
}

}  // namespace quayrill
