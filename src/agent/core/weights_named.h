#pragma once
// When each model's present weights were named, as far as is known here: an instant that lies
// before the naming for certain, so that an age is only ever too high.
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "peers/messages.h"

namespace quayrill {

class WeightsNamed {
 public:
  // The configuration in force names these. What changed was named after `before`, if that is
  // known: the last time at which the configuration before it was known to be the newest.
  void onConfiguration(const std::map<ModelName, WeightsVersion>& weights,
                       std::optional<Instant> before);
  // Another daemon's word, as of `toldAt` at the earliest.
  void take(const std::vector<NamedWeights>& named, Instant toldAt);
  std::vector<NamedWeights> tell(Instant now) const;
  // nullopt: any time ago.
  std::optional<Span> ago(const ModelName& model, Instant now) const;

 private:
  struct Row {
    WeightsVersion weights;
    std::optional<Instant> before;  // never falls while the weights stay; nullopt: not known
  };
  std::map<ModelName, Row> rows_;  // exactly the models that the configuration in force names
};

}  // namespace quayrill
