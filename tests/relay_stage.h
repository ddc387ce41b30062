#pragma once
// A whole relay between a scripted agent, servers that answer byte for byte as scripted, and raw
// callers on loopback.
#include "byte_server.h"
#include "proxy_stage.h"
#include "relay/relay.h"

namespace quayrill::tests {

inline HeaderNames relayTestNames() {
  HeaderNames names;
  names.requestId = "X-Id";
  names.deadlineMs = "X-Due";
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

struct RelayStage {
  asio::io_context io;
  std::vector<std::unique_ptr<ByteServer>> servers;
  std::unique_ptr<Relay> relay;
  std::thread thread;
  Address callers = localAddress(1, 7202), ready = localAddress(1, 7203);
  Configuration configuration;
  Snapshot told;
  // Called on the relay's own thread as it reads a configuration.
  std::function<void()> whileReading = [] {};

  // `isTold` false: the relay has heard nothing of its agent. `extraShare`: of the budget for extra
  // tries; the default lets every test's further tries pass.
  explicit RelayStage(int count, std::chrono::milliseconds grace = 60s, bool isTold = true,
                      double extraShare = 20) {
    configuration.weights[ModelName{"m"}] = WeightsVersion{"1"};
    configuration.tenants[TenantName{"north"}] = {};
    configuration.tenants[TenantName{"hill"}].isolated = true;
    configuration.tenantOfDigest[keyDigest("key")] = TenantName{"north"};
    configuration.tenantOfDigest[keyDigest("hill-key")] = TenantName{"hill"};
    addRoute("/once/", false, 1);
    addRoute("/twice/", false, 2);
    addRoute("/again/", true, 2);
    configuration.services[ServiceName{"svc"}] = {};
    told.configurationVersion = 1;
    told.configurationBody = "any";
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
      row.healthy = true;
      row.slots = 4;
      row.cacheTokens = 100000;
      told.servers.push_back(row);
    }
    thread = std::thread([this] { io.run(); });
    Settings settings;
    settings.callers = callers;
    settings.ready = ready;
    settings.trafficThreads = 1;
    settings.extraShare = extraShare;
    settings.grace = grace;
    Dialect dialect = nativeDialect();
    dialect.relayHeaderNames = relayTestNames();
    dialect.readConfiguration = [this](const std::string&) -> absl::StatusOr<Configuration> {
      whileReading();
      return configuration;
    };
    relay = std::make_unique<Relay>(settings, dialect);
    REQUIRE(relay->start().ok());
    if (isTold) tell();
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
    policy.target = 5000ms;
    configuration.policies[PolicyName{prefix}] = policy;
    Route route{prefix, "h.example", prefix, PolicyName{prefix}, {{ServiceName{"svc"}, 1}}};
    configuration.routes.push_back(route);
    sortRoutes(&configuration);
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
