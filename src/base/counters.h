#pragma once
// Counters come first; lines are logged only for changes of state.
#include <atomic>
#include <cstdint>
#include <string>

namespace quayrill {

#define QUAYRILL_COUNTERS(X)                                                             \
  X(requests, "requests read")                                                           \
  X(done, "answers finished with the server's end mark")                                 \
  X(turnedAway, "requests turned away, certain never to run")                            \
  X(unknown, "requests whose outcome is unknown")                                        \
  X(cut, "answers cut after their first piece")                                          \
  X(badInput, "requests with bad input or a bad key")                                    \
  X(callerGone, "callers who left before the end")                                       \
  X(extraTries, "sends beyond a request's first")                                        \
  X(unconfirmed,                                                                         \
    "requests turned away because the configuration or the server list was unconfirmed") \
  X(fetches, "prefixes fetched from a peer or the store")                                \
  X(fetchErrors, "fetches that failed or were dropped by the check after them")          \
  X(promptTokens, "tokens of whole blocks in placed prompts")                            \
  X(matchedTokens, "of these, tokens believed held where the prompt was placed")         \
  X(eventGaps, "gaps met in cache events")                                               \
  X(eventBatches, "readings of cache events, own and told")                              \
  X(fleetDigests, "words of what all data planes have at servers")                       \
  X(configurationChanges, "configuration versions taken in force")                       \
  X(listCalls, "calls to the platform for its list of servers")                          \
  X(weightOrders, "weight orders sent to servers")                                       \
  X(diskErrors, "write errors of the data folder")

struct Counters {
#define QUAYRILL_COUNTER(name, help) std::atomic<std::uint64_t> name{0};
  QUAYRILL_COUNTERS(QUAYRILL_COUNTER)
#undef QUAYRILL_COUNTER
};

std::string renderCounters(const Counters& counters);

}  // namespace quayrill
