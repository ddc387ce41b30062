#pragma once
// Clients that use an open connection to a daemon without a pause until the daemon closes it, and
// then open the next one. A daemon that leaves has to do so beside them.
#include "fleet/ledger.h"
#include "net/http.h"

namespace quayrill::fleet {

// Runs on the single thread of `io`.
class ConnectionKeeper {
 public:
  ConnectionKeeper(asio::io_context& io, Ledger& ledger) : io_(io), ledger_(ledger) {}
  // Starts a client that sends GET requests for `target` to a daemon, one after the other.
  // `callers` is the daemon's name in the ledger, `address` where the requests go.
  void start(const Address& callers, const Address& address, const std::string& target);

 private:
  awaitable<void> keepConnected(Address callers, Address address, std::string target);
  // Uses one connection until it fails.
  awaitable<void> useConnection(const Address& callers, Connection& connection,
                                const HttpRequest& request);

  asio::io_context& io_;
  Ledger& ledger_;
};

}  // namespace quayrill::fleet
