#pragma once
// The proxy: request parsing -> admission -> placement -> prefix fetch -> delivery. Admission and
// placement are tables that one thread each owns; the other stages run on the traffic threads.
#include <memory>
#include <mutex>
#include <thread>

#include "agent/view.h"
#include "base/counters.h"
#include "base/decision_log.h"
#include "dialect/dialect.h"
#include "placement/admission.h"
#include "proxy/deliver.h"
#include "proxy/owned_table.h"
#include "settings/settings.h"

namespace quayrill {

// The data plane for quayrill's own protocol. Follows the snapshots of its agent and rejects
// requests while they are too old.
class Proxy {
 public:
  Proxy(Settings settings, Dialect dialect);
  ~Proxy();
  // Opens the listening socket and starts the traffic threads. An error is meant for the operator.
  absl::Status start();
  // Reports "not ready" from now on. Requests are still accepted.
  void beginLeaving() { leaving_ = true; }
  // Accepts no new connections from now on; open requests finish.
  void stopAccepting() { callerServer_->stopAccepting(); }
  // The longest time that a request accepted now may take.
  Duration longestRequestTimeout() const;
  // Connections of callers that are still open.
  std::size_t openConnections() const { return callerServer_->connections(); }
  // Stops the traffic threads; open requests are abandoned.
  void stop();

 private:
  // A parsed and authenticated request.
  struct Job {
    RequestId id;
    TenantName tenant;
    PolicyName policyName;
    RoutePolicy policy;
    std::string requestedSalt;  // that the caller wants within its tenant's cache scope
    PromptPrefix prefix;
    std::string body;
    std::string digest;  // of the caller's key
    Instant receivedAt, deadline;
    AdmissionResult entered;  // result of admission
  };
  // One row of the decision log, filled in while the request is handled.
  struct Trace {
    nlohmann::json tries = nlohmann::json::array();
    std::string outcome;
  };

  std::shared_ptr<const ProxyView> view() const;
  // True if the configuration and the server list were confirmed recently enough to serve requests.
  bool isFresh(const ProxyView& currentView, Instant now) const;
  bool mayRun(const Job& job, const PlacementResult& placed) const;

  // Requests snapshots from the agent.
  awaitable<void> snapshotLoop();
  // Polls the cache events of all healthy servers.
  awaitable<void> cacheEventLoop();
  awaitable<void> pollCacheEvents(ServerName server);
  awaitable<std::optional<HttpResponse>> handle(Connection& connection, HttpRequest& request);
  // Handles a request for a model: parsing, admission and run(). Returns nullopt if the answer was
  // streamed to the connection.
  awaitable<std::optional<HttpResponse>> serve(Connection& connection, HttpRequest& request);
  // Fills `job`; returns an error if the request is rejected.
  std::optional<Error> parseRequest(const HttpRequest& request, const ProxyView& currentView,
                                    Job* job);
  // Attempts an admitted request on one server after the other, as its policy permits.
  awaitable<std::optional<HttpResponse>> run(Connection& connection, const Job& job, Trace* trace);
  struct FetchResult {
    std::string text = "none";  // for the decision log
    // False if the chosen server may hold cache of other weights. Nothing may be sent to it then.
    bool safe = true;
  };
  awaitable<FetchResult> fetch(const Job& job, const PlacementResult& placed);
  // An answer that the request was rejected and did not run, with Retry-After.
  HttpResponse reject(ErrorKind kind, const std::string& why, const RequestId& id);
  HttpResponse respondUnknown(ErrorKind kind, const std::string& why, const Job& job);
  // Adds the request to the decision log.
  void record(const Job& job, const Trace& trace);
  HttpResponse readDecisions(const HttpRequest& request) const;
  HttpResponse explain(const std::string& id) const;

  Settings settings_;
  Dialect dialect_;
  std::string idPrefix_;
  std::atomic<std::uint64_t> idCounter_{0};
  mutable std::mutex viewMutex_;
  std::shared_ptr<const ProxyView> view_;
  OwnedTable<Admission> admission_;
  OwnedTable<Placement> placement_;
  Counters counters_;
  DecisionLog decisions_{20000};
  std::atomic<bool> leaving_{false};
  // Declared after the tables: destroying io_ destroys suspended request coroutines, which still
  // post their releases to the tables.
  asio::io_context io_;
  std::unique_ptr<HttpServer> callerServer_;
  std::vector<std::thread> threads_;
};

}  // namespace quayrill
