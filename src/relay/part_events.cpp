// Cache events: read from the sources that fall to this daemon, told to the fleet, and taken from
// it. What this daemon's requests do at servers is told the same way.
#include "relay/part_event_batch.h"
#include "relay/relay.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Span kRound = 1s;          // ours: each source is asked once in this time
constexpr Span kStoreRound = 500ms;  // ours: requests wait at servers for a store that is down
constexpr Span kEventsDue = 500ms;
constexpr Span kPollInterval = 100ms;  // ours: for sources that are due
constexpr Span kReportEvery = 100ms;
}  // namespace

void Relay::takeDigest(PlaneDigest digest, Instant toldAt) {
  asio::post(io_, [this, digest = std::move(digest), toldAt] {
    ++counters_.fleetDigests;
    if (settings_.mechanisms.has(Mechanism::SharedLoad)) {
      std::vector<ServerOutstanding> fleet;
      for (const OutstandingRow& row : digest.outstanding)
        fleet.push_back({row.server, {row.requests, row.unreadTokens}});
      placement_.noteFleet(fleet, toldAt - std::chrono::microseconds(digest.agoMicros));
    }
    for (const PartEventBatch& batch : digest.batches) takeBatch(batch);
  });
}

void Relay::takeBatch(const PartEventBatch& batch) {
  if (isStore(batch.source)) placement_.noteStore(batch.isReachable);
  // Without a life nothing was told but that the source is there.
  if (batch.isReachable && !batch.life.empty()) takeEvents(batch.source, fromBatch(batch));
}

void Relay::takeEvents(const ServerName& source, const PartEvents& told) {
  ++counters_.eventBatches;
  const std::uint64_t before = placement_.gaps();
  placement_.takePartEvents(source, told);
  counters_.eventGaps += placement_.gaps() - before;
}

bool Relay::isStore(const ServerName& source) const {
  const auto& configuration = view_->configuration;
  return configuration && !configuration->stores.empty() &&
         configuration->stores.begin()->second.address.value == source.value;
}

awaitable<void> Relay::reportLoop() {
  for (;;) {
    co_await pauseFor(kReportEvery);
    if (!reporter_) continue;
    PlaneReport report;
    for (const ServerOutstanding& row : placement_.ownOutstanding())
      report.outstanding.push_back(
          {row.server, row.outstanding.requests, row.outstanding.unreadTokens});
    report.batches = std::exchange(readBatches_, {});
    reporter_(std::move(report));
  }
}

awaitable<void> Relay::eventLoop() {
  std::map<ServerName, Instant> dueAt;
  for (;;) {
    const auto seen = view_;
    const Instant now = BootClock::now();
    std::erase_if(dueAt, [&](const auto& row) { return !seen->eventSources.contains(row.first); });
    for (const ServerName& source : seen->eventSources) {
      const Span round = isStore(source) ? kStoreRound : kRound;
      // Spread from the start, so that sources are asked one after the other.
      const auto [due, isNew] = dueAt.try_emplace(source, now + round * (random_() % 100) / 100);
      if (isNew || now < due->second) continue;
      due->second = now + round;
      asio::co_spawn(io_, pullEvents(source), asio::detached);
    }
    co_await pauseFor(kPollInterval);
  }
}

awaitable<void> Relay::pullEvents(ServerName source) {
  const std::uint64_t since = placement_.eventPosition(source);
  const auto body = co_await askEvents(source, since);
  PartEventBatch batch;
  batch.source = source;
  batch.isReachable = body.ok();
  if (body.ok() && !body->empty()) {
    auto told = dialect_.partEvents->parse(*body);
    if (!told.ok()) co_return;
    told->first = since;
    takeEvents(source, *told);
    keepNewest(&*told);
    batch = toBatch(source, *told);
  }
  if (isStore(source)) placement_.noteStore(batch.isReachable);
  const bool isTold = isStore(source) || (batch.isReachable && !batch.groups.empty());
  const bool isShared = settings_.mechanisms.has(Mechanism::SharedEvents);
  if (isTold && isShared && reporter_) readBatches_.push_back(std::move(batch));
}

// The body of a successful answer, "" where the source has none now; an error where it can't be
// reached.
awaitable<absl::StatusOr<std::string>> Relay::askEvents(ServerName source, std::uint64_t since) {
  auto connection = pool_.takeIdle(source, BootClock::now());
  if (!connection) {
    auto connected = co_await pool_.connect(source, kEventsDue);
    if (!connected.ok()) co_return connected.status();
    connection = std::move(*connected);
  }
  auto open = std::make_shared<Tcp::socket*>(&connection->socket);
  asio::steady_timer timer(io_);
  timer.expires_after(kEventsDue);
  timer.async_wait([open](const ErrorCode& code) {
    ErrorCode ignored;
    if (!code && *open) (*open)->close(ignored);
  });
  const std::string text = "GET " + dialect_.partEvents->target(since) +
                           " HTTP/1.1\r\nHost: " + source.value + "\r\n\r\n";
  ErrorCode code;
  co_await asio::async_write(connection->socket, asio::buffer(text), into(code));
  http::response_parser<http::string_body> parser;
  parser.body_limit(4 << 20);
  if (!code) co_await http::async_read(connection->socket, connection->buffer, parser, into(code));
  *open = nullptr;
  timer.cancel();
  if (code) co_return absl::UnavailableError("cache events: " + code.message());
  std::string body = parser.get().result_int() == 200 ? parser.get().body() : std::string{};
  if (parser.get().keep_alive())
    pool_.give(source, std::move(connection), std::nullopt, BootClock::now());
  co_return body;
}

}  // namespace quayrill
