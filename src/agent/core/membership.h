#pragma once
// Who to talk to: a small partial view that is shuffled between neighbours and probed, directly
// and through others.
#include <map>
#include <random>
#include <vector>

#include "base/clock.h"
#include "peers/messages.h"

namespace quayrill {

class Membership {
 public:
  Membership(Address self, std::vector<Address> seeds, std::uint64_t seed);

  void onTick(Instant now, std::vector<Envelope>* sends);
  void onMessage(const Envelope& envelope, Instant now, std::vector<Envelope>* sends);
  // Known from elsewhere: where the view is empty and no seed may live, these are tried.
  void introduce(const Address& member);
  // Other seeds stand in the settings now. Neighbours stay; the new seeds are asked next.
  void setSeeds(std::vector<Address> seeds);
  std::vector<Address> view() const;
  Address randomNeighbour();

 private:
  struct PendingProbe {
    Address subject;
    Instant indirectAt;
    Instant due;
    bool indirectSent = false;
  };
  struct RelayedProbe {
    Address asker;
    std::uint64_t askerSequence = 0;
    Instant due;
  };
  void learn(const Address& address, std::uint32_t age);
  void drop(const Address& address);
  std::vector<ViewEntry> sample(std::size_t count);

  Address self_;
  std::vector<Address> seeds_;
  std::mt19937_64 random_;
  std::vector<ViewEntry> view_;  // never self, no address twice, at most kViewSize
  std::map<std::uint64_t, PendingProbe> probes_;
  std::map<std::uint64_t, RelayedProbe> relays_;
  std::uint64_t sequence_ = 0;
  Instant nextShuffle_{}, nextProbe_{}, nextSeedShuffle_{};
};

}  // namespace quayrill
