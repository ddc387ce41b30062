#include "placement/pending_parts.h"

#include <algorithm>

namespace quayrill {

void PendingParts::put(const std::string& part, Held held) {
  const auto isSame = [&](const Held& row) {
    return row.holder == held.holder && row.salt == held.salt && row.model == held.model;
  };
  if (held.tokens == 0) {
    const auto entry = held_.find(part);
    if (entry == held_.end()) return;
    std::erase_if(entry->second, isSame);
    if (entry->second.empty()) held_.erase(entry);
    return;
  }
  const auto [entry, isNew] = held_.try_emplace(part);
  if (isNew) order_.push_back(part);
  std::vector<Held>& rows = entry->second;
  const auto row = std::find_if(rows.begin(), rows.end(), isSame);
  if (row == rows.end())
    rows.push_back(std::move(held));
  else
    *row = std::move(held);
  while (order_.size() > mostParts_) {
    held_.erase(order_.front());
    order_.pop_front();
  }
}

std::vector<PendingParts::Held> PendingParts::take(const std::string& part,
                                                   const std::function<bool(const Held&)>& wanted) {
  std::vector<Held> taken;
  const auto entry = held_.find(part);
  if (entry == held_.end()) return taken;
  std::vector<Held>& rows = entry->second;
  std::copy_if(rows.begin(), rows.end(), std::back_inserter(taken), wanted);
  std::erase_if(rows, wanted);
  if (rows.empty()) held_.erase(entry);
  return taken;
}

}  // namespace quayrill
