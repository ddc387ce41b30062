#include "agent/core/weights_named.h"

#include <algorithm>

namespace quayrill {

void WeightsNamed::onConfiguration(const std::map<ModelName, WeightsVersion>& weights,
                                   std::optional<Instant> before) {
  std::erase_if(rows_, [&](const auto& row) { return !weights.contains(row.first); });
  for (const auto& [model, version] : weights) {
    Row& row = rows_[model];
    if (row.weights != version) row = {version, before};
  }
}

void WeightsNamed::take(const std::vector<NamedWeights>& named, Instant toldAt) {
  for (const NamedWeights& told : named) {
    const auto row = rows_.find(told.model);
    if (row == rows_.end() || row->second.weights != told.weights || told.agoMicros < 0) continue;
    // Both lie before the naming: the later one tells more.
    const Instant before = toldAt - std::chrono::microseconds(told.agoMicros);
    std::optional<Instant>& known = row->second.before;
    known = known ? std::max(*known, before) : before;
  }
}

std::vector<NamedWeights> WeightsNamed::tell(Instant now) const {
  std::vector<NamedWeights> named;
  for (const auto& [model, row] : rows_) {
    if (!row.before) continue;
    const auto ago = std::chrono::ceil<std::chrono::microseconds>(now - *row.before);
    named.push_back({model, row.weights, ago.count()});
  }
  return named;
}

std::optional<Span> WeightsNamed::ago(const ModelName& model, Instant now) const {
  const auto row = rows_.find(model);
  if (row == rows_.end() || !row->second.before) return std::nullopt;
  return now - *row->second.before;
}

}  // namespace quayrill
