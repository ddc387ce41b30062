#include "fleet/local_deployment.h"

#include <csignal>
#include <iostream>

namespace quayrill::fleet {

using namespace std::chrono_literals;
using Json = nlohmann::json;

LocalDeployment::LocalDeployment(asio::io_context& io, LocalDeploymentSettings settings)
    : io_(io), settings_(std::move(settings)) {
  const std::string networkPrefix = "127." + std::to_string(settings_.plan.net) + ".";
  settings_.plan.platform = Address{networkPrefix + "4.1:7200"};
  settings_.plan.store = Address{networkPrefix + "4.2:7200"};
  settings_.plan.relay = Address{networkPrefix + "4.3:7200"};
  daemons_ = planDaemons(settings_.plan);
  std::vector<Address> callers;
  for (const Daemon& daemon : daemons_) callers.push_back(daemon.callers);
  loadGenerator_ =
      std::make_unique<LoadGenerator>(io_, settings_.mix, callers, ledger_, settings_.seed);
}

void LocalDeployment::note(const std::string& text) {
  ledger_.withLock([&](Ledger& ledger) { ledger.stepNotes.emplace_back(BootClock::now(), text); });
  std::cout << "  " << text << std::endl;
}

absl::Status LocalDeployment::start() {
  const std::string networkPrefix = "127." + std::to_string(settings_.plan.net) + ".";
  platform_ = std::make_unique<StandInPlatform>(io_, settings_.plan.platform);
  store_ = std::make_unique<StandInStore>(io_, settings_.plan.store, 16);
  relay_ = std::make_unique<Relay>(io_, settings_.plan.relay);
  for (const auto& status : {platform_->start(), store_->start(), relay_->start()}) {
    if (!status.ok()) return status;
  }
  for (std::size_t i = 0; i < settings_.servers; ++i) {
    StandInServerSettings server;
    server.address = Address{networkPrefix + "3." + std::to_string(i + 1) + ":7300"};
    server.zone = "zone" + std::to_string(i % 4);
    server.store = settings_.plan.store;
    server.cacheTokens = settings_.cacheTokens;
    servers_.push_back(std::make_unique<StandInServer>(io_, server, ledger_));
    if (auto status = servers_.back()->start(); !status.ok()) return status;
    platform_->addServer(server.address.value, server.zone);
  }
  for (Daemon& daemon : daemons_) {
    if (!startDaemon(&daemon, settings_.plan))
      return absl::InternalError("could not fork a process for a daemon");
  }
  loadGenerator_->start();
  return absl::OkStatus();
}

awaitable<absl::StatusOr<Json>> LocalDeployment::callOperatorApi(Address daemon, http::verb verb,
                                                                 std::string target,
                                                                 std::string body) {
  HttpCall call;
  call.to = daemon;
  call.verb = verb;
  call.target = std::move(target);
  call.body = std::move(body);
  call.timeout = verb == http::verb::get ? 500ms : 6s;
  const auto response = co_await httpCall(std::move(call));
  if (!response.ok()) co_return response.status();
  if (response->result_int() != 200)
    co_return absl::UnavailableError(std::to_string(response->result_int()) + " " +
                                     response->body());
  co_return Json::parse(response->body(), nullptr, false);
}

awaitable<bool> LocalDeployment::waitUntilReady(Duration limit) {
  const Instant deadline = BootClock::now() + limit;
  bool isConfigured = false;
  while (BootClock::now() < deadline) {
    std::size_t completeSets = 0, ready = 0;
    for (const Daemon& daemon : daemons_) {
      const auto members =
          co_await callOperatorApi(daemon.operators, http::verb::get, "/q/members", "");
      if (!members.ok()) continue;
      const Json& replicas = (*members)["copies"];
      if (replicas["settled"] == true && replicas["members"].size() == settings_.plan.cores)
        ++completeSets;
    }
    if (completeSets == daemons_.size() && !isConfigured) {
      const std::string configuration = configurationOf(settings_.mix, "w0");
      const auto response = co_await callOperatorApi(daemons_.back().operators, http::verb::put,
                                                     "/q/spec?expect=0", configuration);
      isConfigured = response.ok();
      if (!isConfigured) std::cout << "  first spec: " << response.status() << std::endl;
    }
    for (const DaemonTarget& target : loadGenerator_->daemons()) ready += target.ready ? 1 : 0;
    if (isConfigured && ready == daemons_.size()) co_return true;
    co_await pauseFor(100ms);
  }
  co_return false;
}

awaitable<void> LocalDeployment::runTraffic(Duration span, std::vector<Step> steps) {
  for (Step& step : steps) {
    ++openSteps_;
    asio::co_spawn(io_, perform(std::move(step)), asio::detached);
  }
  asio::co_spawn(io_, watchProcesses(), asio::detached);
  if (settings_.keepsConnections) keepConnections();
  co_await loadGenerator_->sendTraffic(span, settings_.rateFactor);
  const Instant deadline = BootClock::now() + 60s;
  while ((loadGenerator_->openCalls() > 0 || openSteps_ > 0) && BootClock::now() < deadline)
    co_await pauseFor(20ms);
  trafficEnd_ = BootClock::now();
  co_await readFinalConfiguration();
  for (const auto& server : servers_) {
    const std::string name = server->settings().address.value;
    const bool isLive = server->isUp() && platform_->isLive(name);
    if (isLive)
      ledger_.withLock([&](Ledger& ledger) { ledger.finalServers[name] = server->weights(); });
  }
}

void LocalDeployment::keepConnections() {
  connectionKeeper_ = std::make_unique<ConnectionKeeper>(io_, ledger_);
  for (const Daemon& daemon : daemons_) {
    connectionKeeper_->start(daemon.callers, daemon.callers, "/readyz");
    const bool isCore = !daemon.dataFolder.empty();
    for (int i = 0; isCore && i < settings_.operatorsPerCore; ++i)
      connectionKeeper_->start(daemon.callers, daemon.operators, "/q/spec?settled=1");
  }
}

void LocalDeployment::shutDown() {
  for (const Daemon& daemon : daemons_) {
    signalDaemon(daemon, SIGCONT);
    signalDaemon(daemon, SIGTERM);
  }
  for (Daemon& daemon : daemons_) {
    if (daemon.pid == 0) continue;
    const int status = waitDaemon(&daemon, 10000);
    if (status == 0) continue;
    ++shutdownErrors_;
    std::cout << "  " << daemon.name << " ended with " << status << " on SIGTERM" << std::endl;
    signalDaemon(daemon, SIGKILL);
    waitDaemon(&daemon, 2000);
  }
}

}  // namespace quayrill::fleet
