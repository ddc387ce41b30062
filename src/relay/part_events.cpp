// Cache events: reads them from the sources assigned to this daemon, shares them with the fleet,
// and applies those shared by other daemons. The outstanding requests of this daemon are shared in
// the same way.
#include "net/body_reader.h"
#include "net/spawn.h"
#include "relay/part_event_batch.h"
#include "relay/relay.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Duration kServerPollInterval = 1s;  // how often each server is polled
// Shorter, because requests wait at servers while the store is down.
constexpr Duration kStorePollInterval = 500ms;
constexpr Duration kFetchTimeout = 500ms;
constexpr Duration kCheckInterval = 100ms;  // how often to look for sources to poll
constexpr Duration kReportInterval = 100ms;
constexpr std::size_t kMaxFeedBytes = 4 << 20;
// A source whose answer broke the protocol or had no end isn't polled for this long.
constexpr Duration kFeedFaultPause = 5s;
}  // namespace

void Relay::applyDigest(DataPlaneDigest digest, Instant receivedAt) {
  asio::post(io_, [this, digest = std::move(digest), receivedAt] {
    ++counters_.fleetDigests;
    if (settings_.mechanisms.isEnabled(Mechanism::SharedLoad)) {
      std::vector<ServerOutstanding> fleet;
      for (const OutstandingRow& row : digest.outstanding)
        fleet.push_back({row.server, {row.requests, row.unreadTokens}});
      placement_.noteFleetLoad(fleet, receivedAt - std::chrono::microseconds(digest.ageMicros));
    }
    for (const PartEventBatch& batch : digest.batches) applyBatch(batch);
  });
}

void Relay::applyBatch(const PartEventBatch& batch) {
  if (isStore(batch.source)) placement_.setStoreReachable(batch.isReachable);
  // Without an incarnation the batch only says that the source is reachable.
  if (batch.isReachable && !batch.sourceIncarnation.empty())
    applyEvents(batch.source, fromBatch(batch));
}

void Relay::applyEvents(const ServerName& source, const PartEvents& partEvents) {
  ++counters_.eventBatches;
  const std::uint64_t before = placement_.gaps();
  placement_.applyPartEvents(source, partEvents);
  counters_.eventGaps += placement_.gaps() - before;
}

bool Relay::isStore(const ServerName& source) const {
  const auto& configuration = view_->configuration;
  return configuration && !configuration->stores.empty() &&
         configuration->stores.begin()->second.address.value == source.value;
}

// Regularly reports outstanding work and new cache events to the fleet.
awaitable<void> Relay::reportLoop() {
  for (;;) {
    co_await pauseFor(kReportInterval);
    if (!reporter_) continue;
    DataPlaneReport report;
    for (const ServerOutstanding& row : placement_.ownOutstanding())
      report.outstanding.push_back(
          {row.server, row.outstanding.requests, row.outstanding.pendingPrefillTokens});
    report.batches = std::exchange(unreportedBatches_, {});
    reporter_(std::move(report));
  }
}

// Polls each assigned source at its interval.
awaitable<void> Relay::eventLoop() {
  std::map<ServerName, Instant> nextPollAt;
  for (;;) {
    const auto currentView = view_;
    const Instant now = BootClock::now();
    std::erase_if(nextPollAt,
                  [&](const auto& row) { return !currentView->eventSources.contains(row.first); });
    std::erase_if(feedPausedUntil_, [&](const auto& row) { return row.second <= now; });
    for (const ServerName& source : currentView->eventSources) {
      const Duration interval = isStore(source) ? kStorePollInterval : kServerPollInterval;
      // Spread over the interval, so that sources are not all polled at once.
      const auto [pollAt, isNew] =
          nextPollAt.try_emplace(source, now + interval * (random_() % 100) / 100);
      if (isNew || now < pollAt->second) continue;
      pollAt->second = now + interval;
      const auto paused = feedPausedUntil_.find(source);
      if (paused != feedPausedUntil_.end() && now < paused->second) continue;
      spawnTask(io_, "reading cache events", pullEvents(source));
    }
    co_await pauseFor(kCheckInterval);
  }
}

// Reads new events from one source, applies them and queues them for the next report.
awaitable<void> Relay::pullEvents(ServerName source) {
  const std::uint64_t since = placement_.eventPosition(source);
  const auto body = co_await fetchEvents(source, since);
  PartEventBatch batch;
  batch.source = source;
  batch.isReachable = body.ok();
  if (body.ok() && !body->empty()) {
    auto partEvents = dialect_.partEvents->parse(*body);
    if (!partEvents.ok()) co_return;
    partEvents->first = since;
    applyEvents(source, *partEvents);
    truncateToNewest(&*partEvents);
    batch = toBatch(source, *partEvents);
  }
  if (isStore(source)) placement_.setStoreReachable(batch.isReachable);
  const bool isShareable = isStore(source) || (batch.isReachable && !batch.groups.empty());
  const bool isShared = settings_.mechanisms.isEnabled(Mechanism::SharedEvents);
  if (isShareable && isShared && reporter_) unreportedBatches_.push_back(std::move(batch));
}

// Requests events from a source. Returns the body of a successful response, "" for any other
// response, and an error if the source is unreachable.
awaitable<absl::StatusOr<std::string>> Relay::fetchEvents(ServerName source, std::uint64_t since) {
  auto connection = pool_.acquireIdle(source, BootClock::now());
  if (!connection) {
    auto connected = co_await pool_.connect(source, kFetchTimeout);
    if (!connected.ok()) co_return connected.status();
    connection = std::move(*connected);
  }
  auto openSocket = std::make_shared<Tcp::socket*>(&connection->socket);
  asio::steady_timer timer(io_);
  timer.expires_after(kFetchTimeout);
  timer.async_wait([openSocket](const ErrorCode& code) {
    ErrorCode ignored;
    if (!code && *openSocket) (*openSocket)->close(ignored);
  });
  const std::string text = "GET " + dialect_.partEvents->target(since) +
                           " HTTP/1.1\r\nHost: " + source.value + "\r\n\r\n";
  ErrorCode code;
  co_await asio::async_write(connection->socket, asio::buffer(text), into(code));
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxFeedBytes);
  ByteBudget::Share share = answers_.open();
  if (!code)
    co_await http::async_read_header(connection->socket, connection->buffer, parser, into(code));
  // A local variable, because GCC 12 destroys temporaries in a co_await expression twice.
  const std::function<bool()> isOpen = [openSocket] { return (*openSocket)->is_open(); };
  if (!code)
    co_await readBodyWithin(connection->socket, connection->buffer, parser, share, &code, isOpen);
  *openSocket = nullptr;
  timer.cancel();
  AnswerFault fault = faultOf(code);
  const bool isTimedOut = !connection->socket.is_open();
  if (isTimedOut && !parser.get().body().empty()) fault = AnswerFault::Body;
  if (fault != AnswerFault::None) {
    answerFaults_.note(source, fault);
    feedPausedUntil_[source] = BootClock::now() + kFeedFaultPause;
  }
  if (code) co_return absl::UnavailableError("cache events: " + code.message());
  std::string body = parser.get().result_int() == 200 ? parser.get().body() : std::string{};
  if (parser.get().keep_alive())
    pool_.returnIdle(source, std::move(connection), std::nullopt, BootClock::now());
  co_return body;
}

}  // namespace quayrill
