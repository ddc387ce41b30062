#pragma once
// The streaming proxy. Forwards each request unchanged to a server of its route's service, and
// streams the response back as it is produced. One traffic thread owns all state: connections, the
// cache index and the retry budgets. Other threads post work to it.
#include <list>
#include <memory>
#include <random>
#include <set>
#include <thread>

#include "agent/view.h"
#include "base/byte_budget.h"
#include "base/counters.h"
#include "base/decision_log.h"
#include "dialect/dialect.h"
#include "net/http.h"
#include "placement/placement.h"
#include "placement/retry_budget.h"
#include "relay/answer_fault.h"
#include "relay/connection_pool.h"
#include "relay/event_splitter.h"
#include "relay/leaving.h"
#include "settings/settings.h"

namespace quayrill {

// A request that has passed the intake checks.
struct RelayRequest {
  RequestId id;
  RoutePolicy policy;
  std::vector<SplitShare> split;
  bool needsKey = true;
  std::string keyDigest;
  TenantName tenant;
  ModelName model;
  PromptPrefix prefix;
  // The last event id that the caller has, if it resumes a stream and the id is a number.
  std::optional<std::uint64_t> resumeAfter;
  // The most events of a stream that the tokens asked for can fill; nullopt if none were told.
  std::optional<std::uint64_t> maxEvents;
  unsigned priority = 1;            // 0 is the most urgent
  Instant startedAt{}, deadline{};  // startedAt is when its first byte was read
  HttpRequest original;
};

// The time until which a response that has started may continue, and until which its bytes wait for
// a slow caller. Later than the deadline: servers stop at the deadline by themselves, and their
// last bytes take a moment to arrive.
Instant streamDeadline(const RelayRequest& job);

// A connection from a caller.
struct Caller {
  explicit Caller(Tcp::socket accepted)
      : socket(std::move(accepted)), timer(socket.get_executor()) {}
  Tcp::socket socket;
  asio::steady_timer timer;
  ReadBuffer buffer;
  // At `deadline`, the timer cancels pending operations on the socket. The timer is set for
  // `timerSetFor`, which is never later than `deadline`.
  Instant deadline = Instant::max(), timerSetFor = Instant::max();
  bool timedOut = false;
  bool isIdle = true;                // no byte of a next request has been read
  Instant requestStartedAt{};        // when the first byte of the current request was read
  bool isDisconnectWatched = false;  // a wait for the caller's disconnect is pending
  bool staysOpen = true;             // stays open after the current response
  // What the head and the body of the current request take of the relay's budget.
  ByteBudget::Share headShare, bodyShare;
  // A whole request was read, and its response is not complete.
  bool isAwaitingResponse = false;
  // The caller closed or half-closed the connection while a response was pending.
  bool isDisconnected = false;
  // The current request may be aborted if the caller disconnects.
  bool mayAbort = false;
  // Set while a server has the request: closes the connection to that server.
  std::function<void()> abortAttempt;
  // The same: judges anew whether the response may still start.
  std::function<void()> recheckStart;
};

// What has been sent to the caller so far, over all attempts.
struct ResponseProgress {
  bool headSent = false;
  std::optional<std::uint64_t> lastEventId;
  bool canResume = true;  // another server can continue the stream
  std::uint64_t events = 0;
};

// How an attempt ended, as far as this daemon knows.
enum class AttemptOutcome {
  NeverSent,  // no byte was sent to the server
  NotRun,     // the server reported that it did not run the request
  Unknown,    // the request may have run; nothing was sent to the caller
  Silent,     // the same, because there was no first event in time
  Done,       // the caller has a complete response
  Cut,        // events were sent to the caller, then the response broke off
  CallerGone,
};
// The outcome's name in decision records.
const char* attemptOutcomeName(AttemptOutcome outcome);
struct AttemptResult;
// One attempt as text for the decision record: how it ended, and what was estimated for its server.
std::string describeAttempt(const PlacementResult& placed, const AttemptResult& result);

// Why a response may no longer start.
enum class StartLimit { None, Weights, Isolation };

// The time until which a response may start, and what sets it.
struct StartDeadline {
  Instant at = Instant::max();
  StartLimit limit = StartLimit::None;
};

// The result of one attempt.
struct AttemptResult {
  AttemptOutcome outcome{};
  std::string detail;
  // From the start of the attempt to the first event.
  Duration timeToFirstEvent{};
  // The server's complete error response, in case it has to be forwarded to the caller.
  std::optional<HttpResponse> failure{};
  ByteBudget::Share failureShare{};  // what `failure` takes of the relay's budget
  // The request may be sent to the same server again, because the server said what it expects.
  bool retrySameServer = false;
  bool isUnreachable = false;       // no connection could be established
  bool isRetryBudgetSpent = false;  // the attempt was a retry that the budget did not allow
  // What the attempt was ended for, because its response had not started in time.
  StartLimit startLimit = StartLimit::None;
  AnswerFault fault = AnswerFault::None;
};

// The body of an answer that was read completely, or why it was given up.
struct AnswerBody {
  std::string bytes{};
  AnswerFault fault = AnswerFault::None;
  std::string error{};  // "" if the body is complete
};

// How much of an answer's body is read, and whether it is kept.
struct AnswerBodyLimits {
  std::size_t bytes = 0;
  bool isKept = false;
};

// Parameters of an attempt.
struct AttemptOptions {
  Instant firstDeadline{};  // the response must have started by then
  bool keepAlive = false;   // the caller's connection stays open after the response
  bool isRetry = false;     // a retry, which the retry budget must allow
};

// The streaming proxy of one daemon.
class Relay {
 public:
  Relay(Settings settings, Dialect dialect);
  ~Relay();
  // Opens the listening sockets. Nothing is served and no connection is made before serve().
  absl::Status listen();
  // Starts the traffic thread, once listen() has succeeded.
  void serve();
  // Both.
  absl::Status start();
  // Applies a new snapshot from the agent. Called on the agent's thread whenever something may have
  // changed. `configuration` is the snapshot's, parsed; if it is null, the snapshot's body is
  // parsed.
  void applySnapshot(Snapshot snapshot, Instant requestedAt,
                     std::shared_ptr<const Configuration> configuration = nullptr);
  // Applies what the data planes of the fleet have observed. Called on the agent's thread.
  void applyDigest(DataPlaneDigest digest, Instant receivedAt);
  // The function that shares this data plane's observations with the fleet. Set it before start().
  // It is called on the traffic thread.
  using Reporter = std::function<void(DataPlaneReport)>;
  void setReporter(Reporter reporter) { reporter_ = std::move(reporter); }
  // Starts a graceful shutdown: reports not ready at once, still accepts requests for a while,
  // completes the accepted ones, and finishes before the grace period is over.
  // `grace`: the time until this process may be killed, by the settings in force now.
  void beginLeaving(Duration grace);
  // True once the graceful shutdown is complete.
  bool hasLeft() const { return hasLeft_; }
  // Stops at once.
  void stop();
  // The number of open connections from callers.
  std::size_t openConnections() const { return openCallers_; }

 private:
  // caller_connections.cpp: connections from callers
  awaitable<void> accept(Tcp::acceptor& acceptor);
  awaitable<void> serveCaller(std::shared_ptr<Caller> caller);
  awaitable<bool> readRequest(const std::shared_ptr<Caller>& caller, HttpRequest* request);
  awaitable<bool> sendResponse(const std::shared_ptr<Caller>& caller, HttpResponse response,
                               bool keepAlive);
  void setDeadline(const std::shared_ptr<Caller>& caller, Instant deadline);
  void watchForDisconnect(const std::shared_ptr<Caller>& caller);
  // Decides whether the connection stays open after this response. Call it when the response's head
  // is created.
  bool keepsOpen(const std::shared_ptr<Caller>& caller, bool keepAlive) const;
  awaitable<void> drain(const std::shared_ptr<Caller>& caller);
  bool isReady(Instant now) const;
  // Whether requests may be served by the current configuration.
  bool isConfigurationUsable(Instant now) const;
  awaitable<std::optional<HttpResponse>> handleAdminRequest(HttpRequest& request);

  // leaving.cpp
  awaitable<void> leave(LeaveSchedule schedule);
  void closeIdleCallers();
  bool isBusy() const;
  void abortAttempts();

  // intake.cpp: authentication, routing and limits
  Duration timeoutFor(const http::request_header<>& head, const RoutePolicy& policy) const;
  Instant bodyDeadline(const http::request_header<>& head, Instant startedAt) const;
  std::optional<HttpResponse> intake(const HttpRequest& request, RelayRequest* job);
  HttpResponse reject(ErrorKind kind, const std::string& why, const std::string& id);

  struct Attempt;

  // relay.cpp: one request over all its attempts
  awaitable<std::optional<HttpResponse>> run(const std::shared_ptr<Caller>& caller,
                                             const RelayRequest& job, bool keepAlive);
  void updateRetryBudgets(std::size_t daemons, Instant now);
  std::optional<PlacementResult> place(const RelayRequest& job, const std::set<ServerName>& tried);
  bool isStillAllowed(const RelayRequest& job, const PlacementResult& placed) const;
  Instant weightsDeadline(const ServerState& server) const;
  Instant scopeDeadline(const RelayRequest& job, const Configuration& sentUnder) const;
  bool isKnownToRun(const Attempt& attempt) const;
  StartDeadline startDeadline(const Attempt& attempt) const;
  void recheckStarts();
  void askQueue(const ServerState& server);
  awaitable<void> readQueue(ServerName server, ServerIdentity identity);
  void applyOutcome(const ServerState& server, const AttemptResult& result);
  void recordDecision(const RelayRequest& job, const std::string& tries, const char* outcome);

  // part_events.cpp: cache events of servers and of the store
  awaitable<void> eventLoop();
  awaitable<void> reportLoop();
  awaitable<void> pullEvents(ServerName source);
  awaitable<absl::StatusOr<std::string>> fetchEvents(ServerName source, std::uint64_t since);
  void applyBatch(const PartEventBatch& batch);
  void applyEvents(const ServerName& source, const PartEvents& partEvents);
  bool isStore(const ServerName& source) const;
  std::shared_ptr<Instant> lastActivityOf(const ServerName& server);

  // attempt.cpp: one attempt at one server
  awaitable<AttemptResult> attempt(const std::shared_ptr<Caller>& caller, const RelayRequest& job,
                                   const PlacementResult& placed, ResponseProgress* progress,
                                   const AttemptOptions& options);
  std::string reasonNotToSend(const Caller& caller, const RelayRequest& job,
                              const PlacementResult& placed, Instant now) const;
  void returnConnection(Attempt& attempt, const AttemptResult& result);

  // request_head.cpp
  std::string requestHead(const RelayRequest& job, const PlacementResult& placed, Instant now,
                          const ResponseProgress& progress) const;

  // response.cpp: responses of servers
  AnswerBodyLimits bodyLimitsOf(const Attempt& attempt, bool isKept) const;
  awaitable<AnswerBody> readBody(Attempt& attempt, AnswerBodyLimits limits);
  std::size_t roomForOtherAnswers(std::size_t bytes) const;
  bool takeAnswerBytes(ByteBudget::Share& share, std::size_t bytes);
  void countRead(std::size_t bytes);
  AttemptResult handleNotRun(const Attempt& attempt, const http::response_header<>& head);
  awaitable<AttemptResult> readResponse(Attempt& attempt);
  awaitable<AttemptResult> forwardEmptyStream(Attempt& attempt);
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
  ByteBudget requests_;  // of callers, from their first byte to the end of the response
  ByteBudget answers_;   // of servers' answers, until they are sent on
  std::map<ServerName, std::size_t> serverRows_;  // index of each server in view_
  std::list<std::weak_ptr<Caller>> callerList_;
  // When each listed server last sent anything. Distinguishes a slow server, which still answers
  // other requests, from a silent one.
  std::map<ServerName, std::shared_ptr<Instant>> lastActivity_;
  // When an answer of each listed server last told that no request waits there.
  std::map<ServerName, Instant> noneQueuedAt_;
  std::set<ServerName> queuesAsked_;  // servers that are being asked how many requests wait
  Reporter reporter_;
  std::vector<PartEventBatch> unreportedBatches_;  // read since the last report
  Counters counters_;
  AnswerFaultCounts answerFaults_;
  std::map<ServerName, Instant> feedPausedUntil_;  // sources of cache events
  DecisionLog decisions_{5000};
  std::mt19937_64 random_{std::random_device{}()};
  std::atomic<std::size_t> openCallers_{0};
  std::atomic<bool> leaving_{false}, hasLeft_{false};
  bool isRejecting_ = false, isAborting_ = false;  // stages of LeaveSchedule
  // Set to false by the destructor. Coroutines that are destroyed later check it before they access
  // members.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::thread thread_;
};

}  // namespace quayrill
