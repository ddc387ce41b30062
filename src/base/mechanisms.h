#pragma once
// The mechanisms that decide where requests go, each with a name, so that one can be switched off
// and its worth measured by what is lost without it.
#include <absl/status/statusor.h>

#include <bitset>
#include <string>

namespace quayrill {

// identifier, name on the command line, what is done without it
#define QUAYRILL_MECHANISMS(X)                                                                \
  X(LongestMatch, "longest-match", "a server is chosen by load alone")                        \
  X(Locks, "locks", "prompts of running streams may be evicted from the index")               \
  X(Events, "events", "servers and the store are not asked for cache events")                 \
  X(SharedEvents, "shared-events", "each daemon reads the events of every server")            \
  X(SharedLoad, "shared-load", "a daemon counts only its own requests as a server's load")    \
  X(ExpectedRead, "expected-read", "servers are compared by requests, not by tokens to read") \
  X(HomeFetch, "home-fetch", "the prompt's home is no source unless it is seen to hold more") \
  X(PeerFetch, "peer-fetch", "no server is named as the source of missing cache")             \
  X(StoreFetch, "store-fetch", "the store is not named as the source of missing cache")       \
  X(StoreKeep, "store-keep", "nothing is sent to the store")                                  \
  X(SpreadBound, "spread-bound", "a match counts however loaded its server is")               \
  X(PrefixHome, "prefix-home", "ties are broken at random instead of by the prompt's prefix") \
  X(NewestFirst, "newest-first", "weights don't count where no cache matches")                \
  X(Avoidance, "avoidance", "a server that failed is used again at once")                     \
  X(Urgency, "urgency", "servers are told no urgency")                                        \
  X(KeptConnections, "kept-connections", "each request opens a connection to its server")     \
  X(FurtherTries, "further-tries", "a request is sent to one server only")

enum class Mechanism {
#define QUAYRILL_MECHANISM(identifier, name, without) identifier,
  QUAYRILL_MECHANISMS(QUAYRILL_MECHANISM)
#undef QUAYRILL_MECHANISM
      Count
};

// The mechanisms that are on. All of them at first.
class Mechanisms {
 public:
  bool isEnabled(Mechanism mechanism) const { return !off_[static_cast<std::size_t>(mechanism)]; }
  void disable(Mechanism mechanism) { off_.set(static_cast<std::size_t>(mechanism)); }
  // The names of those that are off, split by commas; "" where all are on.
  std::string disabledNames() const;
  bool operator==(const Mechanisms&) const = default;

 private:
  std::bitset<static_cast<std::size_t>(Mechanism::Count)> off_;
};

// All but those that `list` names, split by commas. The error of an unknown name says which exist.
absl::StatusOr<Mechanisms> parseDisabledMechanisms(const std::string& list);

// One line for each mechanism, for --help: its name, and what is done without it.
std::string mechanismsHelp();

}  // namespace quayrill
