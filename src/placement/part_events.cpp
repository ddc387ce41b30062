// What servers and the store tell of single parts, laid over the trees.
#include <algorithm>

#include "placement/placement.h"

namespace quayrill {

namespace {
constexpr std::size_t kChains = 50000;

// The position behind which nothing is missing.
std::uint64_t firstKnown(const PartEvents& told) {
  if (told.events.empty()) return told.next;
  return told.events.front().position == 0 ? told.next : told.events.front().position - 1;
}
}  // namespace

CacheSalt scopedCacheSalt(const WeightsVersion& weights, const CacheSalt& wall) {
  return CacheSalt{weights.value + (wall.value.empty() ? "" : "." + wall.value)};
}

std::string Placement::nameSpaceName(const ModelName& model, const CacheSalt& salt) {
  const auto dot = salt.value.find('.');
  const std::string wall = dot == std::string::npos ? "" : salt.value.substr(dot + 1);
  return nameSpaceName(model, WeightsVersion{salt.value.substr(0, dot)}, CacheSalt{wall});
}

void Placement::setStore(const Address& store, std::uint64_t cacheTokens) {
  if (store != store_) {
    dropTree(storeRow_);
    storeRow_.eventPosition = 0;
    storeUp_ = true;
  }
  store_ = store;
  storeRow_.state.name = ServerName{store.value};
  storeRow_.state.cacheTokens = cacheTokens;
}

void Placement::setStoreReachable(bool isUp) { storeUp_ = isUp; }

// The last part is a prompt's own: nobody else's events are about it.
void Placement::noteChain(const PromptPrefix& prefix) {
  if (chains_.size() > kChains) chains_.clear();
  std::vector<PromptPart> chain;
  for (std::size_t i = 0; i + 1 < prefix.parts.size(); ++i) {
    chain.push_back(prefix.parts[i]);
    chains_.try_emplace(prefix.parts[i].id, chain);
  }
}

bool Placement::takePart(Row& row, const PartEvent& event) {
  const auto chain = chains_.find(event.part);
  if (chain == chains_.end()) return false;
  const auto space = nameSpaces_.find(nameSpaceName(event.model, event.salt));
  if (space == nameSpaces_.end()) return false;
  PromptPrefix prefix{chain->second};
  std::size_t before = 0;
  for (std::size_t i = 0; i + 1 < prefix.parts.size(); ++i) before += prefix.parts[i].tokens;
  const std::size_t kept = (before + event.tokens) / settings_.blockTokens;
  const std::vector<Token> whole =
      pathFor(space->second.number, prefixBlocks(prefix, settings_.blockTokens));
  if (event.isAdded) {
    const std::size_t held = row.tree.peekPrefix(whole);
    const std::size_t to = std::min(whole.size(), kept + 1);
    if (held >= to || (before > 0 && held < before / settings_.blockTokens + 1)) return true;
    const std::vector<Token> path(whole.begin(), whole.begin() + static_cast<std::ptrdiff_t>(to));
    row.tree.insert(path, std::vector<BlockValue>(path.begin(), path.end()));
    keepBudget(row);
  } else if (kept + 1 < whole.size()) {
    row.tree.prune(std::span(whole).first(kept + 2));
  }
  return true;
}

void Placement::placeParts(const PromptPrefix& prefix) {
  const auto isKnown = [&](const PendingParts::Held& held) {
    return nameSpaces_.contains(nameSpaceName(held.model, held.salt));
  };
  for (std::size_t i = 0; i + 1 < prefix.parts.size(); ++i) {
    const std::string& part = prefix.parts[i].id;
    for (const PendingParts::Held& held : unplaced_.take(part, isKnown)) {
      const auto entry = rows_.find(held.holder);
      if (entry == rows_.end() && held.holder.value != store_.value) continue;
      Row& row = entry == rows_.end() ? storeRow_ : entry->second;
      if (row.treeLife == held.treeLife)
        takePart(row, {0, true, held.salt, part, held.tokens, held.model});
    }
  }
}

void Placement::applyPartEvents(const ServerName& server, const PartEvents& told) {
  const auto entry = rows_.find(server);
  const bool isStore = server.value == store_.value;
  if (entry == rows_.end() && !isStore) return;
  Row& row = isStore ? storeRow_ : entry->second;
  // A source that is behind what was asked of it never told that position.
  if (row.eventLife != told.incarnation || told.first > told.next) {
    if (!row.eventLife.empty()) {
      dropTree(row);
      ++gaps_;
    }
    row.eventLife = told.incarnation;
    row.eventPosition = 0;
  } else if (told.next < row.eventPosition) {
    return;  // of another reader, told late
  } else if (told.hasGap && row.eventPosition < firstKnown(told)) {
    dropTree(row);  // what was dropped in between is not known
    ++gaps_;
  } else if (row.eventPosition < told.first) {
    ++gaps_;  // a batch was lost on its way; what it told of drops costs a read at most
  }
  for (const PartEvent& event : told.events) {
    if (event.position != 0 && event.position <= row.eventPosition) continue;
    if (!takePart(row, event))
      unplaced_.put(event.part, {server, row.treeLife, event.salt, event.model, event.tokens});
  }
  row.eventPosition = told.next;
}

}  // namespace quayrill
