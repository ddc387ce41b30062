// Applies cache events of single parts, from servers and from the store, to the trees.
#include <algorithm>

#include "placement/placement.h"

namespace quayrill {

namespace {
// Bounds partChains_.
constexpr std::size_t kMaxPartChains = 50000;

// The position after which the batch is complete.
std::uint64_t firstKnown(const PartEvents& batch) {
  if (batch.events.empty()) return batch.next;
  return batch.events.front().position == 0 ? batch.next : batch.events.front().position - 1;
}
}  // namespace

CacheSalt scopedCacheSalt(const WeightsVersion& weights, const CacheSalt& scope) {
  return CacheSalt{weights.value + (scope.value.empty() ? "" : "." + scope.value)};
}

std::string Placement::namespaceKey(const ModelName& model, const CacheSalt& salt) {
  const auto dot = salt.value.find('.');
  const std::string scope = dot == std::string::npos ? "" : salt.value.substr(dot + 1);
  return namespaceKey(model, WeightsVersion{salt.value.substr(0, dot)}, CacheSalt{scope});
}

void Placement::setStore(const Address& store, std::uint64_t cacheTokens) {
  if (store != store_) {
    dropTree(storeRow_);
    storeRow_.eventPosition = 0;
    isStoreReachable_ = true;
  }
  store_ = store;
  storeRow_.state.name = ServerName{store.value};
  storeRow_.state.cacheTokens = cacheTokens;
}

void Placement::setStoreReachable(bool isReachable) { isStoreReachable_ = isReachable; }

// The last part is specific to one prompt, so no other request produces events about it.
void Placement::recordPartChain(const PromptPrefix& prefix) {
  if (partChains_.size() > kMaxPartChains) partChains_.clear();
  std::vector<PromptPart> chain;
  for (std::size_t i = 0; i + 1 < prefix.parts.size(); ++i) {
    chain.push_back(prefix.parts[i]);
    partChains_.try_emplace(prefix.parts[i].id, chain);
  }
}

bool Placement::applyPartEvent(ServerRow& row, const PartEvent& event) {
  const auto chain = partChains_.find(event.part);
  if (chain == partChains_.end()) return false;
  const auto known = namespaces_.find(namespaceKey(event.model, event.salt));
  if (known == namespaces_.end()) return false;
  PromptPrefix prefix{chain->second};
  std::size_t before = 0;
  for (std::size_t i = 0; i + 1 < prefix.parts.size(); ++i) before += prefix.parts[i].tokens;
  const std::size_t keptBlocks = (before + event.tokens) / settings_.blockTokens;
  const std::vector<Token> fullPath =
      pathFor(known->second.number, prefixBlocks(prefix, settings_.blockTokens));
  if (event.isAdded) {
    const std::size_t cached = row.tree.peekPrefix(fullPath);
    const std::size_t end = std::min(fullPath.size(), keptBlocks + 1);
    if (cached >= end || (before > 0 && cached < before / settings_.blockTokens + 1)) return true;
    const std::vector<Token> path(fullPath.begin(),
                                  fullPath.begin() + static_cast<std::ptrdiff_t>(end));
    row.tree.insert(path, std::vector<BlockValue>(path.begin(), path.end()));
    enforceCapacity(row);
  } else if (keptBlocks + 1 < fullPath.size()) {
    row.tree.prune(std::span(fullPath).first(keptBlocks + 2));
  }
  return true;
}

void Placement::applyPendingParts(const PromptPrefix& prefix) {
  const auto isKnown = [&](const PendingParts::CachedPart& cached) {
    return namespaces_.contains(namespaceKey(cached.model, cached.salt));
  };
  for (std::size_t i = 0; i + 1 < prefix.parts.size(); ++i) {
    const std::string& part = prefix.parts[i].id;
    for (const PendingParts::CachedPart& cached : pendingParts_.take(part, isKnown)) {
      const auto entry = servers_.find(cached.holder);
      if (entry == servers_.end() && cached.holder.value != store_.value) continue;
      ServerRow& row = entry == servers_.end() ? storeRow_ : entry->second;
      if (row.treeGeneration == cached.treeGeneration)
        applyPartEvent(row, {0, true, cached.salt, part, cached.tokens, cached.model});
    }
  }
}

void Placement::applyPartEvents(const ServerName& server, const PartEvents& batch) {
  const auto entry = servers_.find(server);
  const bool isStore = server.value == store_.value;
  if (entry == servers_.end() && !isStore) return;
  ServerRow& row = isStore ? storeRow_ : entry->second;
  // A source whose position is behind the requested one never issued that position, so reading
  // starts over. A new incarnation has lost its cache.
  if (row.eventIncarnation != batch.incarnation || batch.first > batch.next) {
    if (!row.eventIncarnation.empty()) {
      dropTree(row);
      ++gaps_;
    }
    row.eventIncarnation = batch.incarnation;
    row.eventPosition = 0;
  } else if (batch.next < row.eventPosition) {
    return;  // from another reader, delivered late
  } else if (batch.hasGap && row.eventPosition < firstKnown(batch)) {
    dropTree(row);  // the events in between, which may include drops, are lost
    ++gaps_;
  } else if (row.eventPosition < batch.first) {
    ++gaps_;  // a batch was lost in transit; keeps the tree, as a missed drop costs one prefill at
              // most
  }
  for (const PartEvent& event : batch.events) {
    if (event.position != 0 && event.position <= row.eventPosition) continue;
    if (!applyPartEvent(row, event))
      pendingParts_.put(event.part,
                        {server, row.treeGeneration, event.salt, event.model, event.tokens});
  }
  row.eventPosition = batch.next;
}

}  // namespace quayrill
