#include "fleet/connection_keeper.h"

#include "net/read_buffer.h"

namespace quayrill::fleet {

using namespace std::chrono_literals;

namespace {
constexpr Duration kPauseBetweenRequests = 5ms;
constexpr Duration kPauseBeforeReconnecting = 100ms;
constexpr Duration kConnectTimeout = 1s;
constexpr Duration kAnswerTimeout = 8s;  // longer than any fault freezes a daemon
}  // namespace

void ConnectionKeeper::start(const Address& callers, const Address& address,
                             const std::string& target) {
  asio::co_spawn(io_, keepConnected(callers, address, target), asio::detached);
}

awaitable<void> ConnectionKeeper::keepConnected(Address callers, Address address,
                                                std::string target) {
  HttpRequest request(http::verb::get, target, 11);
  request.set(http::field::host, address.value);
  const Tcp::endpoint endpoint = endpointOf(address);
  for (;;) {
    Connection connection(io_);
    ErrorCode code;
    connection.expires_after(kConnectTimeout);
    co_await connection.async_connect(endpoint, into(code));
    if (!code) co_await useConnection(callers, connection, request);
    co_await pauseFor(kPauseBeforeReconnecting);
  }
}

awaitable<void> ConnectionKeeper::useConnection(const Address& callers, Connection& connection,
                                                const HttpRequest& request) {
  ReadBuffer buffer;
  for (;;) {
    KeptCallRow row;
    row.daemon = callers.value;
    row.begun = BootClock::now();
    ErrorCode code;
    connection.expires_after(kAnswerTimeout);
    co_await http::async_write(connection, request, into(code));
    if (code) co_return;
    http::response_parser<http::string_body> parser;
    co_await http::async_read(connection, buffer, parser, into(code));
    row.ended = BootClock::now();
    row.hasBegun = parser.got_some();
    row.complete = !code && parser.is_done();
    const bool staysOpen = row.complete && parser.keep_alive();
    ledger_.withLock([&](Ledger& ledger) { ledger.keptCalls.push_back(row); });
    if (!staysOpen) co_return;
    co_await pauseFor(kPauseBetweenRequests);
  }
}

}  // namespace quayrill::fleet
