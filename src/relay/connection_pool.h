#pragma once
// Connections to servers, kept between requests. Owned by one traffic thread.
#include <absl/status/statusor.h>

#include <list>
#include <map>
#include <memory>
#include <optional>

#include "net/asio.h"

namespace quayrill {

// One request at a time; `buffer` holds bytes that came behind the last answer.
struct ServerConnection {
  explicit ServerConnection(asio::io_context& io) : socket(io) {}
  Tcp::socket socket;
  beast::flat_buffer buffer;
  std::size_t responsesRead = 0;  // answers read to their end on it
  Instant usableUntil{};          // idle past this it may be closed at the other end
  RequestId lastRequest;          // the one answered last; "" where it was none of a caller's
};

class ConnectionPool {
 public:
  // `maxIdle`: connections kept idle for one server. `idleTimeout`: how long one is kept where the
  // server names no time.
  ConnectionPool(asio::io_context& io, std::size_t maxIdle, Span idleTimeout)
      : io_(io), mostIdle_(maxIdle), idleSpan_(idleTimeout) {}

  // The idle connection used last, if the other end has neither closed it nor sent anything. One
  // that answered `request` before is passed over: a late answer would bear the same id.
  std::unique_ptr<ServerConnection> acquireIdle(const ServerName& server, Instant now,
                                                const RequestId& request = {});
  // A new one; the error says why it did not come up within `due`.
  awaitable<absl::StatusOr<std::unique_ptr<ServerConnection>>> connect(const ServerName& server,
                                                                       Span due);
  // `keepFor`: what the server said of idle connections; nothing where it said nothing.
  void returnIdle(const ServerName& server, std::unique_ptr<ServerConnection> connection,
                  std::optional<Span> keepFor, Instant now);
  // Closes what has been idle too long.
  void closeExpired(Instant now);
  void dropIdle(const ServerName& server) { idle_.erase(server); }
  std::uint64_t opened() const { return opened_; }

 private:
  asio::io_context& io_;
  std::size_t mostIdle_;
  Span idleSpan_;
  std::uint64_t opened_ = 0;
  // Oldest first; at most mostIdle_ each.
  std::map<ServerName, std::list<std::unique_ptr<ServerConnection>>> idle_;
};

}  // namespace quayrill
