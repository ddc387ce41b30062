#include "relay/part_event_batch.h"

#include <algorithm>
#include <tuple>

namespace quayrill {

void truncateToNewest(PartEvents* partEvents) {
  auto& events = partEvents->events;
  if (events.size() <= kMaxSharedEvents) return;
  const auto surplus = static_cast<std::ptrdiff_t>(events.size() - kMaxSharedEvents);
  partEvents->first = events[events.size() - kMaxSharedEvents - 1].position;
  partEvents->hasGap = false;
  events.erase(events.begin(), events.begin() + surplus);
}

PartEventBatch toBatch(const ServerName& source, const PartEvents& partEvents) {
  PartEventBatch batch{
      source, true, partEvents.incarnation, partEvents.first, partEvents.next, partEvents.hasGap,
      {}};
  std::map<std::tuple<CacheSalt, ModelName>, PartEventGroup> groups;
  for (const PartEvent& event : partEvents.events) {
    PartEventGroup& group = groups[{event.salt, event.model}];
    group.salt = event.salt;
    group.model = event.model;
    group.rows.push_back({event.position, event.isAdded, event.part, event.tokens});
  }
  for (auto& [key, group] : groups) batch.groups.push_back(std::move(group));
  return batch;
}

PartEvents fromBatch(const PartEventBatch& batch) {
  PartEvents partEvents{batch.sourceIncarnation, batch.first, batch.next, batch.hasGap, {}};
  for (const PartEventGroup& group : batch.groups) {
    for (const PartEventRow& row : group.rows)
      partEvents.events.push_back(
          {row.position, row.isAdded, group.salt, row.part, row.tokens, group.model});
  }
  std::stable_sort(
      partEvents.events.begin(), partEvents.events.end(),
      [](const PartEvent& left, const PartEvent& right) { return left.position < right.position; });
  return partEvents;
}

}  // namespace quayrill
