#pragma once
// Stand-ins for the store and the platform's server list, and the relay between daemons.
#include <map>
#include <memory>
#include <set>

#include "fleet/stand_in_server.h"

namespace quayrill::fleet {

// A cache store for prompt prefixes. It keeps only which blocks it holds, not their contents.
class StandInStore {
 public:
  StandInStore(asio::io_context& io, Address address, std::size_t blockTokens);
  absl::Status start() { return server_->start(); }
  // While down, all calls are answered with 503.
  void setDown(bool down) { down_ = down; }
  // The time before each answer.
  void setDelay(Duration delay) { delay_ = delay; }
  // Discards all blocks.
  void clear() { storedWeights_.clear(); }
  // Starts or ends withholding answers from a caller.
  void cut(const std::string& ip, bool cut);

 private:
  awaitable<std::optional<HttpResponse>> handle(HttpRequest& request);
  std::size_t blockTokens_;
  bool down_ = false;
  Duration delay_{};
  std::set<std::string> cuts_;  // IP addresses of callers that get no answer
  // By block: the weights under which it was last stored.
  std::map<BlockHash, std::string> storedWeights_;
  std::unique_ptr<HttpServer> server_;
};

// The platform's list of model servers.
class StandInPlatform {
 public:
  StandInPlatform(asio::io_context& io, Address address);
  absl::Status start() { return server_->start(); }
  void addServer(const std::string& server, const std::string& zone) {
    servers_[server] = {zone, false};
  }
  void markLeaving(const std::string& server) { servers_[server].second = true; }
  void remove(const std::string& server) { servers_.erase(server); }
  // While down, no call is answered.
  void setDown(bool down) { down_ = down; }
  // Starts or ends withholding answers from a caller.
  void cut(const std::string& ip, bool cut);
  bool isListed(const std::string& server) const { return servers_.contains(server); }
  // True if the server is listed and not leaving.
  bool isLive(const std::string& server) const {
    const auto row = servers_.find(server);
    return row != servers_.end() && !row->second.second;
  }

 private:
  // By server: its zone, and whether it is leaving.
  std::map<std::string, std::pair<std::string, bool>> servers_;
  bool down_ = false;
  std::set<std::string> cuts_;  // IP addresses of callers that get no answer
  std::unique_ptr<HttpServer> server_;
};

// A relay for the connections between daemons, which can be cut separately in each direction. Data
// sent over a cut connection is discarded, as on a failed network path.
class Relay {
 public:
  Relay(asio::io_context& io, Address address)
      : io_(io), address_(std::move(address)), acceptor_(io) {}
  absl::Status start();
  // Cuts or restores the connections in one direction.
  void cut(const std::string& fromIp, const std::string& toIp, bool cut);
  void healAll() { cuts_.clear(); }

 private:
  awaitable<void> accept();
  awaitable<void> relayConnection(Tcp::socket socket);
  bool isCut(const std::string& from, const std::string& to) const;
  asio::io_context& io_;
  Address address_;
  Tcp::acceptor acceptor_;
  // Pairs of the sender's and the receiver's IP address.
  std::set<std::pair<std::string, std::string>> cuts_;
};

}  // namespace quayrill::fleet
