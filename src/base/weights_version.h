#pragma once
// The order of weight versions, and how long a superseded one may still be used.
#include <map>
#include <optional>
#include <utility>

#include "base/clock.h"
#include "base/types.h"

namespace quayrill {

// The version as a number; nullopt where it is no plain decimal number.
std::optional<std::uint64_t> versionNumber(const WeightsVersion& version);

// Versions that are numbers rise and never fall; any other is behind as soon as it differs.
bool isOlderVersion(const WeightsVersion& version, const WeightsVersion& wanted);

// One model's versions: the newest, and for each older one an instant at which it was certainly
// still the newest. The time that a version has left counts from there: it is superseded by the
// first naming after it, and no later naming extends that. The empty version stands for the time
// before the first naming.
//
// Forgetting a row is always safe: a version without one counts as superseded any time ago.
class WeightsHistory {
 public:
  // The configuration in force names `weights`. Those it named before were the newest at
  // `confirmedAt` for certain; nullopt: not known when.
  void setNewest(const WeightsVersion& weights, std::optional<Instant> confirmedAt);
  // At `at`, `weights` were the newest for certain. Word of the newest version itself is not kept.
  void recordNewestAt(const WeightsVersion& weights, Instant at);
  // Drops what was superseded before `before`.
  void forgetBefore(Instant before);

  const WeightsVersion& newest() const { return newest_; }
  // Until when requests may begin on `weights`, where each version may be used for `bound` after
  // the first newer one was named. Instant::max(): no newer one is known. Instant::min(): when
  // that was is not known here.
  Instant usableUntil(const WeightsVersion& weights, Duration bound) const;
  const std::map<WeightsVersion, Instant>& superseded() const { return newestAt_; }

 private:
  WeightsVersion newest_;
  std::map<WeightsVersion, Instant>
      newestAt_;  // never falls for a version; kMaxSupersededVersions rows
};

}  // namespace quayrill
