#pragma once
// A whole proxy between a scripted agent, scripted model servers and callers on loopback.
#include <unistd.h>
#include <catch2/catch.hpp>

#include <thread>

#include "base/digest.h"
#include "proxy/proxy.h"

namespace quayrill::tests {

using namespace std::chrono_literals;
using Json = nlohmann::json;

// Each test process has loopback addresses of its own.
inline Address localAddress(int host, int port) {
  const int process = static_cast<int>(::getpid());
  return Address{"127." + std::to_string(100 + process / 250 % 100) + "." +
                 std::to_string(process % 250) + "." + std::to_string(host) + ":" +
                 std::to_string(port)};
}

// What a scripted model server does with a request that it is sent.
enum class Act { Answer, NotRun, Vanish, Hang };

struct ScriptedServer {
  Address address;
  std::atomic<Act> act{Act::Answer};
  std::atomic<int> arrivals{0};
  std::unique_ptr<HttpServer> server;

  ScriptedServer(asio::io_context& io, Address at) : address(std::move(at)) {
    HttpServerSettings settings;
    settings.listen = address;
    server = std::make_unique<HttpServer>(
        io, settings, [this](Connection&, HttpRequest& request) { return play(request); });
    REQUIRE(server->start().ok());
  }
  awaitable<std::optional<HttpResponse>> play(HttpRequest& request) {
    if (pathOf(request) != wire::kGenerate) co_return textResponse(404, "");
    ++arrivals;
    const Act now = act.load();
    if (now == Act::Vanish) co_return std::nullopt;
    if (now == Act::Hang) {  // until it is told otherwise
      while (act.load() == Act::Hang) co_await pauseFor(5ms);
      co_return std::nullopt;
    }
    if (now == Act::NotRun) {
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

// Waits on a condition, however long a busy machine takes for it within reason.
inline void eventually(const std::function<bool()>& holds) {
  const Instant patience = BootClock::now() + 30s;
  while (!holds()) {
    REQUIRE(BootClock::now() < patience);
    std::this_thread::yield();
  }
}

struct Stage {
  asio::io_context io;
  std::mutex mutex;
  Snapshot told;
  std::unique_ptr<HttpServer> agent;
  std::vector<std::unique_ptr<ScriptedServer>> servers;
  std::unique_ptr<Proxy> proxy;
  std::thread thread;
  Address callers = localAddress(1, 7102);

  explicit Stage(int serverCount) {
    HttpServerSettings agentSettings;
    agentSettings.listen = localAddress(1, 7101);
    told.configurationVersion = 1;
    told.configurationBody = configurationBody("key");
    told.confirmedAgoMicros = told.listedAgoMicros = 0;
    for (int i = 0; i < serverCount; ++i) {
      servers.push_back(std::make_unique<ScriptedServer>(io, localAddress(10 + i, 7300)));
      SnapshotServer row;
      row.name = ServerName{servers.back()->address.value};
      row.identity = ServerIdentity{"i"};
      row.model = ModelName{"till"};
      row.weights = WeightsVersion{"w1"};
      row.healthy = true;
      row.slots = 4;
      row.cacheTokens = 1000;
      told.servers.push_back(row);
    }
    agent = std::make_unique<HttpServer>(
        io, agentSettings,
        [this](Connection&, HttpRequest&) -> awaitable<std::optional<HttpResponse>> {
          std::lock_guard lock(mutex);
          co_return textResponse(200, encodeValue(told));
        });
    REQUIRE(agent->start().ok());
    thread = std::thread([this] { io.run(); });
    Settings settings;
    settings.role = "proxy";
    settings.operators = agentSettings.listen;
    settings.callers = callers;
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
  void tell(const std::function<void(Snapshot&)>& change) {
    std::lock_guard lock(mutex);
    change(told);
  }
  HttpResponse call(HttpCall asked) {
    asio::io_context own;
    absl::StatusOr<HttpResponse> response = absl::UnknownError("");
    asked.to = callers;
    asked.timeout = 5s;
    asio::co_spawn(
        own, [&]() -> awaitable<void> { response = co_await httpCall(asked); }, asio::detached);
    own.run();
    // Callers have threads of their own, and Catch's macros may only be used on one.
    if (!response.ok()) throw std::runtime_error(response.status().ToString());
    return *response;
  }
  void waitReady(unsigned status) {
    HttpCall asked;
    asked.target = "/readyz";
    eventually([&] { return call(asked).result_int() == status; });
  }
  HttpResponse post(const std::string& way, const std::string& body = "{}",
                    std::map<std::string, std::string> headers = {}) {
    HttpCall asked;
    asked.verb = http::verb::post;
    asked.target = "/v1/" + way;
    asked.body = body;
    asked.headers = std::move(headers);
    asked.headers.try_emplace("Authorization", "Bearer key");
    return call(asked);
  }
  int arrivals() const {
    int sum = 0;
    for (const auto& server : servers) sum += server->arrivals;
    return sum;
  }
  void all(Act act) {
    for (auto& server : servers) server->act = act;
  }
};

inline bool isTurnedAway(const HttpResponse& response) {
  return response["Quayrill-Outcome"] == "turned-away" &&
         response.count(http::field::retry_after) == 1;
}
// Only what may be repeated is told when to come back.
inline bool isUnknown(const HttpResponse& response, bool mayRepeat = false) {
  return response["Quayrill-Outcome"] == "unknown" &&
         response["Quayrill-May-Repeat"] == (mayRepeat ? "yes" : "no") &&
         response.count(http::field::retry_after) == (mayRepeat ? 1 : 0);
}
}  // namespace quayrill::tests
