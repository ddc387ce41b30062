#include "fleet/stand_in_services.h"

namespace quayrill::fleet {

using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {
HttpServerSettings listenOn(const Address& address) {
  HttpServerSettings settings;
  settings.listen = address;
  return settings;
}
std::string ipOfCaller(Connection& connection) {
  ErrorCode code;
  return connection.socket().remote_endpoint(code).address().to_string();
}
awaitable<std::optional<HttpResponse>> neverAnswer() {
  co_await pauseFor(5s);
  co_return std::nullopt;
}
void setMembership(std::set<std::string>* members, const std::string& ip, bool isMember) {
  if (isMember)
    members->insert(ip);
  else
    members->erase(ip);
}
std::string ipOf(const std::string& address) { return address.substr(0, address.rfind(':')); }
}  // namespace

StandInStore::StandInStore(asio::io_context& io, Address address, std::size_t blockTokens)
    : blockTokens_(blockTokens) {
  server_ = std::make_unique<HttpServer>(
      io, listenOn(address),
      [this](Connection& connection,
             HttpRequest& request) -> awaitable<std::optional<HttpResponse>> {
        co_await pauseFor(delay_);
        if (cuts_.contains(ipOfCaller(connection))) co_return co_await neverAnswer();
        co_return co_await handle(request);
      });
}

void StandInStore::cut(const std::string& ip, bool cut) { setMembership(&cuts_, ip, cut); }
void StandInPlatform::cut(const std::string& ip, bool cut) { setMembership(&cuts_, ip, cut); }

awaitable<std::optional<HttpResponse>> StandInStore::handle(HttpRequest& request) {
  if (down_) co_return textResponse(503, "down\n");
  const Json json = Json::parse(request.body(), nullptr, false);
  const auto prefix = parsePrefix(json.is_object() ? json.value("prefix", "") : "?");
  if (!prefix.ok()) co_return textResponse(400, "bad call\n");
  const auto chain = blockChainOf(json.value("salt", ""), *prefix, blockTokens_);
  const std::string path = pathOf(request);
  const std::string weights = json.value("weights", "");
  if (path == "/keep") {
    if (storedWeights_.size() > 200000) storedWeights_.clear();
    for (const BlockHash hash : chain) storedWeights_[hash] = weights;
    co_return jsonResponse(200, Json::object());
  }
  if (path == "/kept") {
    std::size_t storedCount = 0;
    for (const BlockHash hash : chain) {
      const auto stored = storedWeights_.find(hash);
      if (stored == storedWeights_.end() || stored->second != weights) break;
      ++storedCount;
    }
    co_return jsonResponse(200, {{"tokens", storedCount * blockTokens_}});
  }
  Json blocks = Json::array();  // /kv-read: returns blocks under any weights
  for (const BlockHash hash : chain) {
    const auto stored = storedWeights_.find(hash);
    if (stored == storedWeights_.end()) break;
    blocks.push_back(stored->second);
  }
  co_return jsonResponse(200, {{"weights", blocks}});
}

StandInPlatform::StandInPlatform(asio::io_context& io, Address address) {
  server_ = std::make_unique<HttpServer>(
      io, listenOn(address),
      [this](Connection& connection, HttpRequest&) -> awaitable<std::optional<HttpResponse>> {
        if (down_ || cuts_.contains(ipOfCaller(connection))) co_return co_await neverAnswer();
        Json rows = Json::array();
        for (const auto& [name, row] : servers_)
          rows.push_back(
              {{"name", name}, {"zone", row.first}, {"state", row.second ? "leaving" : "live"}});
        co_return jsonResponse(200, {{"servers", rows}});
      });
}

absl::Status Relay::start() {
  if (auto status = listenAt(acceptor_, address_, 512); !status.ok()) return status;
  asio::co_spawn(io_, accept(), asio::detached);
  return absl::OkStatus();
}

void Relay::cut(const std::string& fromIp, const std::string& toIp, bool cut) {
  if (cut)
    cuts_.insert({fromIp, toIp});
  else
    cuts_.erase({fromIp, toIp});
}

bool Relay::isCut(const std::string& from, const std::string& to) const {
  return cuts_.contains({ipOf(from), ipOf(to)});
}

awaitable<void> Relay::accept() {
  for (;;) {
    ErrorCode code;
    Tcp::socket socket(io_);
    co_await acceptor_.async_accept(socket, into(code));
    if (!code) asio::co_spawn(io_, relayConnection(std::move(socket)), asio::detached);
  }
}

awaitable<void> Relay::relayConnection(Tcp::socket socket) {
  Connection client(std::move(socket));
  ErrorCode code;
  std::string line;
  client.expires_after(2s);
  co_await asio::async_read_until(client, asio::dynamic_buffer(line, 256), '\n', into(code));
  if (code) co_return;
  const auto end = line.find('\n');
  const auto separator = line.find(' ');
  if (separator == std::string::npos || separator > end) co_return;
  const std::string from = line.substr(0, separator);
  const std::string to = line.substr(separator + 1, end - separator - 1);
  std::string pending = line.substr(end + 1);
  // Data over a cut connection is discarded while the sender's side stays open, as on a failed
  // network path.
  Connection upstream(io_);
  const Tcp::endpoint endpoint = endpointOf(Address{to});
  upstream.expires_after(2s);
  co_await upstream.async_connect(endpoint, into(code));
  char block[16384];
  while (!code) {
    if (isCut(from, to)) {
      upstream.close();
      client.expires_after(60s);
      co_await client.async_read_some(asio::buffer(block), into(code));
      if (!isCut(from, to)) co_return;  // the cut has ended: the sender opens a new connection
      continue;
    }
    if (!pending.empty()) {
      upstream.expires_after(5s);
      co_await asio::async_write(upstream, asio::buffer(pending), into(code));
      pending.clear();
      continue;
    }
    client.expires_after(60s);
    const std::size_t received = co_await client.async_read_some(asio::buffer(block), into(code));
    pending.assign(block, received);
  }
}

}  // namespace quayrill::fleet
