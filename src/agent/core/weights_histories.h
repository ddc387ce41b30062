#pragma once
// How long each model's superseded weights may still be used, as far as is known here. What is
// known is shared: every word of another daemon is a fact, and only ever adds to it.
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/weights_version.h"
#include "peers/messages.h"

namespace quayrill {

class WeightsHistories {
 public:
  // The configuration in force names these. The one before it was known to be the newest at
  // `confirmedAt`; nullopt: there was none, or it is not known when.
  void onConfiguration(const std::map<ModelName, WeightsVersion>& weights,
                       std::optional<Instant> confirmedAt);
  // Another daemon's word, as of `toldAt` at the earliest.
  void merge(const std::vector<SupersededWeights>& superseded, Instant toldAt);
  std::vector<SupersededWeights> report(Instant now) const;
  // Forgets what was superseded before `before`, when it may be used no more.
  void forgetBefore(Instant before);
  // nullptr: the configuration in force names no weights of this model.
  const WeightsHistory* of(const ModelName& model) const;
  // WeightsHistory::usableUntil. Where the configuration names no weights, any may be used.
  Instant usableUntil(const ModelName& model, const WeightsVersion& weights, Span bound) const;

 private:
  std::map<ModelName, WeightsHistory> rows_;  // exactly the models that the configuration names
};

}  // namespace quayrill
