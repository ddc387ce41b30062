#include "proxy/proxy.h"

#include <random>

#include "base/numbers.h"
#include "net/log.h"
#include "net/metrics.h"
#include "net/spawn.h"
#include "net/start_thread.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr std::size_t kCommandQueueLimit = 1024;
constexpr Duration kSnapshotInterval = 100ms;
// A leaving server must receive nothing after 3 s. Reading the list and passing it on must fit into
// that time.
constexpr Duration kListMaxAge = 2500ms;

PlacementSettings placementSettings(const Settings& settings) {
  PlacementRule rule = PlacementRule::LongestPrefix;
  if (settings.placement == "least-burden") rule = PlacementRule::LeastLoad;
  if (settings.placement == "round-robin") rule = PlacementRule::RoundRobin;
  PlacementSettings result{settings.blockTokens, rule};
  result.mechanisms = settings.mechanisms;
  return result;
}
}  // namespace

Proxy::Proxy(Settings settings, Dialect dialect)
    : settings_(std::move(settings)),
      dialect_(std::move(dialect)),
      view_(std::make_shared<ProxyView>()),
      admission_(kCommandQueueLimit),
      placement_(kCommandQueueLimit, placementSettings(settings_)) {
  std::random_device entropy;
  // `quayrillctl explain` uses the address to find the daemon that handled the request.
  idPrefix_ = settings_.callerAddress.value + "/" + std::to_string(entropy()) + "/";
}

Proxy::~Proxy() { stop(); }

absl::Status Proxy::start() {
  HttpServerSettings serverSettings;
  serverSettings.listen = settings_.callerAddress;
  serverSettings.bodyLimit = 16 << 20;
  callerServer_ = std::make_unique<HttpServer>(
      io_, serverSettings,
      [this](Connection& connection, HttpRequest& request) { return handle(connection, request); });
  if (auto status = callerServer_->start(); !status.ok()) return status;
  // A connection's timer and its reads must never run concurrently, so each loop has its own
  // strand.
  spawnLoop(asio::make_strand(io_), "the loop of snapshots", [this] { return snapshotLoop(); });
  spawnLoop(asio::make_strand(io_), "the loop of cache events",
            [this] { return cacheEventLoop(); });
  for (std::size_t i = 0; i < settings_.trafficThreads; ++i)
    threads_.push_back(startThread("traffic", [this] { runEventLoop(io_, "a traffic handler"); }));
  return absl::OkStatus();
}

void Proxy::stop() {
  io_.stop();
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

std::shared_ptr<const ProxyView> Proxy::view() const {
  std::lock_guard lock(viewMutex_);
  return view_;
}

bool Proxy::isFresh(const ProxyView& currentView, Instant now) const {
  return currentView.configuration && now - currentView.confirmedAt < settings_.stalenessLimit &&
         now - currentView.listedAt < kListMaxAge;
}

// Called right before a request's first byte is sent: the conditions that admitted it must still
// hold.
bool Proxy::mayRun(const Job& job, const PlacementResult& placed) const {
  const ServerState& server = placed.chosenServer;
  const auto currentView = view();
  if (!isFresh(*currentView, BootClock::now())) return false;
  if (!currentView->configuration->tenantByKeyDigest.contains(job.digest)) return false;
  CacheSalt salt;
  if (!resolveCacheSalt(*currentView->configuration, job.tenant, job.requestedSalt, &salt) ||
      salt != placed.salt)
    return false;
  for (const ServerState& row : currentView->servers) {
    if (row.name == server.name)
      return !row.leaving &&
             currentView->usableUntil(server, settings_.rolloutTimeLimit) > BootClock::now();
  }
  return false;
}

awaitable<void> Proxy::snapshotLoop() {
  for (;;) {
    const auto before = view();
    HttpCall call;
    call.to = settings_.operatorAddress;
    call.target = "/q/feed?spec=" + std::to_string(before->configurationVersion);
    call.timeout = 800ms;
    const Instant requestedAt = BootClock::now();
    const auto response = co_await httpCall(std::move(call));
    Snapshot snapshot;
    if (response.ok() && response->result_int() == 200 &&
        decodeValue(response->body(), &snapshot)) {
      auto next = std::make_shared<ProxyView>(
          nextView(*before, snapshot, requestedAt,
                   readConfigurationOf(snapshot, *before, dialect_.readConfiguration)));
      if (next->configurationVersion != before->configurationVersion)
        ++counters_.configurationChanges;
      {
        std::lock_guard lock(viewMutex_);
        view_ = next;
      }
      placement_.tryPost(
          [servers = next->servers](Placement& placement) { placement.setServers(servers); });
    }
    co_await pauseFor(kSnapshotInterval);
  }
}

// Polls all servers independently, with one bounded attempt each: events may be late or missing,
// and placement tolerates that.
awaitable<void> Proxy::cacheEventLoop() {
  for (;;) {
    const auto currentView = view();
    for (const ServerState& server : currentView->servers) {
      if (server.healthy)
        spawnTask(co_await asio::this_coro::executor, "reading cache events",
                  pollCacheEvents(server.name));
    }
    co_await pauseFor(1s);
  }
}

awaitable<void> Proxy::pollCacheEvents(ServerName server) {
  const std::function<std::uint64_t(Placement&)> positionOf = [server](Placement& placement) {
    return placement.eventPosition(server);
  };
  const auto position = co_await placement_.ask<std::uint64_t>(positionOf);
  if (!position) co_return;
  const Address address{server.value};
  const auto events = co_await readCacheEvents(address, *position, 700ms);
  if (!events.ok()) co_return;
  placement_.tryPost([this, server, batch = *events](Placement& placement) {
    const std::uint64_t gapsBefore = placement.gaps();
    placement.applyEvents(server, batch.identity, batch.first, batch.events, batch.next);
    counters_.eventGaps += placement.gaps() - gapsBefore;
  });
}

namespace {
// The delay is random within a few seconds, so that callers rejected together don't retry together.
void setRetryAfter(HttpResponse* response) {
  thread_local std::mt19937 random{std::random_device{}()};
  response->set(http::field::retry_after, std::to_string(1 + random() % 3));
}
}  // namespace

HttpResponse Proxy::reject(ErrorKind kind, const std::string& why, const RequestId& id) {
  ++counters_.rejected;
  HttpResponse response = errorResponse({kind, why});
  setRetryAfter(&response);
  response.set("Quayrill-Outcome", "turned-away");
  response.set("Quayrill-Request-Id", id.value);
  return response;
}

// Responds that the request may have run. Retry-After is set only for repeatable requests: for
// others, a retry could run the request a second time.
HttpResponse Proxy::respondUnknown(ErrorKind kind, const std::string& why, const Job& job) {
  ++counters_.outcomeUnknown;
  HttpResponse response = errorResponse({kind, why});
  if (job.policy.repeatable) setRetryAfter(&response);
  response.set("Quayrill-Outcome", "unknown");
  response.set("Quayrill-May-Repeat", job.policy.repeatable ? "yes" : "no");
  response.set("Quayrill-Request-Id", job.id.value);
  return response;
}

Duration Proxy::longestRequestTimeout() const {
  Duration longest{};
  const auto currentView = view();
  if (!currentView->configuration) return longest;
  for (const auto& [name, policy] : currentView->configuration->policies)
    longest = std::max<Duration>(longest, policy.timeout);
  return longest;
}

HttpResponse Proxy::readDecisions(const HttpRequest& request) const {
  const std::string from = queryValue(request, "from");
  const DecisionPage page = decisions_.read(wholeNumber(from).value_or(0), 500);
  return jsonResponse(200, {{"first", page.first}, {"next", page.next}, {"lines", page.lines}});
}

HttpResponse Proxy::explain(const std::string& id) const {
  const auto line = decisions_.find(id);
  if (!line)
    return errorResponse({ErrorKind::UnknownRoute,
                          "request '" + id + "' is not among the last 20000 of this daemon"});
  return textResponse(200, *line + "\n");
}

awaitable<std::optional<HttpResponse>> Proxy::handle(Connection& connection, HttpRequest& request) {
  const std::string path = pathOf(request);
  if (path == "/healthz") co_return textResponse(200, "ok\n");
  if (path == "/readyz") {
    const auto currentView = view();
    const bool ready = !leaving_ && isFresh(*currentView, BootClock::now());
    HttpResponse response = textResponse(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
    response.set("Quayrill-Spec-Version", std::to_string(currentView->configurationVersion));
    co_return response;
  }
  if (path == "/metrics") co_return metricsResponse(counters_);
  if (path == "/q/decisions") co_return readDecisions(request);
  if (path == "/q/explain") co_return explain(queryValue(request, "id"));
  co_return co_await serve(connection, request);
}

}  // namespace quayrill
