#include "agent/core/weights_histories.h"

#include <algorithm>

namespace quayrill {

void WeightsHistories::onConfiguration(const std::map<ModelName, WeightsVersion>& weights,
                                       std::optional<Instant> confirmedAt) {
  std::erase_if(rows_, [&](const auto& row) { return !weights.contains(row.first); });
  for (const auto& [model, version] : weights) rows_[model].setNewest(version, confirmedAt);
}

void WeightsHistories::merge(const std::vector<SupersededWeights>& superseded, Instant reportedAt) {
  for (const SupersededWeights& entry : superseded) {
    const auto row = rows_.find(entry.model);
    if (row == rows_.end() || entry.ageMicros < 0) continue;
    row->second.recordNewestAt(entry.weights,
                               reportedAt - std::chrono::microseconds(entry.ageMicros));
  }
}

std::vector<SupersededWeights> WeightsHistories::report(Instant now) const {
  std::vector<SupersededWeights> report;
  for (const auto& [model, history] : rows_) {
    for (const auto& [version, newestAt] : history.superseded()) {
      const auto age = std::chrono::ceil<std::chrono::microseconds>(now - newestAt);
      report.push_back({model, version, age.count()});
    }
  }
  return report;
}

void WeightsHistories::forgetBefore(Instant before) {
  for (auto& [model, history] : rows_) history.forgetBefore(before);
}

const WeightsHistory* WeightsHistories::of(const ModelName& model) const {
  const auto row = rows_.find(model);
  return row == rows_.end() ? nullptr : &row->second;
}

Instant WeightsHistories::usableUntil(const ModelName& model, const WeightsVersion& weights,
                                      Duration bound) const {
  const WeightsHistory* history = of(model);
  return history ? history->usableUntil(weights, bound) : Instant::max();
}

}  // namespace quayrill
