#pragma once
// Prefix-aware placement: chooses the server for each request, preferring the one that has most of
// the prompt cached. Keeps an estimate of every server's prefix cache as a radix tree, updated from
// placed requests and from cache events. Accessed by a single thread; no function blocks.
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/mechanisms.h"
#include "base/types.h"
#include "placement/pending_parts.h"
#include "placement/prefix.h"
#include "placement/server_load.h"
#include "radix/radix_tree.h"

namespace quayrill {

// What the agent knows about a model server, as of polledAt.
struct ServerState {
  ServerName name;
  ServiceName service;  // "" where servers are distinguished by their model alone
  ServerIdentity identity;
  ModelName model;
  WeightsVersion weights;
  std::string zone;
  bool healthy = false;
  bool leaving = false;
  bool switching = false;  // being moved to other weights; takes no requests until that is done
  std::uint32_t running = 0, queued = 0, slots = 1;
  std::uint64_t cacheTokens = 0;
  Instant polledAt{};
};

// The basic placement strategy.
enum class PlacementRule { LongestPrefix, LeastLoad, RoundRobin };

// The configuration of a Placement.
struct PlacementSettings {
  std::size_t blockTokens = 16;
  PlacementRule rule = PlacementRule::LongestPrefix;
  // If above 0, a server is over the cap when it has more than `spreadRequests` requests beyond
  // `spreadFactor` times the mean; it then ranks behind all servers below the cap. If 0, the cap is
  // a fixed margin above the mean load per slot.
  double spreadRequests = 0;
  double spreadFactor = 1.5;
  // Compare servers by the number of prompt tokens that are prefilled before the request's first
  // token: those already waiting at the server, and those of the request that are not cached there.
  bool byExpectedPrefill = false;
  Mechanisms mechanisms{};
};

// The properties of a request that placement depends on.
struct PlacementRequest {
  ModelName model;
  TenantName tenant;
  CacheSalt salt;
  PromptPrefix prefix;
  std::set<ServerName> avoid;  // servers that were tried already
  bool isOverShare = false;    // its tenant may not use the last queue places
  ServiceName service{};       // "" for any service that serves the model
  // Excludes the servers for which it returns false; empty to exclude none.
  std::function<bool(const ServerState&)> isAllowed{};
};

// A server considered for a request, with the figures that it was ranked by. Reported to operators.
struct Candidate {
  ServerName server;
  std::size_t matchedTokens = 0;
  double load = 0;
  double pendingPrefillTokens = 0;  // prompt tokens of earlier requests still to be prefilled there
  // Estimated tokens to prefill before this request's first token: pendingPrefillTokens, those of
  // this request and the cost of a fetch, with penalties for outdated weights and a long queue.
  double expectedTokens = 0;
  bool capped = false;   // over the load cap, so that its match does not count
  bool isNewest = true;  // no other candidate has newer weights of the same model
};

// A server from which missing cache could be fetched. `identity` is as known when the server was
// chosen. Servers verify it and the weights before and after the fetch.
struct FetchSource {
  ServerName server;
  ServerIdentity identity;
  std::size_t matchedTokens = 0;
};

// Bounds the memory for cache events of parts that no request has shown yet.
inline constexpr std::size_t kMaxPendingParts = 30000;

// Identifies one lock on one path of a server's tree. 0 means none.
using Ticket = std::uint64_t;

// The chosen server, the cache to fetch or store, and what the choice was based on.
struct PlacementResult {
  ServerState chosenServer;
  CacheSalt salt;  // of the request
  std::size_t matchedTokens = 0;
  std::size_t promptTokens = 0;
  Ticket ticket = 0;
  std::optional<FetchSource> source;
  bool isFetchWorthwhile = false;  // fetching the whole missing part would cost less than prefill
  // For servers that fetch and store parts themselves during a request: where to fetch missing
  // cache from and where to store new cache. "" for nowhere.
  Address fetchFrom{}, storeTo{};
  std::string reason;
  Candidate chosen;              // the estimate for the chosen server
  double minExpectedTokens = 0;  // the smallest expectedTokens of all candidates
  std::vector<Candidate> candidates;
};

// A change in a server's cache, for the whole prefix that was stored or dropped.
enum class CacheEventKind { Dropped, Stored };
struct CacheEvent {
  std::uint64_t position = 0;
  CacheEventKind kind{};
  CacheSalt salt;
  PromptPrefix prefix;
};

// A cache event for a single part: how many of its tokens a server or the store has cached now.
struct PartEvent {
  std::uint64_t position = 0;
  bool isAdded = false;
  CacheSalt salt;  // in the form that scopedCacheSalt returns
  std::string part;
  std::uint32_t tokens = 0;
  ModelName model;
};
// A batch of part events as read from one server or from the store.
struct PartEvents {
  std::string incarnation;  // changes when the server restarts
  std::uint64_t first = 0;  // the position that the read started from
  std::uint64_t next = 0;   // the position after the last event
  bool hasGap = false;      // the server no longer had all events after `first`
  std::vector<PartEvent> events;
};

// The outstanding work at one server, of one daemon or of several together.
struct ServerOutstanding {
  ServerName server;
  Outstanding outstanding;
};

// The salt under which servers store a request's cache. It differs between weights versions and
// between cache scopes (see cacheScope()), so a match or a fetch never crosses either boundary.
CacheSalt scopedCacheSalt(const WeightsVersion& weights, const CacheSalt& scope);

// The placement state of one daemon: servers, their load, and the index of their caches.
class Placement {
 public:
  explicit Placement(PlacementSettings settings) : settings_(std::move(settings)) {}

  // Replaces the list of servers. A new identity or new weights discard that server's tree.
  void setServers(const std::vector<ServerState>& servers);
  // Chooses a server and locks the prompt's path in its tree until release(). Empty if no healthy
  // server of the model has room; the request is then rejected.
  std::optional<PlacementResult> place(const PlacementRequest& request, Instant now = {});
  // Sets the store that servers fetch from and write to during requests; "" for none.
  void setStore(const Address& store, std::uint64_t cacheTokens);
  // An unreachable store is neither a fetch source nor written to.
  void setStoreReachable(bool isReachable);
  // Updates the tree of a server or of the store.
  void applyPartEvents(const ServerName& server, const PartEvents& batch);
  // Releases the lock of a ticket; later calls for the same ticket have no effect. If `ran` is
  // false, also removes the path if this ticket had inserted it.
  void release(Ticket ticket, bool ran, Instant now = {});
  // The first token of a placed request has arrived, so its prefill is complete.
  void notePrefillDone(Ticket ticket, Instant now);
  // This daemon's outstanding work by server; servers without any are omitted.
  std::vector<ServerOutstanding> ownOutstanding() const;
  // The outstanding work of all daemons at `at`; servers that are not listed have none. The request
  // counts are ignored for servers whose own responses have reported their load recently.
  void noteFleetLoad(const std::vector<ServerOutstanding>& fleet, Instant at);
  // Applies events of whole prefixes, sent by the server of that identity. `first` is the position
  // at which the batch starts, `next` the one after its end. If events were lost since the previous
  // batch, the server's tree is discarded.
  void applyEvents(const ServerName& server, const ServerIdentity& identity, std::uint64_t first,
                   const std::vector<CacheEvent>& events, std::uint64_t next);
  // The position up to which events of the server or the store were applied.
  std::uint64_t eventPosition(const ServerName& server) const;

  // Server state as reported in responses, in addition to what the agent polls.
  void noteLoad(const ServerName& server, std::uint32_t running, std::uint32_t queued,
                std::uint32_t slots, Instant now);
  // The weights reported by a response of that identity. A change discards the server's tree.
  void noteWeights(const ServerName& server, const ServerIdentity& identity,
                   const WeightsVersion& weights);
  // The server was unreachable or silent: prefer others for a while that doubles with each failure
  // in a row, up to a bound.
  void noteFailure(const ServerName& server, Instant now);
  // The server's answer broke the protocol or had no end. After a few more of these than of sound
  // answers, requests go to other servers, and one now and then to this one while there are no
  // others.
  void noteProtocolFault(const ServerName& server, Instant now);
  // The server rejected a request without running it: prefer others for a short time.
  void noteRejection(const ServerName& server, Instant now);
  // The server answered: clears the effect of earlier failures.
  void noteSuccess(const ServerName& server, Instant now);

  // The number of blocks in the tree of a server, including namespace roots.
  std::size_t indexedBlocks(const ServerName& server) const;
  // The number of placed requests that are not released.
  std::size_t ticketCount() const { return tickets_.size(); }
  // How often cache events are known to have been lost.
  std::uint64_t gaps() const { return gaps_; }

 private:
  // A server and its tree. The first token of every path is the number of its cache namespace
  // (model, weights, salt), so a walk cannot pass from one salt or weights version to another.
  struct ServerRow {
    ServerState state;
    RadixTree tree{1};
    // Unique over all trees, including those of a server that is removed and listed again. Tickets
    // of another generation are void.
    std::uint64_t treeGeneration = 0;
    // The first generation of this row; older tickets belong to a row that was removed.
    std::uint64_t firstGeneration = 0;
    ServerLoad load;           // outstanding requests
    Instant loadReportedAt{};  // when a response last reported the load
    std::uint64_t eventPosition = 0;
    std::string eventIncarnation;
    // Other servers are preferred until then. `failures` counts those in a row without a success.
    Instant avoidUntil{};
    std::uint32_t failures = 0;
    // Ejected for protocol faults until then; gets a request as a probe from `nextProbeAt` on.
    Instant ejectedUntil{}, nextProbeAt{};
    Duration probeInterval{};
    std::uint32_t protocolFaults = 0;  // less one for each sound answer since
    std::uint32_t ejections = 0;       // since there were no such faults
    bool mayBeProbed(Instant now) const { return now >= ejectedUntil || now >= nextProbeAt; }
  };
  // The lock behind a ticket. In the table until release(); void if the tree was replaced
  // meanwhile.
  struct PathLock {
    ServerName server;
    std::uint64_t treeGeneration = 0;
    NodeHandle node;
    std::vector<Token> path;
    bool inserted = false;
    std::uint64_t pendingPrefillTokens = 0;  // 0 once prefill has finished
  };
  // A cache namespace: one (model, weights, salt). Numbers are never reused, so paths left behind
  // by a removed namespace cannot be reached. A tenant that keeps using new salts only displaces
  // its own oldest namespaces.
  struct CacheNamespace {
    Token number = 0;
    TenantName tenant;  // the tenant whose request created it
    std::uint64_t lastUse = 0;
  };
  // An exact, unique key for (model, weights, scope).
  static std::string namespaceKey(const ModelName& model, const WeightsVersion& weights,
                                  const CacheSalt& scope);
  // The same for a salt in the form that scopedCacheSalt returns.
  static std::string namespaceKey(const ModelName& model, const CacheSalt& salt);
  // The number of the request's namespace on that server; creates it if necessary.
  Token namespaceFor(const ServerState& state, const PlacementRequest& request);
  void removeNamespace(const std::string& name);
  std::vector<Token> pathFor(Token number, const std::vector<Token>& blocks) const;
  // Replaces the tree by an empty one of a new generation.
  void dropTree(ServerRow& row);
  // Requests per slot at the server, counting this daemon's own changes since the last poll.
  double currentLoad(const ServerRow& row) const;
  // The same, assuming that the other daemons' load changed like this daemon's.
  double extrapolatedLoad(const ServerRow& row) const;
  // Evicts from the tree what exceeds the cache size of the server.
  void enforceCapacity(ServerRow& row);
  // Remembers which parts precede each shared part of the prompt.
  void recordPartChain(const PromptPrefix& prefix);
  // Returns false if the part's position in a prompt, or its salt, is not known here.
  bool applyPartEvent(ServerRow& row, const PartEvent& event);
  // Applies buffered events for the parts of this prompt to the trees.
  void applyPendingParts(const PromptPrefix& prefix);
  bool isEnabled(Mechanism mechanism) const { return settings_.mechanisms.isEnabled(mechanism); }
  bool comparesMatches() const {
    return settings_.rule == PlacementRule::LongestPrefix && isEnabled(Mechanism::LongestMatch);
  }
  bool comparesExpected() const { return comparesMatches() && settings_.byExpectedPrefill; }

  // The following functions are defined in choice.cpp.
  //
  // An eligible server, and the path of the request in its tree.
  struct Option {
    ServerRow* row = nullptr;
    std::shared_ptr<const std::vector<Token>> path;
    Candidate candidate;
  };
  std::vector<Option> optionsFor(const PlacementRequest& request, const std::vector<Token>& blocks);
  // Sets isNewest of each candidate.
  void markNewest(std::vector<Option>& options) const;
  // Sets capped of each candidate.
  void markCapped(std::vector<Option>& options) const;
  // Where the prompt is cached: the longest match by weights version, and the server that requests
  // with this prefix go to when no match is known.
  struct PromptHolders {
    std::map<WeightsVersion, std::size_t> longestMatch;
    const ServerRow* homeServer = nullptr;
  };
  PromptHolders findHolders(const std::vector<Option>& options, const PromptPrefix& prefix) const;
  double ownPrefillTokens(const Option& option, const PromptHolders& holders, double prompt,
                          double shared) const;
  void estimatePrefill(std::vector<Option>& options, const PromptHolders& holders,
                       const PromptPrefix& prefix, std::size_t promptTokens, Instant now) const;
  std::size_t wholeBlocks(std::size_t tokens) const {
    return tokens - tokens % settings_.blockTokens;
  }
  // The options that are not full. Servers that failed recently are included only if no others are
  // left.
  std::vector<Option> filterUsable(const std::vector<Option>& options, bool isOverShare,
                                   Instant now) const;
  const Option& choose(const std::vector<Option>& usable, const PromptPrefix& prefix,
                       std::string* reason);
  const Option& chooseByExpectedPrefill(const std::vector<Option>& usable,
                                        std::uint64_t tieSeed) const;
  // Sets source, fetchFrom, storeTo and isFetchWorthwhile. `homeServer`: see PromptHolders.
  void chooseFetchSource(PlacementResult& placed, const Option& chosen,
                         const std::vector<Option>& options, const ServerRow* homeServer,
                         const PromptPrefix& prefix, Instant now) const;
  Ticket lockPath(const Option& chosen, std::uint64_t pendingPrefillTokens, Instant now);

  PlacementSettings settings_;
  Address store_;
  bool isStoreReachable_ = true;
  // For each shared part, the chain of parts from the start of the prompt up to and including it.
  // Needed because cache events name a part alone.
  std::map<std::string, std::vector<PromptPart>> partChains_;
  std::map<ServerName, ServerRow> servers_;
  std::map<Ticket, PathLock> tickets_;
  ServerRow storeRow_;  // what the store has cached, according to its events
  std::map<std::string, CacheNamespace> namespaces_;   // by namespaceKey
  std::map<TenantName, std::size_t> namespaceCounts_;  // how many namespaces each tenant has
  Token lastNamespaceNumber_ = 0;
  std::uint64_t useCounter_ = 0;
  std::uint64_t lastTreeGeneration_ = 0;  // generations are unique over all trees
  Ticket lastTicket_ = 0;
  PendingParts pendingParts_{kMaxPendingParts};
  std::uint64_t nextTurn_ = 0, gaps_ = 0;
};

}  // namespace quayrill
