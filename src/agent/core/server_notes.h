#pragma once
// What those who order weights have learned of servers and told at once, laid over a list that
// shows it later.
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/weights_version.h"
#include "peers/messages.h"

namespace quayrill {

struct ServerWeightsState {
  WeightsVersion weights;
  bool switching = false;  // it takes nothing until its weights are there
};

class ServerNotes {
 public:
  void onNote(const ServerNote& note, Instant now);
  // `shown` is what the server's own list row or report says, which may be older than a note.
  ServerWeightsState overlay(const ServerName& server, const ServerIdentity& identity,
                             const WeightsVersion& shown, Instant now) const;
  // Forgets servers that are gone; notes of a life that the list does not show are kept a while.
  void forgetUnlisted(const std::vector<ListRow>& rows, Instant now);
  // The last sign of somebody who orders this model's weights; nullopt: none yet.
  std::optional<Instant> lastActivity(const ModelName& model) const;

 private:
  // The newest note of a server by (fence, sequence): a holder's later one, or a later holder's.
  // `reached` is of the same life, from the newest note that told weights.
  struct Row {
    ServerNote note;
    Instant at;
    WeightsVersion reached;
    Instant reachedAt;
  };
  std::map<ServerName, Row> rows_;
  std::map<ModelName, Instant> signs_;
};

}  // namespace quayrill
