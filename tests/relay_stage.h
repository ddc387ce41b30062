#pragma once
// A whole relay between a scripted agent, servers that answer byte for byte as scripted, and raw
// callers on loopback.
#include "proxy_stage.h"
#include "relay/relay.h"

namespace quayrill::tests {

inline HeaderNames relayTestNames() {
  HeaderNames names;
  names.requestId = "X-Id";
  names.dueMs = "X-Due";
  names.key = "X-Key";
  names.tenant = "X-Tenant";
  names.prefix = "X-Prefix";
  names.model = "X-Model";
  names.lastEventId = "Last-Event-Id";
  names.tokenCount = "X-Tokens";
  names.identityWanted = "X-Want-Identity";
  names.weightsWanted = "X-Want-Weights";
  names.salt = "X-Salt";
  names.fetchSource = "X-Fetch";
  names.keepAt = "X-Keep";
  names.urgency = "X-Urgency";
  names.seal = "X-Seal";
  names.load = "X-Load";
  names.notRun = "X-Not-Run";
  names.identity = "X-Identity";
  names.weights = "X-Weights";
  return names;
}

// What a server sends for a request; afterwards it closes or waits for the next.
struct Reply {
  std::string bytes;
  bool closes = false;
  bool hangs = false;  // says nothing more until the other end closes
};

inline std::string headerIn(const std::string& head, const std::string& name) {
  const auto at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos) return "";
  const auto start = at + name.size() + 4;
  return head.substr(start, head.find("\r\n", start) - start);
}

inline std::string chunked(const std::vector<std::string>& parts, bool ends = true) {
  std::ostringstream out;
  for (const std::string& part : parts) out << std::hex << part.size() << "\r\n" << part << "\r\n";
  if (ends) out << "0\r\n\r\n";
  return out.str();
}
inline std::string event(int id) {
  return "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) + "\n\n";
}
inline std::string streamHead(const std::string& request, const std::string& seal = "s1") {
  return "HTTP/1.1 200 OK\r\nX-Id: " + headerIn(request, "X-Id") + "\r\nX-Seal: " + seal +
         "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}
inline std::string plain(const std::string& request, int status, const std::string& more = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Id: " + headerIn(request, "X-Id") +
         "\r\n" + more + "Content-Length: 2\r\n\r\nno";
}

struct ByteServer {
  using Script = std::function<Reply(int arrival, const std::string& request)>;
  asio::io_context& io;
  Address address;
  Tcp::acceptor acceptor;
  std::mutex mutex;
  Script script;
  std::vector<std::string> requests;
  std::atomic<int> connections{0}, closed{0};
  std::atomic<int> arrived{0};         // requests read, also those whose script still runs
  std::weak_ptr<Tcp::socket> hanging;  // the connection that hung last

  ByteServer(asio::io_context& context, Address at)
      : io(context), address(std::move(at)), acceptor(context) {
    REQUIRE(listenAt(acceptor, address, 16).ok());
    asio::co_spawn(io, accept(), asio::detached);
  }
  awaitable<void> accept() {
    for (;;) {
      Tcp::socket socket(io);
      ErrorCode code;
      co_await acceptor.async_accept(socket, into(code));
      if (code) co_return;
      ++connections;
      asio::co_spawn(io, serve(std::move(socket)), asio::detached);
    }
  }
  awaitable<void> serve(Tcp::socket accepted) {
    const auto kept = std::make_shared<Tcp::socket>(std::move(accepted));
    Tcp::socket& socket = *kept;
    std::string held;
    for (;;) {
      ErrorCode code;
      const auto size = co_await asio::async_read_until(socket, asio::dynamic_buffer(held),
                                                        "\r\n\r\n", into(code));
      if (code) break;
      std::string request = held.substr(0, size);
      held.erase(0, size);
      const std::string length = headerIn(request, "Content-Length");
      const std::size_t body = length.empty() ? 0 : std::stoul(length);
      if (held.size() < body)
        co_await asio::async_read(socket, asio::dynamic_buffer(held),
                                  asio::transfer_exactly(body - held.size()), into(code));
      if (code) break;
      request += held.substr(0, body);
      held.erase(0, body);
      Reply reply;
      ++arrived;
      {
        std::lock_guard lock(mutex);
        requests.push_back(request);
        reply = script(static_cast<int>(requests.size()), request);
      }
      if (reply.hangs) hanging = kept;
      co_await asio::async_write(socket, asio::buffer(reply.bytes), into(code));
      if (code || reply.closes) break;
      if (reply.hangs) {
        char byte;
        co_await asio::async_read(socket, asio::buffer(&byte, 1), into(code));
        break;
      }
    }
    ++closed;
  }
  // On the connection that hung last.
  void sendMore(std::string bytes) {
    asio::post(io, [this, bytes = std::move(bytes)] {
      ErrorCode code;
      if (const auto socket = hanging.lock()) asio::write(*socket, asio::buffer(bytes), code);
    });
  }
  std::vector<std::string> seen() {
    std::lock_guard lock(mutex);
    return requests;
  }
  void answer(Script next) {
    std::lock_guard lock(mutex);
    script = std::move(next);
  }
};

struct RelayStage {
  asio::io_context io;
  std::vector<std::unique_ptr<ByteServer>> servers;
  std::unique_ptr<Relay> relay;
  std::thread thread;
  Address callers = localAddress(1, 7202), ready = localAddress(1, 7203);
  Spec spec;
  Snapshot told;

  // `isTold` false: the relay has heard nothing of its agent.
  explicit RelayStage(int count, std::chrono::milliseconds grace = 60s, bool isTold = true) {
    spec.weights[ModelName{"m"}] = WeightsVersion{"1"};
    spec.tenants[TenantName{"north"}] = {};
    spec.tenants[TenantName{"hill"}].isolated = true;
    spec.tenantOfDigest[keyDigest("key")] = TenantName{"north"};
    spec.tenantOfDigest[keyDigest("hill-key")] = TenantName{"hill"};
    addRoute("/once/", false, 1);
    addRoute("/twice/", false, 2);
    addRoute("/again/", true, 2);
    spec.services[ServiceName{"svc"}] = {};
    told.specVersion = 1;
    told.specBody = "any";
    told.confirmedAgoMicros = told.listedAgoMicros = 0;
    for (int i = 0; i < count; ++i) {
      servers.push_back(std::make_unique<ByteServer>(io, localAddress(20 + i, 7400)));
      servers.back()->answer([](int, const std::string& request) {
        return Reply{streamHead(request) + chunked({event(1), event(2), event(3)})};
      });
      SnapshotServer row;
      row.name = ServerName{servers.back()->address.value};
      row.service = ServiceName{"svc"};
      row.identity = ServerIdentity{"i" + std::to_string(i)};
      row.model = ModelName{"m"};
      row.weights = WeightsVersion{"1"};
      row.sound = true;
      row.slots = 4;
      row.cacheTokens = 100000;
      told.servers.push_back(row);
    }
    thread = std::thread([this] { io.run(); });
    Boot boot;
    boot.callers = callers;
    boot.ready = ready;
    boot.trafficThreads = 1;
    boot.extraShare = 1;
    boot.extraSlack = 160;
    boot.grace = grace;
    Dialect dialect = ownDialect();
    dialect.relayNames = relayTestNames();
    dialect.readSpec = [this](const std::string&) -> absl::StatusOr<Spec> { return spec; };
    relay = std::make_unique<Relay>(boot, dialect);
    REQUIRE(relay->start().ok());
    if (isTold) tell();
  }
  ~RelayStage() {
    relay.reset();
    io.stop();
    thread.join();
  }
  void addRoute(const std::string& prefix, bool resumable, std::size_t tries) {
    Contract contract;
    contract.isStream = true;
    contract.isResumable = contract.repeatable = resumable;
    contract.tries = tries;
    contract.target = 5000ms;
    spec.contracts[ContractName{prefix}] = contract;
    Route route{prefix, "h.example", prefix, ContractName{prefix}, {{ServiceName{"svc"}, 1}}};
    spec.routes.push_back(route);
    sortRoutes(&spec);
  }
  // Hands the present state on and waits until it is in force.
  void tell() {
    relay->takeSnapshot(told, BootClock::now());
    waitReady(200);
  }
  void waitReady(unsigned status) {
    eventually([&] {
      const std::string answer =
          ask(ready, "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
      return answer.find(" " + std::to_string(status) + " ") != std::string::npos;
    });
  }
  // Everything that comes back until the other end closes.
  static std::string ask(const Address& to, const std::string& text) {
    asio::io_context own;
    Tcp::socket socket(own);
    ErrorCode code;
    socket.connect(endpointOf(to), code);
    asio::write(socket, asio::buffer(text), code);
    std::string bytes;
    asio::read(socket, asio::dynamic_buffer(bytes), code);
    return bytes;
  }
  static std::string request(const std::string& path, const std::string& id,
                             const std::string& more = "X-Key: key\r\n", bool closes = true) {
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Id: " + id + "\r\nX-Model: m\r\n" +
           "X-Prefix: aa:320,bb:64\r\n" + more + (closes ? "Connection: close\r\n" : "") +
           "Content-Length: 2\r\n\r\n{}";
  }
  std::string post(const std::string& path, const std::string& id,
                   const std::string& more = "X-Key: key\r\n") {
    return ask(callers, request(path, id, more));
  }
  int arrivals() {
    std::size_t sum = 0;
    for (auto& server : servers) sum += server->seen().size();
    return static_cast<int>(sum);
  }
  void all(const ByteServer::Script& script) {
    for (auto& server : servers) server->answer(script);
  }
};

inline bool endsWhole(const std::string& answer) {
  return answer.size() > 5 && answer.substr(answer.size() - 5) == "0\r\n\r\n";
}
inline int statusOf(const std::string& answer) {
  return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
}

}  // namespace quayrill::tests
