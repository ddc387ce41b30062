#pragma once
// A pool of connections to servers that are reused between requests. Owned by one traffic thread.
#include <absl/status/statusor.h>

#include <list>
#include <map>
#include <memory>
#include <optional>

#include "net/read_buffer.h"

namespace quayrill {

// A connection to a server. It carries one request at a time. `buffer` holds bytes received after
// the last response.
struct ServerConnection {
  explicit ServerConnection(asio::io_context& io) : socket(io) {}
  Tcp::socket socket;
  ReadBuffer buffer;
  std::size_t responsesRead = 0;  // responses read completely on it
  Instant usableUntil{};          // the other end may close it if it is idle after this
  // The request that was answered last; "" if it was not a caller's request.
  RequestId lastRequest;
};

// Idle connections by server.
class ConnectionPool {
 public:
  // `maxIdle`: how many idle connections to keep per server. `idleTimeout`: how long to keep one if
  // the server does not specify a time.
  ConnectionPool(asio::io_context& io, std::size_t maxIdle, Duration idleTimeout)
      : io_(io), maxIdle_(maxIdle), idleTimeout_(idleTimeout) {}

  // Returns the most recently used idle connection that the other end has neither closed nor sent
  // data on, or nullptr. Skips a connection whose last response was to `request`: a late duplicate
  // of that response would have the same id.
  std::unique_ptr<ServerConnection> acquireIdle(const ServerName& server, Instant now,
                                                const RequestId& request = {});
  // Opens a new connection. The error says why it was not established within `timeout`.
  awaitable<absl::StatusOr<std::unique_ptr<ServerConnection>>> connect(const ServerName& server,
                                                                       Duration timeout);
  // Returns a connection to the pool. `keepFor`: the idle time that the server announced, if any.
  void returnIdle(const ServerName& server, std::unique_ptr<ServerConnection> connection,
                  std::optional<Duration> keepFor, Instant now);
  // Closes connections that have been idle for too long.
  void closeExpired(Instant now);
  // Closes all idle connections to a server.
  void dropIdle(const ServerName& server) { idle_.erase(server); }
  // The number of connections opened so far.
  std::uint64_t opened() const { return opened_; }

 private:
  asio::io_context& io_;
  std::size_t maxIdle_;
  Duration idleTimeout_;
  std::uint64_t opened_ = 0;
  // Least recently used first; at most maxIdle_ per server.
  std::map<ServerName, std::list<std::unique_ptr<ServerConnection>>> idle_;
};

}  // namespace quayrill
