#include "base/weights_version.h"

#include <algorithm>
#include <charconv>

namespace quayrill {

namespace {
// Superseded versions kept for one model. Beyond that the oldest are dropped.
constexpr std::size_t kMaxSupersededVersions = 64;
}  // namespace

std::optional<std::uint64_t> versionNumber(const WeightsVersion& version) {
  std::uint64_t number = 0;
  const std::string& text = version.value;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return number;
}

bool isOlderVersion(const WeightsVersion& version, const WeightsVersion& wanted) {
  const auto number = versionNumber(version);
  const auto wantedNumber = versionNumber(wanted);
  if (number && wantedNumber) return *number < *wantedNumber;
  return version != wanted;
}

void WeightsHistory::setNewest(const WeightsVersion& weights, std::optional<Instant> confirmedAt) {
  if (weights == newest_) return;
  const WeightsVersion previous = std::exchange(newest_, weights);
  if (confirmedAt) recordNewestAt(previous, *confirmedAt);
}

void WeightsHistory::recordNewestAt(const WeightsVersion& weights, Instant at) {
  if (weights == newest_) return;
  const auto [row, isNew] = newestAt_.try_emplace(weights, at);
  if (!isNew) row->second = std::max(row->second, at);
  if (newestAt_.size() <= kMaxSupersededVersions) return;
  newestAt_.erase(
      std::min_element(newestAt_.begin(), newestAt_.end(),
                       [](const auto& a, const auto& b) { return a.second < b.second; }));
}

void WeightsHistory::forgetBefore(Instant before) {
  std::erase_if(newestAt_, [&](const auto& row) { return row.second < before; });
}

Instant WeightsHistory::usableUntil(const WeightsVersion& weights, Duration bound) const {
  // Called for each server at each placement. The version is nearly always the newest.
  if (weights == newest_ || !isOlderVersion(weights, newest_)) return Instant::max();
  // While an older version was the newest, this one was not yet superseded either.
  std::optional<Instant> newestAt;
  for (const auto& [version, at] : newestAt_) {
    if (version != WeightsVersion{} && isOlderVersion(weights, version)) continue;
    newestAt = newestAt ? std::max(*newestAt, at) : at;
  }
  return newestAt ? *newestAt + bound : Instant::min();
}

}  // namespace quayrill
