#include "agent/view.h"

namespace quayrill {

ProxyView nextView(const ProxyView& before, const Snapshot& told, Instant askedAt,
                   const std::function<absl::StatusOr<Spec>(const std::string&)>& readSpec) {
  ProxyView next = before;
  const auto since = [&](std::int64_t agoMicros) {
    return agoMicros < 0 ? Instant{} : askedAt - std::chrono::microseconds(agoMicros);
  };
  if (told.specVersion != before.specVersion && !told.specBody.empty()) {
    auto parsed = readSpec(told.specBody);
    if (parsed.ok()) {
      next.spec = std::make_shared<const Spec>(std::move(*parsed));
      next.specVersion = told.specVersion;
    }
  }
  if (next.specVersion == told.specVersion) next.confirmedAt = since(told.confirmedAgoMicros);
  next.listedAt = since(told.listedAgoMicros);
  next.servers.clear();
  for (const SnapshotServer& row : told.servers) next.servers.push_back(fromSnapshot(row, askedAt));
  next.weightsNamedAt.clear();
  for (const auto& [model, agoMicros] : told.weightsNamedAgoMicros)
    next.weightsNamedAt[model] = askedAt - std::chrono::microseconds(agoMicros);
  return next;
}

}  // namespace quayrill
