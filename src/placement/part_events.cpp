// What servers and the store tell of single parts, laid over the trees.
#include <algorithm>

#include "placement/placement.h"

namespace quayrill {

namespace {
constexpr std::size_t kChains = 50000;
}

CacheSalt saltText(const WeightsVersion& weights, const CacheSalt& wall) {
  return CacheSalt{weights.value + (wall.value.empty() ? "" : "." + wall.value)};
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

void Placement::noteStore(bool isUp) { storeUp_ = isUp; }

// The last part is a prompt's own: nobody else's events are about it.
void Placement::noteChain(const PromptPrefix& prefix) {
  if (chains_.size() > kChains) chains_.clear();
  std::vector<PromptPart> chain;
  for (std::size_t i = 0; i + 1 < prefix.parts.size(); ++i) {
    chain.push_back(prefix.parts[i]);
    chains_.try_emplace(prefix.parts[i].id, chain);
  }
}

void Placement::takePart(Row& row, const PartEvent& event) {
  const auto chain = chains_.find(event.part);
  if (chain == chains_.end()) return;
  const auto dot = event.salt.value.find('.');
  ServerState named;
  named.model = event.model;
  named.weights = WeightsVersion{event.salt.value.substr(0, dot)};
  const CacheSalt wall{dot == std::string::npos ? "" : event.salt.value.substr(dot + 1)};
  const auto space =
      nameSpaces_.find(named.model.value + '\0' + named.weights.value + '\0' + wall.value);
  if (space == nameSpaces_.end()) return;
  PromptPrefix prefix{chain->second};
  std::size_t before = 0;
  for (std::size_t i = 0; i + 1 < prefix.parts.size(); ++i) before += prefix.parts[i].tokens;
  const std::size_t kept = (before + event.tokens) / settings_.blockTokens;
  const std::vector<Token> whole =
      pathFor(space->second.number, prefixBlocks(prefix, settings_.blockTokens));
  if (event.isAdded) {
    const std::size_t held = row.tree.peekPrefix(whole);
    const std::size_t to = std::min(whole.size(), kept + 1);
    if (held >= to || (before > 0 && held < before / settings_.blockTokens + 1)) return;
    const std::vector<Token> path(whole.begin(), whole.begin() + static_cast<std::ptrdiff_t>(to));
    row.tree.insert(path, std::vector<BlockValue>(path.begin(), path.end()));
    keepBudget(row);
  } else if (kept + 1 < whole.size()) {
    row.tree.prune(std::span(whole).first(kept + 2));
  }
}

void Placement::takePartEvents(const ServerName& server, const PartEvents& told) {
  const auto entry = rows_.find(server);
  const bool isStore = server.value == store_.value;
  if (entry == rows_.end() && !isStore) return;
  Row& row = isStore ? storeRow_ : entry->second;
  const bool isFirst = row.eventLife.empty();
  if (!isFirst && (row.eventLife != told.life || told.hasGap)) {
    dropTree(row);
    ++gaps_;
  }
  row.eventLife = told.life;
  for (const PartEvent& event : told.events) takePart(row, event);
  row.eventPosition = told.next;
}

}  // namespace quayrill
