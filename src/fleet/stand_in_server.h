#pragma once
// A stand-in model server: it speaks the wire, keeps a cache by blocks, and logs what it really
// did.
#include <deque>
#include <list>
#include <memory>
#include <unordered_map>

#include "fleet/ledger.h"
#include "net/http.h"
#include "placement/prefix.h"

namespace quayrill::fleet {

struct StandInServerSettings {
  Address address;
  std::string zone, model = "till", weights = "w0";
  std::size_t slots = 8, queueLimit = 24;
  std::size_t cacheTokens = 40000, blockTokens = 16;
  std::chrono::microseconds prefillPerToken{25}, fetchPerToken{4};
  std::chrono::milliseconds pieceInterval{4}, loadDuration{800};
  Address store;
};

// Errors that a run can switch on, to show that a checker trips.
struct StandInFaults {
  bool dropMidStream = false;    // closes after some pieces
  bool dropBeforeFirst = false;  // runs, then closes with no answer
  bool repeatPiece = false;      // sends one piece twice
  bool silent = false;           // takes connections and answers nothing
  bool frozen = false;           // stops in the middle of everything, connections open
  bool eventsLate = false;       // cache events are told seconds after they happened
  bool eventsLost = false;       // the oldest half of the events told is forgotten
  bool eventsDoubled = false;    // events come twice and in reverse order
};

using BlockHash = std::uint64_t;
// The chain of block names of a prefix under a salt; a stand-in's own reckoning.
std::vector<BlockHash> blockChainOf(const std::string& salt, const PromptPrefix& prefix,
                                    std::size_t blockTokens);

class StandInServer {
 public:
  StandInServer(asio::io_context& io, StandInServerSettings settings, Ledger& ledger);
  absl::Status start();
  void crash();    // drops every connection and the listener, forgets all
  void restart();  // comes back empty, under a new identity
  void setFaults(const StandInFaults& faults) { faults_ = faults; }
  void slowLinks(bool slow) { slowLinks_ = slow; }
  const std::string& weights() const { return weights_; }
  bool isUp() const { return !down_; }
  bool isBusy() const { return running_ + queued_ > 0; }
  const StandInServerSettings& settings() const { return settings_; }

 private:
  struct Block {
    std::string weights, salt;
    std::shared_ptr<const PromptPrefix> prefix;  // it ends block number `index` of this prefix
    std::size_t index = 0;
    std::list<BlockHash>::iterator lruPosition;
  };
  awaitable<std::optional<HttpResponse>> handle(Connection& connection, HttpRequest& request);
  awaitable<std::optional<HttpResponse>> generate(Connection& connection, HttpRequest& request);
  awaitable<HttpResponse> handlePull(HttpRequest& request);
  awaitable<void> loadWeights(std::string weights, std::uint64_t incarnation);
  awaitable<void> storePrefix(std::string salt, std::string weights, std::string prefix);
  HttpResponse reportLoad();
  HttpResponse handleCacheEvents(std::uint64_t since);
  awaitable<HttpResponse> handleWeightsOrder(HttpRequest& request, Address from);
  HttpResponse handleDrop(HttpRequest& request);
  HttpResponse handleRead(HttpRequest& request);
  std::size_t cachedBlocks(const std::vector<BlockHash>& chain, RunRow* run);
  void store(const std::vector<BlockHash>& chain, const std::string& salt,
             const std::vector<std::string>& weights, const PromptPrefix& prefix);
  void evictLeastRecentlyUsed();
  awaitable<void> waitWhileFrozen();
  HttpResponse notRun(const std::string& why);

  asio::io_context& io_;
  StandInServerSettings settings_;
  Ledger& ledger_;
  std::unique_ptr<HttpServer> server_;
  std::vector<std::unique_ptr<HttpServer>> retired_;  // coroutines of a crashed life still name it
  StandInFaults faults_;
  bool slowLinks_ = false;  // pulls take twenty times as long
  // All below is of this life, touched on io_'s single thread.
  std::uint64_t incarnation_ = 0;
  std::string identity_, weights_;
  bool loading_ = false, down_ = false;
  std::size_t running_ = 0, queued_ = 0;
  std::uint64_t highestFence_ = 0, runs_ = 0, nextEvent_ = 1;
  std::unordered_map<BlockHash, Block> cache_;
  std::list<BlockHash> lruOrder_;  // oldest first; holds exactly the names in cache_
  std::deque<nlohmann::json>
      evictionEvents_;  // events from nextEvent_ - size() on, at most kEventLimit
  static constexpr std::size_t kEventLimit = 4000;
};

}  // namespace quayrill::fleet
