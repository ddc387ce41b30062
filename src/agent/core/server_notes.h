#pragma once
// Notes about servers from the daemons that order weights. They are sent at once and complement the
// server list, which shows the same changes later.
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/weights_version.h"
#include "peers/messages.h"

namespace quayrill {

// A server's weights as far as they are known from the list and the notes.
struct ServerWeightsState {
  WeightsVersion weights;
  bool switching = false;  // the server takes no requests until its new weights are loaded
};

// The newest note about each server.
class ServerNotes {
 public:
  // Takes a note unless a newer one about the server is known.
  void onNote(const ServerNote& note, Instant now);
  // Combines `shown`, the version in the server's list row or report, with the newest note about
  // the server, which may be more recent.
  ServerWeightsState overlay(const ServerName& server, const ServerIdentity& identity,
                             const WeightsVersion& shown, Instant now) const;
  // Forgets servers that aren't listed; their notes are kept for a while, as a server may not be
  // listed yet.
  void forgetUnlisted(const std::vector<ListedServer>& rows, Instant now);
  // When the last note about a server of this model arrived; nullopt: none yet.
  std::optional<Instant> lastActivity(const ModelName& model) const;

 private:
  // The newest note about a server by (fence, sequence): the latest one of the latest lease holder.
  // `reached` comes from the newest note with weights about the same server process.
  struct Row {
    ServerNote note;
    Instant receivedAt;
    WeightsVersion reached;
    Instant reachedAt;
  };
  std::map<ServerName, Row> rows_;
  std::map<ModelName, Instant> lastActivity_;
};

}  // namespace quayrill
