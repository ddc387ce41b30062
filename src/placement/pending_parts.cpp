#include "placement/pending_parts.h"

#include <algorithm>

namespace quayrill {

void PendingParts::put(const std::string& part, CachedPart cached) {
  const auto isSame = [&](const CachedPart& row) {
    return row.holder == cached.holder && row.salt == cached.salt && row.model == cached.model;
  };
  if (cached.tokens == 0) {
    const auto entry = cachedParts_.find(part);
    if (entry == cachedParts_.end()) return;
    std::erase_if(entry->second, isSame);
    if (entry->second.empty()) cachedParts_.erase(entry);
    return;
  }
  const auto [entry, isNew] = cachedParts_.try_emplace(part);
  if (isNew) order_.push_back(part);
  std::vector<CachedPart>& rows = entry->second;
  const auto row = std::find_if(rows.begin(), rows.end(), isSame);
  if (row == rows.end())
    rows.push_back(std::move(cached));
  else
    *row = std::move(cached);
  while (order_.size() > maxParts_) {
    cachedParts_.erase(order_.front());
    order_.pop_front();
  }
}

std::vector<PendingParts::CachedPart> PendingParts::take(
    const std::string& part, const std::function<bool(const CachedPart&)>& wanted) {
  std::vector<CachedPart> taken;
  const auto entry = cachedParts_.find(part);
  if (entry == cachedParts_.end()) return taken;
  std::vector<CachedPart>& rows = entry->second;
  std::copy_if(rows.begin(), rows.end(), std::back_inserter(taken), wanted);
  std::erase_if(rows, wanted);
  if (rows.empty()) cachedParts_.erase(entry);
  return taken;
}

}  // namespace quayrill
