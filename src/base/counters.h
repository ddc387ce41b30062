#pragma once
// Metrics of one process, exported as Prometheus counters. Events that recur per request are
// counted here; the log has lines only for changes of state.
#include <atomic>
#include <cstdint>
#include <string>

namespace quayrill {

// field, name in the metrics (with the prefix quayrill_), help text
#define QUAYRILL_COUNTERS(X)                                                                      \
  X(requests, "requests", "requests read")                                                        \
  X(completed, "done", "answers finished with the server's end mark")                             \
  X(rejected, "turnedAway", "requests turned away, certain never to run")                         \
  X(outcomeUnknown, "unknown", "requests whose outcome is unknown")                               \
  X(truncated, "cut", "answers cut after their first piece")                                      \
  X(badInput, "badInput", "requests with bad input or a bad key")                                 \
  X(callerDisconnected, "callerGone", "callers who left before the end")                          \
  X(retries, "extraTries", "sends beyond a request's first")                                      \
  X(startsRevoked, "startsRevoked",                                                               \
    "attempts ended before their start because a tenant became isolated while they waited")       \
  X(unconfirmed, "unconfirmed",                                                                   \
    "requests turned away because the configuration or the server list was unconfirmed")          \
  X(fetches, "fetches", "prefixes fetched from a peer or the store")                              \
  X(fetchErrors, "fetchErrors", "fetches that failed or were dropped by the check after them")    \
  X(promptTokens, "promptTokens", "tokens of whole blocks in placed prompts")                     \
  X(matchedTokens, "matchedTokens", "of these, tokens believed held where the prompt was placed") \
  X(answerReads, "answerReads", "reads of servers' answers")                                      \
  X(answerBytes, "answerBytes", "bytes of servers' answers behind their heads")                   \
  X(answerBytesPeak, "answerBytesPeak", "the most bytes of servers' answers held at once")        \
  X(eventGaps, "eventGaps", "gaps met in cache events")                                           \
  X(eventBatches, "eventBatches", "readings of cache events, own and told")                       \
  X(fleetDigests, "fleetDigests", "words of what all data planes have at servers")                \
  X(configurationChanges, "configurationChanges", "configuration versions taken in force")        \
  X(listCalls, "listCalls", "calls to the platform for its list of servers")                      \
  X(weightOrders, "weightOrders", "weight orders sent to servers")                                \
  X(diskErrors, "diskErrors", "write errors of the data folder")                                  \
  X(dataFoldersSetAside, "dataFoldersSetAside", "damaged replicas set aside at a start")          \
  X(logLinesDropped, "logLinesDropped", "log lines dropped because nobody read them")             \
  X(exceptions, "exceptions", "exceptions that ended a coroutine or a handler")                   \
  X(lateControlTurns, "lateControlTurns",                                                         \
    "turns of the control thread that came over half a second late")

// Fields may be incremented from any thread.
struct Counters {
#define QUAYRILL_COUNTER(field, name, help) std::atomic<std::uint64_t> field{0};
  QUAYRILL_COUNTERS(QUAYRILL_COUNTER)
#undef QUAYRILL_COUNTER
};

// All counters in the Prometheus text format.
std::string renderCounters(const Counters& counters);

}  // namespace quayrill
