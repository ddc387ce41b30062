#pragma once
// A stand-in model server: implements the HTTP protocol of model servers, simulates a cache of
// prompt blocks, and records in the ledger what it ran.
#include <deque>
#include <list>
#include <memory>
#include <unordered_map>

#include "fleet/endless_answer.h"
#include "fleet/ledger.h"
#include "net/http.h"
#include "placement/prefix.h"

namespace quayrill::fleet {

// Capacity and speed of a stand-in server.
struct StandInServerSettings {
  Address address;
  std::string zone, model = "till", weights = "w0";
  std::size_t slots = 8, queueLimit = 24;
  std::size_t cacheTokens = 40000, blockTokens = 16;
  std::chrono::microseconds prefillPerToken{25}, fetchPerToken{4};
  std::chrono::milliseconds pieceInterval{4}, loadDuration{800};
  Address store;
};

// Faults that a run can inject. repeatPiece violates the protocol, to show that the checker detects
// it.
struct StandInServerFaults {
  bool dropMidStream = false;            // closes after some pieces
  bool dropBeforeFirst = false;          // runs the request, then closes without an answer
  bool repeatPiece = false;              // sends one piece twice
  std::optional<EndlessForm> endless{};  // answers in this form
  unsigned endlessStatus = 200;
  bool silent = false;         // accepts connections but answers nothing
  bool frozen = false;         // stops at any point of its work and keeps connections open
  bool eventsLate = false;     // withholds the newest cache events
  bool eventsLost = false;     // discards the older half of the retained events at each read
  bool eventsDoubled = false;  // delivers events twice and in reverse order
};

using BlockHash = std::uint64_t;
// The hashes of a prefix's blocks under a salt, each chained to the one before. Computed
// independently of the daemons.
std::vector<BlockHash> blockChainOf(const std::string& salt, const PromptPrefix& prefix,
                                    std::size_t blockTokens);

// A model server that can crash and restart. Runs on the single thread of `io`.
class StandInServer {
 public:
  StandInServer(asio::io_context& io, StandInServerSettings settings, Ledger& ledger);
  absl::Status start();
  void crash();    // drops the listener and all connections, and loses all state
  void restart();  // starts again with an empty cache and a new identity
  void setFaults(const StandInServerFaults& faults) { faults_ = faults; }
  void slowLinks(bool slow) { slowLinks_ = slow; }
  const std::string& weights() const { return weights_; }
  bool isUp() const { return !down_; }
  bool isBusy() const { return running_ + queued_ > 0; }
  const StandInServerSettings& settings() const { return settings_; }

 private:
  struct Block {
    std::string weights, salt;
    std::shared_ptr<const PromptPrefix> prefix;  // the block is number `index` of this prefix
    std::size_t index = 0;
    std::list<BlockHash>::iterator lruPosition;
  };
  awaitable<std::optional<HttpResponse>> handle(Connection& connection, HttpRequest& request);
  awaitable<std::optional<HttpResponse>> generate(Connection& connection, HttpRequest& request);
  // POST /kv-pull: fetches blocks from another server or the store.
  awaitable<HttpResponse> handlePull(HttpRequest& request);
  // Switches to the weights after the load duration, unless the server crashes before.
  awaitable<void> loadWeights(std::string weights, std::uint64_t incarnation);
  // Sends a prefix to the store.
  awaitable<void> storePrefix(std::string salt, std::string weights, std::string prefix);
  HttpResponse reportLoad();  // /burden
  HttpResponse handleCacheEvents(std::uint64_t since);
  awaitable<HttpResponse> handleWeightsOrder(HttpRequest& request, Address from);
  HttpResponse handleDrop(HttpRequest& request);
  HttpResponse handleRead(HttpRequest& request);  // /kv-read: the weights of the blocks held
  // Counts the leading blocks of the chain that are cached, and marks them as used.
  std::size_t cachedBlocks(const std::vector<BlockHash>& chain, RunRow* run);
  // Adds blocks to the cache, with the weights of each.
  void store(const std::vector<BlockHash>& chain, const std::string& salt,
             const std::vector<std::string>& weights, const PromptPrefix& prefix);
  void evictLeastRecentlyUsed();
  awaitable<void> waitWhileFrozen();
  // A 503 that guarantees that the request was not run.
  HttpResponse notRun(const std::string& why);

  asio::io_context& io_;
  StandInServerSettings settings_;
  Ledger& ledger_;
  std::unique_ptr<HttpServer> server_;
  // HTTP servers of earlier incarnations, which suspended coroutines still refer to.
  std::vector<std::unique_ptr<HttpServer>> retired_;
  StandInServerFaults faults_;
  bool slowLinks_ = false;  // pulls take twenty times as long
  // Everything below is accessed only on io_'s thread. incarnation_ and runs_ keep counting after a
  // crash; the rest is state of the present incarnation.
  std::uint64_t incarnation_ = 0;
  std::string identity_, weights_;
  bool loading_ = false, down_ = false;
  std::size_t running_ = 0, queued_ = 0;
  std::uint64_t highestFence_ = 0, runs_ = 0, nextEvent_ = 1;
  std::unordered_map<BlockHash, Block> cache_;
  std::list<BlockHash> lruOrder_;  // least recently used first; exactly the keys of cache_
  // The events from position nextEvent_ - size() on, at most kEventLimit.
  std::deque<nlohmann::json> evictionEvents_;
  static constexpr std::size_t kEventLimit = 4000;
};

}  // namespace quayrill::fleet
