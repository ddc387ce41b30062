#include "base/decision_log.h"

#include <algorithm>

namespace quayrill {

void DecisionLog::add(std::string id, std::string line) {
  std::lock_guard lock(mutex_);
  rows_.emplace_back(std::move(id), std::move(line));
  while (rows_.size() > limit_) {
    rows_.pop_front();
    ++first_;
  }
}

DecisionPage DecisionLog::read(std::uint64_t from, std::size_t maxLines) const {
  std::lock_guard lock(mutex_);
  DecisionPage page;
  page.first = std::max(from, first_);
  const std::uint64_t end = first_ + rows_.size();
  page.first = std::min(page.first, end);
  page.next = std::min<std::uint64_t>(end, page.first + maxLines);
  for (std::uint64_t position = page.first; position < page.next; ++position)
    page.lines.push_back(rows_[position - first_].second);
  return page;
}

std::optional<std::string> DecisionLog::find(const std::string& id) const {
  std::lock_guard lock(mutex_);
  for (auto row = rows_.rbegin(); row != rows_.rend(); ++row) {
    if (row->first == id) return row->second;
  }
  return std::nullopt;
}

}  // namespace quayrill
