#pragma once
// Peer sampling and failure detection: a small partial view of the fleet that neighbours shuffle
// between them, with probes that are sent directly and through other members.
#include <map>
#include <random>
#include <vector>

#include "base/clock.h"
#include "peers/messages.h"

namespace quayrill {

// The partial view of one daemon. A state machine: messages to send are appended to `sends`.
class Membership {
 public:
  Membership(Address self, std::vector<Address> seeds, std::uint64_t seed);

  void onTick(Instant now, std::vector<Envelope>* sends);
  void onMessage(const Envelope& envelope, Instant now, std::vector<Envelope>* sends);
  // Adds a member known from elsewhere if the view is less than half full, as it can get empty
  // while no seed is alive.
  void introduce(const Address& member);
  // Replaces the seeds after a change of the settings. The view is kept; the next shuffle with a
  // seed goes to one of the new ones.
  void setSeeds(std::vector<Address> seeds);
  std::vector<Address> view() const;
  Address randomNeighbour();

 private:
  // A probe that waits for its answer. At `indirectAt` it is also sent through other members, and
  // at the deadline the subject is dropped from the view.
  struct PendingProbe {
    Address subject;
    Instant indirectAt;
    Instant deadline;
    bool indirectSent = false;
  };
  // A probe that was forwarded for another member.
  struct RelayedProbe {
    Address requester;
    std::uint64_t requesterSequence = 0;
    Instant deadline;
  };
  void learn(const Address& address, std::uint32_t age);
  void drop(const Address& address);
  std::vector<ViewEntry> sample(std::size_t count);

  Address self_;
  std::vector<Address> seeds_;
  std::mt19937_64 random_;
  std::vector<ViewEntry> view_;  // without self and duplicates, at most kViewSize
  std::map<std::uint64_t, PendingProbe> probes_;
  std::map<std::uint64_t, RelayedProbe> relays_;
  std::uint64_t sequence_ = 0;
  Instant nextShuffle_{}, nextProbe_{}, nextSeedShuffle_{};
};

}  // namespace quayrill
