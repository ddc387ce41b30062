#pragma once
// Gossip of each daemon's own state. Daemons pull newer items from each other by version vector. A
// daemon counts as live while the version of its item keeps increasing, on the receiver's clock.
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "peers/messages.h"

namespace quayrill {

// The items known to one daemon, with its own.
class Gossip {
 public:
  Gossip(Address self, std::uint64_t nonce);

  // Sets all fields of this daemon's own item except its source, nonce and version, which this
  // class maintains.
  void setOwnState(const GossipItem& item);
  // Increments the version of the own item, and forgets items that have not changed for long.
  void advanceHeartbeat(Instant now);
  // A request to another daemon for all items newer than the ones known here.
  GossipRequest makeRequest() const;
  GossipResponse answerRequest(const GossipRequest& ask);
  // Takes the items that are newer than the known ones.
  void onAnswer(const GossipResponse& answer, Instant now);

  std::vector<GossipItem> live(Instant now) const;  // sorted by address, always includes self
  bool isLive(const Address& source, Instant now) const;
  std::optional<GossipItem> item(const Address& source) const;

 private:
  // The newest item of one source. Its version never decreases, whether the source is live or not,
  // so an old item that other daemons still pass around can't make a failed daemon look live.
  struct Row {
    GossipItem item;
    Instant advancedAt;
  };
  // If another run of this daemon published `version`, raises the own incarnation above it.
  void supersedeEarlierRun(const GossipVersion& version);

  Address self_;
  GossipItem own_;
  std::map<Address, Row> rows_;  // without self
};

}  // namespace quayrill
