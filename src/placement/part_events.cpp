// What servers and the store tell of single parts, laid over the trees.
#include <algorithm>

#include "placement/placement.h"

namespace quayrill {

namespace {
constexpr std::size_t kMaxPartChains = 50000;

// The position behind which nothing is missing.
std::uint64_t firstKnown(const PartEvents& batch) {
  if (batch.events.empty()) return batch.next;
  return batch.events.front().position == 0 ? batch.next : batch.events.front().position - 1;
}
}  // namespace

CacheSalt scopedCacheSalt(const WeightsVersion& weights, const CacheSalt& isolationSalt) {
  return CacheSalt{weights.value + (isolationSalt.value.empty() ? "" : "." + isolationSalt.value)};
}

std::string Placement::namespaceKey(const ModelName& model, const CacheSalt& salt) {
  const auto dot = salt.value.find('.');
  const std::string isolationSalt = dot == std::string::npos ? "" : salt.value.substr(dot + 1);
  return namespaceKey(model, WeightsVersion{salt.value.substr(0, dot)}, CacheSalt{isolationSalt});
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

void Placement::setStoreReachable(bool isUp) { isStoreReachable_ = isUp; }

// The last part is a prompt's own: nobody else's events are about it.
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
  const auto space = namespaces_.find(namespaceKey(event.model, event.salt));
  if (space == namespaces_.end()) return false;
  PromptPrefix prefix{chain->second};
  std::size_t before = 0;
  for (std::size_t i = 0; i + 1 < prefix.parts.size(); ++i) before += prefix.parts[i].tokens;
  const std::size_t kept = (before + event.tokens) / settings_.blockTokens;
  const std::vector<Token> whole =
      pathFor(space->second.number, prefixBlocks(prefix, settings_.blockTokens));
  if (event.isAdded) {
    const std::size_t cached = row.tree.peekPrefix(whole);
    const std::size_t to = std::min(whole.size(), kept + 1);
    if (cached >= to || (before > 0 && cached < before / settings_.blockTokens + 1)) return true;
    const std::vector<Token> path(whole.begin(), whole.begin() + static_cast<std::ptrdiff_t>(to));
    row.tree.insert(path, std::vector<BlockValue>(path.begin(), path.end()));
    enforceCapacity(row);
  } else if (kept + 1 < whole.size()) {
    row.tree.prune(std::span(whole).first(kept + 2));
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
  // A source that is behind what was asked of it never told that position.
  if (row.eventIncarnation != batch.incarnation || batch.first > batch.next) {
    if (!row.eventIncarnation.empty()) {
      dropTree(row);
      ++gaps_;
    }
    row.eventIncarnation = batch.incarnation;
    row.eventPosition = 0;
  } else if (batch.next < row.eventPosition) {
    return;  // of another reader, told late
  } else if (batch.hasGap && row.eventPosition < firstKnown(batch)) {
    dropTree(row);  // what was dropped in between is not known
    ++gaps_;
  } else if (row.eventPosition < batch.first) {
    ++gaps_;  // a batch was lost on its way; what it told of drops costs a read at most
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
