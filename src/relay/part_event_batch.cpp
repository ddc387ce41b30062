#include "relay/part_event_batch.h"

#include <algorithm>
#include <tuple>

namespace quayrill {

void truncateToNewest(PartEvents* told) {
  auto& events = told->events;
  if (events.size() <= kMaxSharedEvents) return;
  const auto surplus = static_cast<std::ptrdiff_t>(events.size() - kMaxSharedEvents);
  told->first = events[events.size() - kMaxSharedEvents - 1].position;
  told->hasGap = false;
  events.erase(events.begin(), events.begin() + surplus);
}

PartEventBatch toBatch(const ServerName& source, const PartEvents& told) {
  PartEventBatch batch{source, true, told.incarnation, told.first, told.next, told.hasGap, {}};
  std::map<std::tuple<CacheSalt, ModelName>, PartEventGroup> groups;
  for (const PartEvent& event : told.events) {
    PartEventGroup& group = groups[{event.salt, event.model}];
    group.salt = event.salt;
    group.model = event.model;
    group.rows.push_back({event.position, event.isAdded, event.part, event.tokens});
  }
  for (auto& [key, group] : groups) batch.groups.push_back(std::move(group));
  return batch;
}

PartEvents fromBatch(const PartEventBatch& batch) {
  PartEvents told{batch.life, batch.first, batch.next, batch.hasGap, {}};
  for (const PartEventGroup& group : batch.groups) {
    for (const PartEventRow& row : group.rows)
      told.events.push_back(
          {row.position, row.isAdded, group.salt, row.part, row.tokens, group.model});
  }
  std::stable_sort(
      told.events.begin(), told.events.end(),
      [](const PartEvent& left, const PartEvent& right) { return left.position < right.position; });
  return told;
}

}  // namespace quayrill
