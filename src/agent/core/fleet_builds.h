#pragma once
// Which build each daemon of the fleet is, asked for when an operator wants to know.
#include <map>
#include <optional>
#include <vector>

#include "agent/core/gossip.h"
#include "peers/messages.h"

namespace quayrill {

// Asks the live daemons and keeps the last answer of each. A daemon from before these messages
// never answers.
class FleetBuilds {
 public:
  FleetBuilds(Address self, std::string ownBuild);
  // Asks all of `live` and forgets the answers of daemons that are not among them.
  void ask(const std::vector<GossipItem>& live, Instant now, std::vector<Envelope>* sends);
  void onRequest(const Address& from, std::vector<Envelope>* sends) const;
  void onResponse(const Address& from, const BuildResponse& response, Instant now);
  // The build of a daemon that answered at `since` or later.
  std::optional<std::string> buildOf(const Address& daemon, Instant since) const;

 private:
  struct Answer {
    std::string build;
    Instant receivedAt{};
  };
  Address self_;
  std::string ownBuild_;
  std::map<Address, Answer> answers_;
};

}  // namespace quayrill
