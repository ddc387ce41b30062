#include "agent/view.h"

namespace quayrill {

ProxyView nextView(
    const ProxyView& before, const Snapshot& told, Instant askedAt,
    const std::function<absl::StatusOr<Configuration>(const std::string&)>& readConfiguration) {
  ProxyView next = before;
  const auto since = [&](std::int64_t ageMicros) {
    return ageMicros < 0 ? Instant{} : askedAt - std::chrono::microseconds(ageMicros);
  };
  if (told.configurationVersion != before.configurationVersion && !told.configurationBody.empty()) {
    auto parsed = readConfiguration(told.configurationBody);
    if (parsed.ok()) {
      next.configuration = std::make_shared<const Configuration>(std::move(*parsed));
      next.configurationVersion = told.configurationVersion;
    }
  }
  if (next.configurationVersion == told.configurationVersion)
    next.confirmedAt = since(told.confirmedAgoMicros);
  next.listedAt = since(told.listedAgoMicros);
  next.servers.clear();
  for (const SnapshotServer& row : told.servers) next.servers.push_back(fromSnapshot(row, askedAt));
  next.eventSources = {told.eventSources.begin(), told.eventSources.end()};
  next.weights = {};
  if (next.configuration) next.weights.onConfiguration(next.configuration->weights, std::nullopt);
  next.weights.merge(told.superseded, askedAt);
  return next;
}

}  // namespace quayrill
