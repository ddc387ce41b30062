#include "agent/core/server_notes.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace quayrill {

using namespace std::chrono_literals;

namespace {
// The holder says it again each second while it lasts, so a holder that is gone blocks no server.
constexpr Span kSwitchingSpan = 3s;
// Versions without an order: the list and the servers' own word show a switch within this.
constexpr Span kUnorderedSpan = 3s;
constexpr Span kKeepSpan = 10s;
}  // namespace

void ServerNotes::onNote(const ServerNote& note, Instant now) {
  signs_[note.model] = now;
  Row& row = rows_[note.server];
  if (std::tie(row.note.fence, row.note.sequence) >= std::tie(note.fence, note.sequence)) return;
  if (row.note.identity != note.identity) row = {};
  row.note = note;
  row.at = now;
  if (note.weights == WeightsVersion{}) return;
  row.reached = note.weights;
  row.reachedAt = now;
}

ServerWeightsState ServerNotes::overlay(const ServerName& server, const ServerIdentity& identity,
                                        const WeightsVersion& shown, Instant now) const {
  const auto entry = rows_.find(server);
  if (entry == rows_.end() || entry->second.note.identity != identity) return {shown, false};
  const Row& row = entry->second;
  const bool told = row.reached != WeightsVersion{} && isBehind(shown, row.reached);
  const bool numbered = numberOf(row.reached) && numberOf(shown);
  const bool newer = told && (numbered || now - row.reachedAt < kUnorderedSpan);
  return {newer ? row.reached : shown, row.note.switching && now - row.at < kSwitchingSpan};
}

void ServerNotes::forgetUnlisted(const std::vector<ListRow>& rows, Instant now) {
  std::set<ServerName> listed;
  for (const ListRow& row : rows) listed.insert(row.name);
  std::erase_if(rows_, [&](const auto& row) {
    return !listed.contains(row.first) && now - row.second.at > kKeepSpan;
  });
}

std::optional<Instant> ServerNotes::lastActivity(const ModelName& model) const {
  const auto sign = signs_.find(model);
  if (sign == signs_.end()) return std::nullopt;
  return sign->second;
}

}  // namespace quayrill
