#include "agent/core/server_notes.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace quayrill {

using namespace std::chrono_literals;

namespace {
// The lease holder repeats the note every second during a switch. If the holder fails, its notes
// expire, so that the server isn't excluded for longer.
constexpr Duration kSwitchingValidity = 3s;
// For versions that can't be compared, a note takes precedence for this long. By then the list and
// the server's reports show the switch.
constexpr Duration kUncomparableValidity = 3s;
constexpr Duration kRetention = 10s;
}  // namespace

void ServerNotes::onNote(const ServerNote& note, Instant now) {
  lastActivity_[note.model] = now;
  Row& row = rows_[note.server];
  if (std::tie(row.note.fence, row.note.sequence) >= std::tie(note.fence, note.sequence)) return;
  if (row.note.identity != note.identity) row = {};
  row.note = note;
  row.receivedAt = now;
  if (note.weights == WeightsVersion{}) return;
  row.reached = note.weights;
  row.reachedAt = now;
}

ServerWeightsState ServerNotes::overlay(const ServerName& server, const ServerIdentity& identity,
                                        const WeightsVersion& shown, Instant now) const {
  const auto entry = rows_.find(server);
  if (entry == rows_.end() || entry->second.note.identity != identity) return {shown, false};
  const Row& row = entry->second;
  const bool isReachedNewer = row.reached != WeightsVersion{} && isOlderVersion(shown, row.reached);
  const bool isComparable = versionNumber(row.reached) && versionNumber(shown);
  const bool usesReached =
      isReachedNewer && (isComparable || now - row.reachedAt < kUncomparableValidity);
  return {usesReached ? row.reached : shown,
          row.note.switching && now - row.receivedAt < kSwitchingValidity};
}

void ServerNotes::forgetUnlisted(const std::vector<ListedServer>& rows, Instant now) {
  std::set<ServerName> listed;
  for (const ListedServer& row : rows) listed.insert(row.name);
  std::erase_if(rows_, [&](const auto& row) {
    return !listed.contains(row.first) && now - row.second.receivedAt > kRetention;
  });
}

std::optional<Instant> ServerNotes::lastActivity(const ModelName& model) const {
  const auto activity = lastActivity_.find(model);
  if (activity == lastActivity_.end()) return std::nullopt;
  return activity->second;
}

}  // namespace quayrill
