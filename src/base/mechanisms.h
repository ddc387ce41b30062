#pragma once
// The optimizations that decide where requests go. Each one can be disabled by name on the command
// line, to measure what it contributes (an ablation).
#include <absl/status/statusor.h>

#include <bitset>
#include <string>

namespace quayrill {

// enumerator, name on the command line, behaviour when it is disabled (help text)
#define QUAYRILL_MECHANISMS(X)                                                                     \
  X(LongestMatch, "longest-match", "servers are chosen by load alone, whatever they have cached")  \
  X(PathLocks, "locks", "prompts of running streams may be evicted from the index")                \
  X(Events, "events", "no cache events are read from servers and the store")                       \
  X(SharedEvents, "shared-events", "each daemon reads the cache events of every server itself")    \
  X(SharedLoad, "shared-load", "a daemon counts only its own requests as a server's load")         \
  X(ExpectedPrefill, "expected-read", "servers are compared by requests, not tokens to prefill")   \
  X(HomeFetch, "home-fetch", "the prompt's home is a source only if it is known to hold more")     \
  X(PeerFetch, "peer-fetch", "no other server is named as a source of missing cache")              \
  X(StoreFetch, "store-fetch", "the store is not named as a source of missing cache")              \
  X(StoreWrite, "store-keep", "nothing is sent to the store")                                      \
  X(SpreadBound, "spread-bound", "a cache match counts however loaded its server is")              \
  X(PrefixHome, "prefix-home", "ties are broken at random instead of by the prompt's prefix")      \
  X(PreferNewestWeights, "newest-first", "newer weights are not preferred where no cache matches") \
  X(FailureAvoidance, "avoidance", "a server that failed is used again immediately")               \
  X(Urgency, "urgency", "requests carry no urgency for the server")                                \
  X(ConnectionReuse, "kept-connections", "each request opens a new connection to its server")      \
  X(Retries, "further-tries", "each request is tried at one server only")

// One enumerator for each row of the table.
enum class Mechanism {
#define QUAYRILL_MECHANISM(identifier, name, fallback) identifier,
  QUAYRILL_MECHANISMS(QUAYRILL_MECHANISM)
#undef QUAYRILL_MECHANISM
      Count
};

// A set of enabled mechanisms; initially all of them.
class Mechanisms {
 public:
  bool isEnabled(Mechanism mechanism) const {
    return !disabled_[static_cast<std::size_t>(mechanism)];
  }
  void disable(Mechanism mechanism) { disabled_.set(static_cast<std::size_t>(mechanism)); }
  // The names of the disabled ones, separated by commas.
  std::string disabledNames() const;
  bool operator==(const Mechanisms&) const = default;

 private:
  std::bitset<static_cast<std::size_t>(Mechanism::Count)> disabled_;
};

// All mechanisms except those named in `list`, which is separated by commas. An unknown name is an
// error that lists the valid ones.
absl::StatusOr<Mechanisms> parseDisabledMechanisms(const std::string& list);

// One line for each mechanism, for --help: its name and the behaviour when it is disabled.
std::string mechanismsHelp();

}  // namespace quayrill
