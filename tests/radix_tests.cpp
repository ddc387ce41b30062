#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "radix/radix_tree.h"

using namespace quayrill;

namespace {
using Key = std::vector<Token>;
using Values = std::vector<BlockValue>;

Key labelOf(const RadixTree& tree, NodeHandle node) {
  const auto label = tree.label(node);
  return {label.begin(), label.end()};
}
Values valuesOf(const RadixTree& tree, NodeHandle node) {
  const auto values = tree.values(node);
  return {values.begin(), values.end()};
}
}  // namespace

TEST_CASE("radix: the paper's worked example, step by step") {
  RadixTree tree(1);
  const auto first = tree.insert(Key{1, 2, 3}, {'a', 'b', 'c'});
  REQUIRE(first.unusedValues.empty());
  const auto second = tree.insert(Key{1, 2, 4, 5}, {'x', 'y', 'd', 'e'});
  CHECK(second.unusedValues == Values{'x', 'y'});
  CHECK(labelOf(tree, second.node) == Key{4, 5});
  CHECK(labelOf(tree, first.node) == Key{3});  // the old child keeps its handle and the lower part
  CHECK(valuesOf(tree, first.node) == Values{'c'});
  const auto third = tree.matchPrefix(Key{1, 2, 3, 9});
  CHECK(third.tokens == 3);
  REQUIRE(third.path.size() == 2);
  CHECK(valuesOf(tree, third.path[0]) == Values{'a', 'b'});
  CHECK(third.path[1] == first.node);
  const std::size_t nodesBefore = tree.nodeCount();
  CHECK(tree.matchPrefix(Key{1, 2, 7}).tokens == 2);
  CHECK(tree.nodeCount() == nodesBefore);
  CHECK(tree.matchPrefix(Key{1, 9}).tokens == 1);  // ended inside "1 2", which was split
  CHECK(tree.nodeCount() == nodesBefore + 1);
  CHECK(tree.matchPrefix(Key{7, 1}).path.empty());
  CHECK(tree.size() == 5);
}

TEST_CASE("radix: a granule above one matches whole runs only") {
  RadixTree tree(2);
  tree.insert(Key{1, 2, 3, 4}, {10, 11});
  CHECK(tree.matchPrefix(Key{1, 2, 3, 9}).tokens == 2);
  CHECK(tree.matchPrefix(Key{1}).tokens == 0);
  CHECK(tree.peekPrefix(Key{1, 2, 3, 4, 5}) == 4);
  CHECK_THROWS_AS(tree.insert(Key{1, 2, 3}, {1, 2}), std::invalid_argument);
  CHECK_THROWS_AS(RadixTree(0), std::invalid_argument);
}

TEST_CASE("radix: a stored key hands every value back and names the same node") {
  RadixTree tree(1);
  const auto first = tree.insert(Key{1, 2, 3}, {7, 8, 9});
  const auto again = tree.insert(Key{1, 2, 3}, {4, 5, 6});
  CHECK(again.node == first.node);
  CHECK(again.unusedValues == Values{4, 5, 6});
  CHECK(tree.insert(Key{}, {}).node == RadixTree::root());
}

TEST_CASE("radix: eviction takes the oldest leaf whole, then a parent at its own stamp") {
  RadixTree tree(1);
  const auto left = tree.insert(Key{1, 2, 3}, {1, 2, 3});
  const auto right = tree.insert(Key{1, 2, 4}, {1, 2, 4});
  const auto other = tree.insert(Key{8, 9}, {8, 9});
  tree.matchPrefix(Key{1, 2, 3});
  CHECK(tree.lruOrder() == std::vector<NodeHandle>{right.node, other.node, left.node});
  Values freed;
  CHECK(tree.evict(1, [&](BlockValue value) { freed.push_back(value); }) == 1);
  CHECK(freed == Values{4});
  CHECK(tree.evict(2, nullptr) == 2);
  // Parent and child have the stamp of the last match, so the parent enters the list before newer
  // entries.
  tree.insert(Key{5}, {5});
  CHECK(tree.evict(1, nullptr) == 1);
  const auto order = tree.lruOrder();
  REQUIRE(order.size() == 2);
  CHECK(labelOf(tree, order[0]) == Key{1, 2});
  CHECK(labelOf(tree, order[1]) == Key{5});
}

TEST_CASE("radix: locks pin the path, nest, and pass to the node a split makes") {
  RadixTree tree(1);
  const auto leaf = tree.insert(Key{1, 2, 3, 4}, {1, 2, 3, 4});
  tree.lock(leaf.node);
  tree.lock(leaf.node);
  const auto match = tree.matchPrefix(Key{1, 2, 9});
  REQUIRE(match.path.size() == 1);
  CHECK(tree.lockCount(match.path[0]) == 2);
  CHECK(tree.evict(100, nullptr) == 0);
  CHECK(tree.prune(Key{1, 2}) == 0);
  tree.unlock(leaf.node);
  CHECK(tree.evict(100, nullptr) == 0);
  tree.unlock(leaf.node);
  CHECK_THROWS_AS(tree.unlock(leaf.node), std::logic_error);
  CHECK(tree.evict(100, nullptr) == 4);
  CHECK(tree.nodeCount() == 0);
}

TEST_CASE("radix: freed slots are reused and a stale handle is told") {
  RadixTree tree(1);
  NodeHandle stale;
  for (Token round = 0; round < 1000; ++round) {
    const auto node = tree.insert(Key{round, 1}, {1, 2}).node;
    if (round == 0) stale = node;
    tree.evict(2, nullptr);
  }
  CHECK(tree.slotCount() < 5);
  const auto fresh = tree.insert(Key{77}, {1}).node;
  CHECK(fresh.index == stale.index);
  CHECK_FALSE(tree.isLive(stale));
  CHECK_THROWS_AS(tree.lock(stale), std::logic_error);
}

namespace {
// A reference implementation: every stored prefix with its value.
struct NaiveIndex {
  std::map<Key, BlockValue> stored;
  std::size_t longest(const Key& key, std::size_t granule) const {
    std::size_t match = 0;
    while (match + granule <= key.size() &&
           stored.contains(Key(key.begin(), key.begin() + static_cast<long>(match + granule))))
      match += granule;
    return match;
  }
};

Key pathOf(const RadixTree& tree, NodeHandle node) {
  Key path;
  for (; node != RadixTree::root(); node = tree.parent(node)) {
    const Key label = labelOf(tree, node);
    path.insert(path.begin(), label.begin(), label.end());
  }
  return path;
}
}  // namespace

TEST_CASE("radix: against a naive map, seeded, at granules 1 and 2") {
  for (const std::size_t granule : {1U, 2U}) {
    RadixTree tree(granule);
    NaiveIndex naive;
    std::mt19937_64 random(granule * 7919);
    std::vector<std::pair<NodeHandle, Key>> locks;
    BlockValue nextValue = 1;
    for (int step = 0; step < 4000; ++step) {
      Key key(granule * (random() % 6));
      for (Token& token : key) token = random() % 3;
      switch (random() % 5) {
        case 0:
        case 1: {
          Values values(key.size() / granule);
          for (BlockValue& value : values) value = nextValue++;
          const std::size_t held = naive.longest(key, granule);
          const auto inserted = tree.insert(key, values);
          REQUIRE(inserted.unusedValues ==
                  Values(values.begin(), values.begin() + static_cast<long>(held / granule)));
          for (std::size_t end = held + granule; end <= key.size(); end += granule)
            naive.stored[Key(key.begin(), key.begin() + static_cast<long>(end))] =
                values[end / granule - 1];
          REQUIRE(pathOf(tree, inserted.node) == key);
          break;
        }
        case 2: {
          const std::size_t peeked = tree.peekPrefix(key);
          const auto match = tree.matchPrefix(key);
          REQUIRE(match.tokens == naive.longest(key, granule));
          REQUIRE(peeked == match.tokens);
          if (!match.path.empty() && locks.size() < 4) {
            tree.lock(match.path.back());
            locks.emplace_back(match.path.back(), pathOf(tree, match.path.back()));
          }
          break;
        }
        case 3:
          if (!locks.empty()) {
            const std::size_t at = random() % locks.size();
            REQUIRE(pathOf(tree, locks[at].first) == locks[at].second);
            tree.unlock(locks[at].first);
            locks.erase(locks.begin() + static_cast<long>(at));
          }
          break;
        default: {
          const auto order = tree.lruOrder();
          const Key oldest = order.empty() ? Key{} : pathOf(tree, order.front());
          Values freed;
          const std::size_t labelGranules =
              order.empty() ? 0 : tree.label(order.front()).size() / granule;
          tree.evict(order.empty() ? 0 : 1, [&](BlockValue value) { freed.push_back(value); });
          REQUIRE(freed.size() == labelGranules);
          for (std::size_t i = 0; i < labelGranules; ++i) {
            const Key gone(oldest.begin(),
                           oldest.end() - static_cast<long>((labelGranules - 1 - i) * granule));
            REQUIRE(naive.stored.at(gone) == freed[i]);
            naive.stored.erase(gone);
          }
          break;
        }
      }
      REQUIRE(tree.size() == naive.stored.size());
      for (const auto& [node, path] : locks) REQUIRE(naive.longest(path, granule) == path.size());
    }
  }
}
