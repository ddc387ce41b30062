#pragma once
// Every detail of the model servers' wire, in one place: it may change.
#include <optional>

#include "net/http.h"
#include "peers/messages.h"
#include "placement/placement.h"

namespace quayrill {

namespace wire {
inline constexpr char kGenerate[] = "/generate";
inline constexpr char kRequestId[] = "Quayrill-Request-Id";
inline constexpr char kWeights[] = "Quayrill-Weights";
inline constexpr char kSalt[] = "Quayrill-Cache-Salt";
inline constexpr char kPrefix[] = "Quayrill-Prompt-Prefix";
inline constexpr char kModel[] = "Quayrill-Model";
// In an answer other than 200: the server vouches that it did not run the request.
inline constexpr char kNotRun[] = "Quayrill-Not-Run";
}  // namespace wire

// GET /burden. Name, zone and leaving come from the platform's list, not from here.
awaitable<absl::StatusOr<ServerState>> readServer(Address server, Span timeout);

// POST /weights: switch to `weights`. Servers turn away orders with a fence below the highest seen.
awaitable<absl::Status> orderWeights(Address server, Address from, WeightsVersion weights,
                                     Fence fence, Span timeout);

// GET /kv-events?since=N
struct CacheEvents {
  ServerIdentity identity;
  std::uint64_t first = 0, next = 0;
  std::vector<CacheEvent> events;
};
awaitable<absl::StatusOr<CacheEvents>> readCacheEvents(Address server, std::uint64_t since,
                                                       Span timeout);

// POST /kv-pull: have `server` pull the first `tokens` of a prefix from a peer or the store.
// Neither end checks weights, so no more may be asked for than was seen to be there under these.
awaitable<absl::Status> pullPrefix(Address server, Address source, ModelName model, CacheSalt salt,
                                   WeightsVersion weights, PromptPrefix prefix, std::size_t tokens,
                                   Span timeout);
// POST /kv-drop: forget what was pulled under this prefix.
awaitable<absl::Status> dropPrefix(Address server, CacheSalt salt, PromptPrefix prefix,
                                   Span timeout);

// True for a stream's last line, the server's own end mark. `pieces` is what it says it sent.
bool isEndMark(const std::string& line, std::uint64_t* pieces);

// GET /servers of the platform, from this machine's own address.
awaitable<absl::StatusOr<std::vector<ListRow>>> readPlatformList(Address platform, Address from,
                                                                 Span timeout);

// GET /kept of the store: how many tokens of the prefix it keeps under that salt and weights.
awaitable<absl::StatusOr<std::size_t>> readStoredPrefixTokens(Address store, Address from,
                                                              ModelName model, CacheSalt salt,
                                                              WeightsVersion weights,
                                                              PromptPrefix prefix, Span timeout);

}  // namespace quayrill
