#include "relay/connection_pool.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include "net/outgoing.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Duration kIdleMargin = 300ms;  // the other end started its idle timer slightly earlier
// What the system holds of an answer that isn't read yet counts as memory of this machine.
constexpr int kReceiveBufferBytes = 128 << 10;
constexpr int kUserTimeoutMs = 4000;

// True if the other end has neither sent data nor closed the connection.
bool isQuiet(Tcp::socket& socket) {
  char byte = 0;
  const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}
}  // namespace

std::unique_ptr<ServerConnection> ConnectionPool::acquireIdle(const ServerName& server, Instant now,
                                                              const RequestId& request) {
  const auto row = idle_.find(server);
  if (row == idle_.end()) return nullptr;
  auto& idle = row->second;
  for (auto at = idle.end(); at != idle.begin();) {
    --at;
    if (!request.value.empty() && (*at)->lastRequest == request) continue;
    auto connection = std::move(*at);
    at = idle.erase(at);
    if (now < connection->usableUntil && isQuiet(connection->socket)) return connection;
  }
  return nullptr;
}

awaitable<absl::StatusOr<std::unique_ptr<ServerConnection>>> ConnectionPool::connect(
    const ServerName& server, Duration timeout) {
  auto connection = std::make_unique<ServerConnection>(io_);
  Tcp::socket& socket = connection->socket;
  asio::steady_timer timer(io_);
  timer.expires_after(timeout);
  auto ended = std::make_shared<bool>(false);
  timer.async_wait([&socket, ended](const ErrorCode& code) {
    if (code || *ended) return;
    ErrorCode ignored;
    socket.close(ignored);
  });
  ErrorCode code;
  const Tcp::endpoint endpoint = endpointOf(Address{server.value});
  openOutgoing(socket, endpoint, Address{}, &code);
  socket.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes), code);
  co_await socket.async_connect(endpoint, into(code));
  *ended = true;
  timer.cancel();
  if (code) co_return absl::UnavailableError("connect: " + code.message());
  // The connection was established and the timer expired in the same iteration of the event loop.
  if (!socket.is_open()) co_return absl::UnavailableError("connect: too late");
  socket.set_option(Tcp::no_delay(true), code);
  socket.non_blocking(true, code);
  const int userTimeout = kUserTimeoutMs;
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeout,
               sizeof userTimeout);
  ++opened_;
  co_return connection;
}

void ConnectionPool::returnIdle(const ServerName& server,
                                std::unique_ptr<ServerConnection> connection,
                                std::optional<Duration> keepFor, Instant now) {
  const Duration usableFor = keepFor ? *keepFor - kIdleMargin : idleTimeout_;
  if (usableFor <= Duration{} || connection->buffer.size() > 0) return;
  connection->buffer.trim();
  connection->usableUntil = now + usableFor;
  ++connection->responsesRead;
  auto& row = idle_[server];
  row.push_back(std::move(connection));
  if (row.size() > maxIdle_) row.pop_front();
}

void ConnectionPool::closeExpired(Instant now) {
  for (auto row = idle_.begin(); row != idle_.end();) {
    row->second.remove_if([&](const auto& connection) { return now >= connection->usableUntil; });
    row = row->second.empty() ? idle_.erase(row) : std::next(row);
  }
}

}  // namespace quayrill
