#include "agent/view.h"

namespace quayrill {

ProxyView nextView(
    const ProxyView& before, const Snapshot& snapshot, Instant requestedAt,
    const std::function<absl::StatusOr<Configuration>(const std::string&)>& readConfiguration) {
  ProxyView next = before;
  const auto since = [&](std::int64_t ageMicros) {
    return ageMicros < 0 ? Instant{} : requestedAt - std::chrono::microseconds(ageMicros);
  };
  if (snapshot.configurationVersion != before.configurationVersion &&
      !snapshot.configurationBody.empty()) {
    auto parsed = readConfiguration(snapshot.configurationBody);
    if (parsed.ok()) {
      next.configuration = std::make_shared<const Configuration>(std::move(*parsed));
      next.configurationVersion = snapshot.configurationVersion;
    }
  }
  if (next.configurationVersion == snapshot.configurationVersion)
    next.confirmedAt = since(snapshot.confirmedAgoMicros);
  next.listedAt = since(snapshot.listedAgoMicros);
  next.servers.clear();
  for (const SnapshotServer& row : snapshot.servers)
    next.servers.push_back(fromSnapshot(row, requestedAt));
  next.eventSources = {snapshot.eventSources.begin(), snapshot.eventSources.end()};
  next.weights = {};
  if (next.configuration) next.weights.onConfiguration(next.configuration->weights, std::nullopt);
  next.weights.merge(snapshot.superseded, requestedAt);
  return next;
}

}  // namespace quayrill
