#pragma once
// The order of weight versions, and until when a superseded version may still serve requests.
#include <map>
#include <optional>
#include <utility>

#include "base/clock.h"
#include "base/types.h"

namespace quayrill {

// The version as a number; nullopt unless it is a plain decimal number.
std::optional<std::uint64_t> versionNumber(const WeightsVersion& version);

// Whether `version` is older than `wanted`. Numeric versions only increase, so they are compared as
// numbers. Any other version counts as older as soon as it differs.
bool isOlderVersion(const WeightsVersion& version, const WeightsVersion& wanted);

// The versions of one model: the newest one, and for each older one the latest instant at which it
// is known to have still been the newest. The time that an older version has left counts from that
// instant. It was superseded by the first newer version after it, and later versions don't extend
// that time. The empty version stands for the time before the first version was configured.
//
// Dropping an entry is always safe: a version without one counts as superseded long ago.
class WeightsHistory {
 public:
  // The configuration in force now names `weights`. The version that it named before was certainly
  // the newest at `confirmedAt`; nullopt: unknown.
  void setNewest(const WeightsVersion& weights, std::optional<Instant> confirmedAt);
  // `weights` were certainly the newest at `at`. Ignored for the version that is still the newest.
  void recordNewestAt(const WeightsVersion& weights, Instant at);
  // Drops versions that were last known to be the newest before `before`.
  void forgetBefore(Instant before);

  const WeightsVersion& newest() const { return newest_; }
  // Until when requests may start on `weights`, if a version may be used for `bound` after the
  // first newer one was configured. Instant::max(): no newer one is known. Instant::min(): there is
  // a newer one, but it is unknown since when.
  Instant usableUntil(const WeightsVersion& weights, Duration bound) const;
  const std::map<WeightsVersion, Instant>& superseded() const { return newestAt_; }

 private:
  WeightsVersion newest_;
  // Instants only rise for a version. At most kMaxSupersededVersions rows.
  std::map<WeightsVersion, Instant> newestAt_;
};

}  // namespace quayrill
