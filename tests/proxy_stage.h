#pragma once
// Test fixture: a complete proxy with a fake agent and fake model servers on loopback.
#include <unistd.h>
#include <catch2/catch.hpp>

#include <thread>

#include "base/digest.h"
#include "proxy/proxy.h"

namespace quayrill::tests {

using namespace std::chrono_literals;
using Json = nlohmann::json;

// Derives the address from the process id, so that test processes can run in parallel.
inline Address localAddress(int host, int port) {
  const int process = static_cast<int>(::getpid());
  return Address{"127." + std::to_string(100 + process / 250 % 100) + "." +
                 std::to_string(process % 250) + "." + std::to_string(host) + ":" +
                 std::to_string(port)};
}

// What a fake model server does with a request: answers it, answers that it did not run it, closes
// the connection without an answer, or keeps the connection open without an answer.
enum class ServerBehavior { Answer, NotRun, Vanish, Hang };

// A model server that counts requests and handles them according to `behavior`.
struct FakeModelServer {
  Address address;
  std::atomic<ServerBehavior> behavior{ServerBehavior::Answer};
  std::atomic<int> arrivals{0};
  std::unique_ptr<HttpServer> server;
  std::mutex saltMutex;
  std::string salt;  // of the last request

  FakeModelServer(asio::io_context& io, Address at) : address(std::move(at)) {
    HttpServerSettings settings;
    settings.listen = address;
    server = std::make_unique<HttpServer>(
        io, settings, [this](Connection&, HttpRequest& request) { return respond(request); });
    REQUIRE(server->start().ok());
  }
  std::string lastSalt() {
    std::lock_guard lock(saltMutex);
    return salt;
  }
  awaitable<std::optional<HttpResponse>> respond(HttpRequest& request) {
    if (pathOf(request) != wire::kGenerate) co_return textResponse(404, "");
    ++arrivals;
    {
      std::lock_guard lock(saltMutex);
      salt = std::string(request[wire::kSalt]);
    }
    const ServerBehavior current = behavior.load();
    if (current == ServerBehavior::Vanish) co_return std::nullopt;
    if (current == ServerBehavior::Hang) {  // until the behavior is changed
      while (behavior.load() == ServerBehavior::Hang) co_await pauseFor(5ms);
      co_return std::nullopt;
    }
    if (current == ServerBehavior::NotRun) {
      HttpResponse response = jsonResponse(503, Json::object());
      response.set(wire::kNotRun, "true");
      co_return response;
    }
    HttpResponse response = textResponse(200, "{\"piece\":0}\n{\"end\":true,\"pieces\":1}\n");
    response.set(wire::kRequestId, request[wire::kRequestId]);
    response.set(wire::kWeights, request[wire::kWeights]);
    co_return response;
  }
};

// A configuration in which `key` belongs to tenant "north"; empty: the tenant has no key.
inline std::string configurationBody(const std::string& key) {
  const Json keys = key.empty() ? Json::array() : Json{keyDigest(key)};
  return Json{
      {"models", {{"till", {{"weights", "w1"}}}}},
      {"tenants",
       {{"north", {{"keys", keys}, {"concurrency", 2}}},
        {"hill", {{"keys", {keyDigest("hill-key")}}, {"isolated", true}}}}},
      {"contracts",
       {{"slow", {{"model", "till"}, {"repeatable", false}, {"due_ms", 60000}}},
        {"once", {{"model", "till"}, {"repeatable", false}, {"tries", 3}, {"due_ms", 1500}}},
        {"again",
         {{"model", "till"},
          {"repeatable", true},
          {"tries", 3},
          {"due_ms", 20000},
          {"body_limit", 100}}}}},
      {"ways", {{"once", "once"}, {"again", "again"}, {"slow", "slow"}}}}
      .dump();
}

// Waits until the condition holds. The timeout is generous, for heavily loaded machines.
inline void eventually(const std::function<bool()>& holds) {
  const Instant giveUpAt = BootClock::now() + 30s;
  while (!holds()) {
    REQUIRE(BootClock::now() < giveUpAt);
    std::this_thread::yield();
  }
}

// The running fixture. The constructor returns once the proxy is ready.
struct Stage {
  asio::io_context io;
  std::mutex mutex;
  Snapshot snapshot;
  std::unique_ptr<HttpServer> agent;
  std::vector<std::unique_ptr<FakeModelServer>> servers;
  std::unique_ptr<Proxy> proxy;
  std::thread thread;
  Address callers = localAddress(1, 7102);

  explicit Stage(int serverCount) {
    HttpServerSettings agentSettings;
    agentSettings.listen = localAddress(1, 7101);
    snapshot.configurationVersion = 1;
    snapshot.configurationBody = configurationBody("key");
    snapshot.confirmedAgoMicros = snapshot.listedAgoMicros = 0;
    for (int i = 0; i < serverCount; ++i) {
      servers.push_back(std::make_unique<FakeModelServer>(io, localAddress(10 + i, 7300)));
      SnapshotServer row;
      row.name = ServerName{servers.back()->address.value};
      row.identity = ServerIdentity{"i"};
      row.model = ModelName{"till"};
      row.weights = WeightsVersion{"w1"};
      row.healthy = true;
      row.slots = 4;
      row.cacheTokens = 1000;
      snapshot.servers.push_back(row);
    }
    agent = std::make_unique<HttpServer>(
        io, agentSettings,
        [this](Connection&, HttpRequest&) -> awaitable<std::optional<HttpResponse>> {
          std::lock_guard lock(mutex);
          co_return textResponse(200, encodeValue(snapshot));
        });
    REQUIRE(agent->start().ok());
    thread = std::thread([this] { io.run(); });
    Settings settings;
    settings.role = "proxy";
    settings.operatorAddress = agentSettings.listen;
    settings.callerAddress = callers;
    settings.zone = "z";
    proxy = std::make_unique<Proxy>(settings, nativeDialect());
    REQUIRE(proxy->start().ok());
    waitReady(200);
  }
  ~Stage() {
    proxy->stop();
    io.stop();
    thread.join();
  }
  void updateSnapshot(const std::function<void(Snapshot&)>& change) {
    std::lock_guard lock(mutex);
    change(snapshot);
  }
  HttpResponse call(HttpCall request) {
    asio::io_context callIo;
    absl::StatusOr<HttpResponse> response = absl::UnknownError("");
    request.to = callers;
    request.timeout = 5s;
    asio::co_spawn(
        callIo, [&]() -> awaitable<void> { response = co_await httpCall(request); },
        asio::detached);
    callIo.run();
    // Called on several threads, but Catch's macros may only be used on one.
    if (!response.ok()) throw std::runtime_error(response.status().ToString());
    return *response;
  }
  void waitReady(unsigned status) {
    HttpCall request;
    request.target = "/readyz";
    eventually([&] { return call(request).result_int() == status; });
  }
  HttpResponse post(const std::string& route, const std::string& body = "{}",
                    std::map<std::string, std::string> headers = {}) {
    HttpCall request;
    request.verb = http::verb::post;
    request.target = "/v1/" + route;
    request.body = body;
    request.headers = std::move(headers);
    request.headers.try_emplace("Authorization", "Bearer key");
    return call(request);
  }
  int arrivals() const {
    int sum = 0;
    for (const auto& server : servers) sum += server->arrivals;
    return sum;
  }
  void setAllBehaviors(ServerBehavior behavior) {
    for (auto& server : servers) server->behavior = behavior;
  }
};

// The proxy rejected the request and set Retry-After.
inline bool isRejected(const HttpResponse& response) {
  return response["Quayrill-Outcome"] == "turned-away" &&
         response.count(http::field::retry_after) == 1;
}
// Retry-After must be set only if the request may be repeated.
inline bool isUnknown(const HttpResponse& response, bool mayRepeat = false) {
  return response["Quayrill-Outcome"] == "unknown" &&
         response["Quayrill-May-Repeat"] == (mayRepeat ? "yes" : "no") &&
         response.count(http::field::retry_after) == (mayRepeat ? 1 : 0);
}
}  // namespace quayrill::tests
