#include "agent/view.h"

#include <algorithm>

namespace quayrill {

using namespace std::chrono_literals;

namespace {
// Without a snapshot for this long, the agent may have learned of something newer since.
constexpr Duration kSnapshotMaxAge = 1s;

// `isolatedSince` of the view that follows `before` with this configuration. A tenant that was not
// isolated in `before` has become so after that was last confirmed.
std::map<TenantName, Instant> isolationTimes(const ProxyView& before,
                                             const Configuration& configuration) {
  std::map<TenantName, Instant> times;
  for (const auto& [name, tenant] : configuration.tenants) {
    if (!tenant.isolated) continue;
    const auto known = before.isolatedSince.find(name);
    times[name] = known != before.isolatedSince.end() ? known->second : before.confirmedAt;
  }
  return times;
}
}  // namespace

Instant ProxyView::scopeUsableUntil(const Configuration& sentUnder, const TenantName& tenant,
                                    Duration bound) const {
  if (!configuration || sentUnder.sharedScope == configuration->sharedScope ||
      isIsolated(sentUnder, tenant))
    return Instant::max();
  Instant earliest = Instant::max();
  for (const auto& [name, since] : isolatedSince) {
    if (!isIsolated(sentUnder, name)) earliest = std::min(earliest, since);
  }
  return earliest == Instant::max() ? earliest : earliest + bound;
}

bool ProxyView::isUsable(Instant now, const StalenessLimits& limits) const {
  if (!configuration) return false;
  const bool isOutOfTouch = registerSilent && now - updatedAt < kSnapshotMaxAge;
  const Duration limit =
      isOutOfTouch ? limits.outOfTouch : std::min(limits.inTouch, limits.outOfTouch);
  return now - confirmedAt < limit;
}

std::shared_ptr<const Configuration> readConfigurationOf(
    const Snapshot& snapshot, const ProxyView& before,
    const std::function<absl::StatusOr<Configuration>(const std::string&)>& read) {
  if (snapshot.configurationVersion == before.configurationVersion ||
      snapshot.configurationBody.empty())
    return nullptr;
  auto parsed = read(snapshot.configurationBody);
  return parsed.ok() ? std::make_shared<const Configuration>(std::move(*parsed)) : nullptr;
}

ProxyView nextView(const ProxyView& before, const Snapshot& snapshot, Instant requestedAt,
                   std::shared_ptr<const Configuration> configuration) {
  ProxyView next = before;
  const auto since = [&](std::int64_t ageMicros) {
    return ageMicros < 0 ? Instant{} : requestedAt - std::chrono::microseconds(ageMicros);
  };
  if (configuration) {
    next.isolatedSince = isolationTimes(before, *configuration);
    next.configuration = std::move(configuration);
    next.configurationVersion = snapshot.configurationVersion;
  }
  if (next.configurationVersion == snapshot.configurationVersion)
    next.confirmedAt = since(snapshot.confirmedAgoMicros);
  next.listedAt = since(snapshot.listedAgoMicros);
  next.updatedAt = requestedAt;
  next.registerSilent = snapshot.registerSilent;
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
