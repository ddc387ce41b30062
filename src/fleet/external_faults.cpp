// Injects faults into model servers, the store and the platform, and replaces servers in a release.
#include "fleet/local_deployment.h"

namespace quayrill::fleet {

using namespace std::chrono_literals;

awaitable<void> LocalDeployment::applyServerFault(std::string type, StandInServer& server) {
  const std::string name = server.settings().address.value;
  note(type + " " + name);
  if (type == "crash-server") {
    if (server.isUp()) server.crash();
    co_await pauseFor(3s);
    if (platform_->isListed(name)) server.restart();
    co_return;
  }
  if (type == "vanish-server") {
    if (server.isUp()) server.crash();
    co_await pauseFor(4s);
    platform_->remove(name);
    co_return;
  }
  if (type == "leave-server") {
    platform_->markLeaving(name);
    ledger_.withLock([&](Ledger& ledger) { ledger.leavingAt.try_emplace(name, BootClock::now()); });
    co_return;
  }
  StandInServerFaults faults;
  faults.silent = type == "silent-server";
  faults.frozen = type == "freeze-server";
  faults.dropMidStream = type == "drop-stream";
  faults.dropBeforeFirst = type == "drop-first";
  faults.eventsLate = type == "late-events";
  faults.eventsLost = type == "lost-events";
  faults.eventsDoubled = type == "doubled-events";
  faults.repeatPiece = type == "repeat-piece";
  if (type == "endless-server") {
    const unsigned turn = endlessFaults_++;
    faults.endless = static_cast<EndlessForm>(turn % static_cast<unsigned>(kFirstFormWithLines));
    faults.endlessStatus = turn % 2 == 0 ? 200 : 500;
  }
  server.setFaults(faults);
  co_await pauseFor(6s);
  server.setFaults({});
}

awaitable<void> LocalDeployment::applyExternalFault(std::string type, std::size_t number) {
  note(type);
  if (type == "store-down") {
    store_->setDown(true);
    co_await pauseFor(6s);
    store_->clear();
    store_->setDown(false);
  } else if (type == "store-slow") {
    store_->setDelay(400ms);
    co_await pauseFor(6s);
    store_->setDelay(0ms);
  } else if (type == "platform-down") {
    const Instant begun = BootClock::now();
    platform_->setDown(true);
    co_await pauseFor(std::chrono::seconds(number));
    platform_->setDown(false);
    recordDisruption("", begun);
  } else if (type == "slow-links") {
    for (auto& server : servers_) server->slowLinks(true);
    co_await pauseFor(6s);
    for (auto& server : servers_) server->slowLinks(false);
  } else {
    // A release: each server in turn is listed as leaving, ends, and restarts with an empty cache.
    for (auto& server : servers_) {
      const std::string name = server->settings().address.value;
      if (!platform_->isLive(name)) continue;
      ++openSteps_;
      asio::co_spawn(io_, replaceServer(*server), asio::detached);
      co_await pauseFor(std::chrono::milliseconds(number));
    }
  }
}

awaitable<void> LocalDeployment::replaceServer(StandInServer& server) {
  const std::string name = server.settings().address.value;
  platform_->markLeaving(name);
  const Instant leavingAt = BootClock::now();
  // One second longer than the limit for new work; after that the server finishes what it has.
  co_await pauseFor(4s);
  ledger_.withLock([&](Ledger& ledger) {
    ledger.leavingSpans.push_back({name, leavingAt, BootClock::now()});
  });
  while (server.isUp() && server.isBusy()) co_await pauseFor(20ms);
  if (server.isUp()) server.crash();
  platform_->remove(name);
  co_await pauseFor(1s);
  server.restart();
  platform_->addServer(name, server.settings().zone);
  --openSteps_;
}

}  // namespace quayrill::fleet
