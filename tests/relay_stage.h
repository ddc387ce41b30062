#pragma once
// A complete relay on loopback with a scripted agent, servers that respond byte for byte as
// scripted, and raw callers.
#include "byte_server.h"
#include "proxy_stage.h"
#include "relay/relay.h"

namespace quayrill::tests {

inline HeaderNames relayTestNames() {
  HeaderNames names;
  names.requestId = "X-Id";
  names.timeoutMs = "X-Due";
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

// Runs a relay, its servers, and three routes: /once/ and /twice/ are not repeatable and allow one
// and two attempts; /again/ is repeatable and resumable.
struct RelayStage {
  asio::io_context io;
  std::vector<std::unique_ptr<ByteServer>> servers;
  std::unique_ptr<Relay> relay;
  std::thread thread;
  Address callers = localAddress(1, 7202), ready = localAddress(1, 7203);
  Configuration configuration;
  Snapshot snapshot;
  Duration grace{};  // for beginLeaving()
  // What a server's report tells of its queue; empty: servers don't tell.
  std::function<absl::StatusOr<std::uint32_t>()> onReadQueued;
  // Called on the relay's traffic thread whenever it reads a configuration.
  std::function<void()> onReadConfiguration = [] {};

  // `hasSnapshot` false: the relay has received nothing from its agent. `retryShare`: the share of
  // requests that may be retried. The default allows the retries of every test. `memoryLimit`: 0
  // for that of the machine.
  explicit RelayStage(int count, std::chrono::milliseconds grace = 60s, bool hasSnapshot = true,
                      double retryShare = 20, std::chrono::milliseconds stalenessLimit = 2s,
                      std::size_t memoryLimit = 0, const Mechanisms& mechanisms = {})
      : grace(grace) {
    configuration.weights[ModelName{"m"}] = WeightsVersion{"1"};
    configuration.tenants[TenantName{"north"}] = {};
    configuration.tenants[TenantName{"hill"}].isolated = true;
    configuration.tenantByKeyDigest[keyDigest("key")] = TenantName{"north"};
    configuration.tenantByKeyDigest[keyDigest("hill-key")] = TenantName{"hill"};
    deriveSharedScope(&configuration);
    addRoute("/once/", false, 1);
    addRoute("/twice/", false, 2);
    addRoute("/again/", true, 2);
    configuration.services[ServiceName{"svc"}] = {};
    snapshot.configurationVersion = 1;
    snapshot.configurationBody = "any";
    snapshot.confirmedAgoMicros = snapshot.listedAgoMicros = 0;
    for (int i = 0; i < count; ++i) {
      servers.push_back(std::make_unique<ByteServer>(io, localAddress(20 + i, 7400)));
      servers.back()->setScript([](int, const std::string& request) {
        return Reply{streamHead(request) + chunked({event(1), event(2), event(3)})};
      });
      SnapshotServer row;
      row.name = ServerName{servers.back()->address.value};
      row.service = ServiceName{"svc"};
      row.identity = ServerIdentity{"i" + std::to_string(i)};
      row.model = ModelName{"m"};
      row.weights = WeightsVersion{"1"};
      row.healthy = true;
      row.slots = 4;
      row.cacheTokens = 100000;
      snapshot.servers.push_back(row);
    }
    thread = std::thread([this] { io.run(); });
    Settings settings;
    settings.callerAddress = callers;
    settings.readinessAddress = ready;
    settings.trafficThreads = 1;
    settings.retryShare = retryShare;
    settings.shutdownGrace = grace;
    settings.stalenessLimit = stalenessLimit;
    settings.memoryLimit = memoryLimit;
    settings.mechanisms = mechanisms;
    Dialect dialect = nativeDialect();
    dialect.relayHeaderNames = relayTestNames();
    dialect.readConfiguration = [this](const std::string&) -> absl::StatusOr<Configuration> {
      onReadConfiguration();
      return configuration;
    };
    dialect.readQueued = [this](Address, ServerIdentity,
                                Duration) -> awaitable<absl::StatusOr<std::uint32_t>> {
      if (onReadQueued) co_return onReadQueued();
      co_return absl::UnavailableError("no report");
    };
    relay = std::make_unique<Relay>(settings, dialect);
    REQUIRE(relay->start().ok());
    if (hasSnapshot) publishSnapshot();
  }
  ~RelayStage() {
    relay.reset();
    io.stop();
    thread.join();
  }
  void addRoute(const std::string& prefix, bool resumable, std::size_t tries) {
    RoutePolicy policy;
    policy.isStream = true;
    policy.isResumable = policy.repeatable = resumable;
    policy.tries = tries;
    policy.firstEventTarget = 5000ms;
    configuration.policies[PolicyName{prefix}] = policy;
    Route route{prefix, "h.example", prefix, PolicyName{prefix}, {{ServiceName{"svc"}, 1}}};
    configuration.routes.push_back(route);
    sortRoutes(&configuration);
  }
  // Passes the current snapshot to the relay and waits until it is in force.
  void publishSnapshot() {
    relay->applySnapshot(snapshot, BootClock::now());
    waitReady(200);
  }
  void waitReady(unsigned status) {
    eventually([&] {
      const std::string answer =
          exchange(ready, "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
      return answer.find(" " + std::to_string(status) + " ") != std::string::npos;
    });
  }
  // Sends `text` and returns everything received until the other end closes.
  static std::string exchange(const Address& to, const std::string& text) {
    asio::io_context callerIo;
    Tcp::socket socket(callerIo);
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
    return exchange(callers, request(path, id, more));
  }
  // The number of requests that have reached any server.
  int arrivals() {
    std::size_t sum = 0;
    for (auto& server : servers) sum += server->received().size();
    return static_cast<int>(sum);
  }
  void setScript(const ByteServer::Script& script) {
    for (auto& server : servers) server->setScript(script);
  }
};

// True if the response ends with the last chunk of a chunked body.
inline bool endsWhole(const std::string& answer) {
  return answer.size() > 5 && answer.substr(answer.size() - 5) == "0\r\n\r\n";
}
inline int statusOf(const std::string& answer) {
  return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
}

}  // namespace quayrill::tests
