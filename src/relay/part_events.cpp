// Asks servers and the store, one after the other, what changed among the parts that they keep.
#include "relay/relay.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Span kRound = 2s;  // ours: each server is asked once in this time
constexpr Span kEventsDue = 500ms;
}  // namespace

awaitable<void> Relay::eventLoop() {
  std::size_t turn = random_();
  for (;;) {
    const auto seen = view_;
    const bool hasStore = seen->configuration && !seen->configuration->stores.empty();
    const std::size_t sources = seen->servers.size() + (hasStore ? 1 : 0);
    if (sources == 0) {
      co_await pauseFor(200ms);
      continue;
    }
    const std::size_t chosen = ++turn % sources;
    const bool isStore = chosen == seen->servers.size();
    if (isStore || (!seen->servers[chosen].switching && seen->servers[chosen].healthy)) {
      ServerName name = isStore
                            ? ServerName{seen->configuration->stores.begin()->second.address.value}
                            : seen->servers[chosen].name;
      asio::co_spawn(io_, pullEvents(std::move(name), isStore), asio::detached);
    }
    co_await pauseFor(kRound / static_cast<int>(sources));
  }
}

awaitable<void> Relay::pullEvents(ServerName server, bool isStore) {
  const std::uint64_t since = placement_.eventPosition(server);
  auto connection = pool_.takeIdle(server, BootClock::now());
  if (!connection) {
    auto connected = co_await pool_.connect(server, kEventsDue);
    if (!connected.ok()) {
      if (isStore) placement_.noteStore(false);
      co_return;
    }
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
                           " HTTP/1.1\r\nHost: " + server.value + "\r\n\r\n";
  ErrorCode code;
  co_await asio::async_write(connection->socket, asio::buffer(text), into(code));
  http::response_parser<http::string_body> parser;
  parser.body_limit(4 << 20);
  if (!code) co_await http::async_read(connection->socket, connection->buffer, parser, into(code));
  *open = nullptr;
  timer.cancel();
  if (isStore) placement_.noteStore(!code);
  if (code) co_return;
  if (parser.get().result_int() == 200) {
    const auto told = dialect_.partEvents->parse(parser.get().body());
    if (told.ok()) {
      const std::uint64_t before = placement_.gaps();
      placement_.takePartEvents(server, *told);
      counters_.eventGaps += placement_.gaps() - before;
    }
  }
  if (parser.get().keep_alive())
    pool_.give(server, std::move(connection), std::nullopt, BootClock::now());
}

}  // namespace quayrill
