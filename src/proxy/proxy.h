#pragma once
// The proxy's shell: intake -> admission -> placement -> fetch -> deliver. Admission and placement
// are tables with an owner each; the other stages run on the traffic threads.
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

class Proxy {
 public:
  Proxy(Settings settings, Dialect dialect);
  ~Proxy();
  absl::Status start();
  void beginLeaving() { leaving_ = true; }
  void stopAccepting() { callerServer_->stopAccepting(); }
  // The longest that a request accepted now may last.
  Span longestRequestTimeout() const;
  std::size_t openConnections() const { return callerServer_->connections(); }
  void stop();

 private:
  // What is known of a request when it has passed the intake.
  struct Job {
    RequestId id;
    TenantName tenant;
    PolicyName policyName;
    RoutePolicy policy;
    CacheSalt salt;
    PromptPrefix prefix;
    std::string body;
    std::string digest;
    Instant begun, deadline;
    Entered entered;  // how it stood when it came in
  };
  // One row of the decision stream, filled on the way.
  struct Trace {
    nlohmann::json tries = nlohmann::json::array();
    std::string outcome;
  };

  std::shared_ptr<const ProxyView> view() const;
  bool isFresh(const ProxyView& view, Instant now) const;
  bool mayRun(const Job& job, const ServerState& server) const;

  awaitable<void> snapshotLoop();
  awaitable<void> cacheEventLoop();
  awaitable<void> pollCacheEvents(ServerName server);
  awaitable<std::optional<HttpResponse>> handle(Connection& connection, HttpRequest& request);
  awaitable<std::optional<HttpResponse>> serve(Connection& connection, HttpRequest& request);
  std::optional<Error> parseRequest(const HttpRequest& request, const ProxyView& now, Job* job);
  awaitable<std::optional<HttpResponse>> run(Connection& connection, const Job& job, Trace* trace);
  // safe == false: the chosen server may hold cache of doubtful weights, so nothing is sent to it.
  struct FetchResult {
    std::string text = "none";
    bool safe = true;
  };
  awaitable<FetchResult> fetch(const Job& job, const Placed& placed);
  HttpResponse reject(ErrorKind kind, const std::string& why, const RequestId& id);
  HttpResponse unknown(ErrorKind kind, const std::string& why, const Job& job);
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
  // Below all that a request's coroutine lets go of when it is destroyed with io_.
  asio::io_context io_;
  std::unique_ptr<HttpServer> callerServer_;
  std::vector<std::thread> threads_;
};

}  // namespace quayrill
