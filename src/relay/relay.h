#pragma once
// The relay: requests go unchanged to a server of their route's service, answers come back as they
// are made. One traffic thread owns all of it: connections, the index, the budget of extra tries.
// Whoever else has something for it posts a command.
#include <list>
#include <memory>
#include <random>
#include <set>
#include <thread>

#include "agent/view.h"
#include "base/counters.h"
#include "base/decision_log.h"
#include "dialect/dialect.h"
#include "net/http.h"
#include "placement/placement.h"
#include "placement/retry_budget.h"
#include "relay/connection_pool.h"
#include "relay/event_splitter.h"
#include "relay/leaving.h"
#include "settings/settings.h"

namespace quayrill {

// What is known of a request when it has passed the intake.
struct RelayRequest {
  RequestId id;
  RoutePolicy policy;
  std::vector<SplitShare> split;
  bool needsKey = true;
  std::string keyDigest;
  TenantName tenant;
  CacheSalt isolationSalt;  // "" where cache is shared
  ModelName model;
  PromptPrefix prefix;
  std::uint64_t resumeAfter = 0;    // the caller's own last event
  unsigned priority = 1;            // 0 is the most urgent
  Instant startedAt{}, deadline{};  // from its first byte on
  HttpRequest original;
};

// The latest that an answer which has begun goes on, and that its bytes wait for a caller: servers
// end at the deadline by themselves, and their last words need a moment.
Instant streamDeadline(const RelayRequest& job);

// One caller's connection.
struct Caller {
  explicit Caller(Tcp::socket accepted)
      : socket(std::move(accepted)), timer(socket.get_executor()) {}
  Tcp::socket socket;
  asio::steady_timer timer;
  beast::flat_buffer buffer;
  // At `deadline` the timer cancels what waits on the socket. It is armed for no later than that.
  Instant deadline = Instant::max(), timerSetFor = Instant::max();
  bool timedOut = false;
  bool isIdle = true;          // nothing of a next request was read
  Instant requestStartedAt{};  // when the first byte of the request now read or answered was there
  bool isDisconnectWatched = false;  // a wait for the caller's leaving is under way
  bool staysOpen = true;             // after the answer under way
  bool isAwaitingResponse = false;   // a whole request was read, and its answer is not out yet
  bool isDisconnected = false;       // it closed, or half-closed, while an answer was owed
  bool mayAbort = false;             // the request owed is of no more use once the caller has left
  std::function<void()> abortAttempt;  // while a server has the request: ends the connection to it
};

// What reached the caller so far, over all tries.
struct ResponseProgress {
  bool headSent = false;
  std::optional<std::uint64_t> lastEventId;
  bool canResume = true;  // a further run can be told where to go on
  std::uint64_t events = 0;
};

enum class AttemptOutcome {
  NeverSent,  // no byte left for the server
  NotRun,     // the server's own word
  Unknown,    // it may have run; nothing reached the caller
  Silent,     // the same, after the time for a first event
  Done,       // the caller has a whole answer
  Cut,        // events reached the caller, then the answer broke
  CallerGone,
};
const char* attemptOutcomeName(AttemptOutcome outcome);
struct AttemptResult;
std::string describeAttempt(const PlacementResult& placed, const AttemptResult& result);

struct AttemptResult {
  AttemptOutcome outcome{};
  std::string detail;
  Span timeToFirstEvent{};                // to the first event
  std::optional<HttpResponse> failure{};  // the server's own failure, whole, for where it stands
  bool retrySameServer = false;           // the server said what it lacked: ask it again
  bool isUnreachable = false;             // no connection came up
  bool isRetryBudgetSpent = false;        // the budget bore no extra try when it was to leave
};

// How one try is to be made.
struct AttemptOptions {
  Instant firstDeadline{};  // by when the answer must have begun
  bool keepAlive = false;   // the caller's connection stays open behind the answer
  bool isRetry = false;     // the request reached a server before: the budget has to bear this
};

class Relay {
 public:
  Relay(Settings settings, Dialect dialect);
  ~Relay();
  absl::Status start();
  // Called by the agent's thread, each time that something may have changed.
  void applySnapshot(Snapshot told, Instant requestedAt);
  // What the fleet's data planes observe. Called by the agent's thread.
  void applyDigest(PlaneDigest digest, Instant receivedAt);
  // Who tells the fleet what this data plane observes. Set it before start; called on the traffic
  // thread.
  using Reporter = std::function<void(PlaneReport)>;
  void setReporter(Reporter reporter) { reporter_ = std::move(reporter); }
  // Not ready from now on. Accepts, ends what it accepted, and has left before the grace is over.
  void beginLeaving();
  bool hasLeft() const { return hasLeft_; }
  void stop();
  std::size_t openConnections() const { return openCallers_; }

 private:
  // front.cpp: connections of callers
  awaitable<void> accept(Tcp::acceptor& acceptor);
  awaitable<void> serveCaller(std::shared_ptr<Caller> caller);
  awaitable<bool> readRequest(const std::shared_ptr<Caller>& caller, HttpRequest* request);
  awaitable<bool> sendResponse(const std::shared_ptr<Caller>& caller, HttpResponse response,
                               bool keepAlive);
  void setDeadline(const std::shared_ptr<Caller>& caller, Instant deadline);
  void watchForDisconnect(const std::shared_ptr<Caller>& caller);
  // Whether the connection outlasts this answer. Asked last when the answer's head is made.
  bool keepsOpen(const std::shared_ptr<Caller>& caller, bool keepAlive) const;
  awaitable<void> drain(const std::shared_ptr<Caller>& caller);
  bool isReady(Instant now) const;
  awaitable<std::optional<HttpResponse>> handleAdminRequest(HttpRequest& request);

  // leaving.cpp
  awaitable<void> leave(LeaveSchedule schedule);
  void closeIdleCallers();
  bool isBusy() const;
  void abortAttempts();

  // intake.cpp
  Span timeoutFor(const http::request_header<>& head, const RoutePolicy& policy) const;
  Instant bodyDeadline(const http::request_header<>& head, Instant startedAt) const;
  std::optional<HttpResponse> intake(const HttpRequest& request, RelayRequest* job);
  HttpResponse reject(ErrorKind kind, const std::string& why, const std::string& id);

  // relay.cpp: one request over its tries
  awaitable<std::optional<HttpResponse>> run(const std::shared_ptr<Caller>& caller,
                                             const RelayRequest& job, bool keepAlive);
  void updateRetryBudgets(std::size_t daemons, Instant now);
  std::optional<PlacementResult> place(const RelayRequest& job, const std::set<ServerName>& tried);
  bool isStillAllowed(const RelayRequest& job, const ServerState& server) const;
  Instant startDeadline(const ServerState& server) const;
  void applyOutcome(const ServerState& server, const AttemptResult& result);
  void recordDecision(const RelayRequest& job, const std::string& tries, const char* outcome);

  // part_events.cpp: what servers and the store keep
  awaitable<void> eventLoop();
  awaitable<void> reportLoop();
  awaitable<void> pullEvents(ServerName source);
  awaitable<absl::StatusOr<std::string>> fetchEvents(ServerName source, std::uint64_t since);
  void applyBatch(const PartEventBatch& batch);
  void applyEvents(const ServerName& source, const PartEvents& told);
  bool isStore(const ServerName& source) const;
  std::shared_ptr<Instant> lastActivityOf(const ServerName& server);

  // attempt.cpp: one try at one server
  struct Attempt;
  awaitable<AttemptResult> attempt(const std::shared_ptr<Caller>& caller, const RelayRequest& job,
                                   const PlacementResult& placed, ResponseProgress* progress,
                                   const AttemptOptions& asked);
  std::string reasonNotToSend(const Caller& caller, const RelayRequest& job,
                              const ServerState& server, Instant now) const;
  void returnConnection(Attempt& attempt, const AttemptResult& result);

  // request_head.cpp
  std::string requestHead(const RelayRequest& job, const PlacementResult& placed, Instant now,
                          const ResponseProgress& progress) const;

  // answer.cpp: what comes back
  awaitable<absl::StatusOr<std::string>> readBody(Attempt& attempt);
  AttemptResult handleNotRun(const Attempt& attempt, const http::response_header<>& head);
  awaitable<AttemptResult> readResponse(Attempt& attempt);
  awaitable<AttemptResult> forwardEvents(Attempt& attempt);
  void applyResponseHeaders(const ServerState& server, const http::response_header<>& head);

  Settings settings_;
  Dialect dialect_;
  const HeaderNames headerNames_;
  asio::io_context io_{1};
  Tcp::acceptor callers_;
  std::unique_ptr<HttpServer> ready_;
  std::shared_ptr<const ProxyView> view_ = std::make_shared<ProxyView>();
  Placement placement_;
  RetryBudgets budgets_;
  RetrySlack retrySlack_;
  ConnectionPool pool_;
  std::map<ServerName, std::size_t> serverRows_;  // row of each server in view_
  std::list<std::weak_ptr<Caller>> callerList_;
  // When each listed server last sent anything: one that answers others is slow, not silent.
  std::map<ServerName, std::shared_ptr<Instant>> lastActivity_;
  Reporter reporter_;
  std::vector<PartEventBatch> unreportedBatches_;  // since the last report
  Counters counters_;
  DecisionLog decisions_{5000};
  std::mt19937_64 random_{std::random_device{}()};
  std::atomic<std::size_t> openCallers_{0};
  std::atomic<bool> leaving_{false}, hasLeft_{false};
  bool isRejecting_ = false, isAborting_ = false;  // by LeaveSchedule
  // False once this is being destroyed: what coroutines let go of is gone then.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::thread thread_;
};

}  // namespace quayrill
