#pragma once
// Tracks how long the superseded weights of each model may still be used. Daemons share what they
// know; information from other daemons only adds to the local state and never contradicts it.
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/weights_version.h"
#include "peers/messages.h"

namespace quayrill {

// One WeightsHistory per model of the configuration.
class WeightsHistories {
 public:
  // The configuration in force names these weights. The previous configuration was last known to be
  // the newest at `confirmedAt`; nullopt if there was none or the time isn't known.
  void onConfiguration(const std::map<ModelName, WeightsVersion>& weights,
                       std::optional<Instant> confirmedAt);
  // Takes a report of another daemon that was sent at `reportedAt` at the earliest.
  void merge(const std::vector<SupersededWeights>& superseded, Instant reportedAt);
  // The superseded weights known here, with ages relative to `now`.
  std::vector<SupersededWeights> report(Instant now) const;
  // Forgets weights that were superseded before `before`, when they may no longer be used.
  void forgetBefore(Instant before);
  // nullptr: the configuration in force names no weights of this model.
  const WeightsHistory* of(const ModelName& model) const;
  // See WeightsHistory::usableUntil. Instant::max() if the configuration names no weights of the
  // model, since any weights may be used then.
  Instant usableUntil(const ModelName& model, const WeightsVersion& weights, Duration bound) const;

 private:
  std::map<ModelName, WeightsHistory> rows_;  // exactly the models that the configuration names
};

}  // namespace quayrill
