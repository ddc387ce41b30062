#pragma once
// Client for the HTTP protocol of model servers, the platform's server list and the store. All
// details of these protocols are kept here.
#include <optional>

#include "net/http.h"
#include "peers/messages.h"
#include "placement/placement.h"

namespace quayrill {

// Path and header names of a request for a model.
namespace wire {
inline constexpr char kGenerate[] = "/generate";
inline constexpr char kRequestId[] = "Quayrill-Request-Id";
inline constexpr char kWeights[] = "Quayrill-Weights";
inline constexpr char kSalt[] = "Quayrill-Cache-Salt";
inline constexpr char kPrefix[] = "Quayrill-Prompt-Prefix";
inline constexpr char kModel[] = "Quayrill-Model";
// In an answer other than 200: the server guarantees that it did not run the request.
inline constexpr char kNotRun[] = "Quayrill-Not-Run";
}  // namespace wire

// GET /burden: reads a server's identity, weights and load. Zone and leaving are not included; they
// come from the platform's list.
awaitable<absl::StatusOr<ServerState>> readServer(Address server, Duration timeout);

// POST /weights: orders the server to switch to `weights`. Servers reject orders with a fence below
// the highest one they have seen.
awaitable<absl::Status> orderWeights(Address server, Address from, WeightsVersion weights,
                                     FencingToken fence, Duration timeout);

// A page of a server's cache events. `first` is above the requested position if earlier events are
// no longer available; `next` is the position to continue from.
struct CacheEvents {
  ServerIdentity identity;
  std::uint64_t first = 0, next = 0;
  std::vector<CacheEvent> events;
};
// GET /kv-events?since=N
awaitable<absl::StatusOr<CacheEvents>> readCacheEvents(Address server, std::uint64_t since,
                                                       Duration timeout);

// POST /kv-pull: makes `server` pull the first `tokens` tokens of a prefix from another server or
// the store. Neither side checks the weights, so the caller must request no more tokens than the
// source was seen to hold under these weights.
awaitable<absl::Status> pullPrefix(Address server, Address source, ModelName model, CacheSalt salt,
                                   WeightsVersion weights, PromptPrefix prefix, std::size_t tokens,
                                   Duration timeout);
// POST /kv-drop: makes the server discard what it pulled under this prefix.
awaitable<absl::Status> dropPrefix(Address server, CacheSalt salt, PromptPrefix prefix,
                                   Duration timeout);

// Returns true for a stream's last line, the server's end mark. Sets `pieces` to the number of
// pieces that the server says it sent.
bool isEndMark(const std::string& line, std::uint64_t* pieces);

// GET /servers of the platform, called from the address `from`.
awaitable<absl::StatusOr<std::vector<ListedServer>>> readPlatformList(Address platform,
                                                                      Address from,
                                                                      Duration timeout);

// POST /kept of the store: returns how many tokens of the prefix it holds under this salt and these
// weights.
awaitable<absl::StatusOr<std::size_t>> readStoredPrefixTokens(Address store, Address from,
                                                              ModelName model, CacheSalt salt,
                                                              WeightsVersion weights,
                                                              PromptPrefix prefix,
                                                              Duration timeout);

}  // namespace quayrill
