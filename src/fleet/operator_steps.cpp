// The actions of operators in a run, alone and concurrently.
#include <algorithm>
#include <iostream>

#include "fleet/local_deployment.h"

namespace quayrill::fleet {

using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {
constexpr Duration kPropagationLimit = 2s;
}  // namespace

// The version of the configuration that a proxy serves by; nullopt if it is not ready.
awaitable<std::optional<std::uint64_t>> LocalDeployment::servedVersion(Address callers) {
  HttpCall call;
  call.to = callers;
  call.target = "/readyz";
  call.timeout = 300ms;
  const auto response = co_await httpCall(std::move(call));
  if (!response.ok() || response->result_int() != 200) co_return std::nullopt;
  const std::string version((*response)["Quayrill-Spec-Version"]);
  co_return static_cast<std::uint64_t>(std::atoll(version.c_str()));
}

// Submits the change through the first daemon that takes it, then polls the others until all serve
// by it.
awaitable<void> LocalDeployment::applyChange(std::string patch,
                                             std::function<void(Instant)> onAcknowledged) {
  for (std::size_t attempt = 0; attempt < daemons_.size() * 2; ++attempt) {
    const Daemon& entryDaemon = daemons_[(attempt * 5 + 2) % daemons_.size()];
    if (entryDaemon.pid == 0) continue;
    const auto current =
        co_await callOperatorApi(entryDaemon.operators, http::verb::get, "/q/spec?settled=1", "");
    if (!current.ok()) continue;
    const std::string target = "/q/spec?expect=" + (*current)["version"].dump();
    const auto response =
        co_await callOperatorApi(entryDaemon.operators, http::verb::patch, target, patch);
    if (!response.ok()) {
      note("change through " + entryDaemon.name + ": " + std::string(response.status().message()));
      continue;
    }
    const Instant acknowledgedAt = BootClock::now();
    onAcknowledged(acknowledgedAt);
    ChangeResult result;
    result.version = (*response)["version"].get<std::uint64_t>();
    ledger_.withLock(
        [&](Ledger& ledger) { ledger.acknowledged.emplace_back(acknowledgedAt, result.version); });
    std::set<std::string> pending;
    for (const Daemon& daemon : daemons_) pending.insert(daemon.name);
    std::string unavailable;
    while (!pending.empty() && BootClock::now() < acknowledgedAt + kPropagationLimit) {
      unavailable.clear();
      for (const Daemon& daemon : daemons_) {
        if (!pending.contains(daemon.name)) continue;
        const auto version = co_await servedVersion(daemon.callers);
        if (!version) {
          unavailable += " " + daemon.name;
        } else if (*version >= result.version) {
          pending.erase(daemon.name);
        }
      }
      co_await pauseFor(10ms);
    }
    result.propagationTime = BootClock::now() - acknowledgedAt;
    // A daemon that is not serving may have an older configuration.
    std::string staleDaemons;
    for (const Daemon& daemon : daemons_) {
      if (!pending.contains(daemon.name)) continue;
      const auto version = co_await servedVersion(daemon.callers);
      if (version && *version < result.version) staleDaemons += " " + daemon.name;
    }
    result.inForceEverywhere = staleDaemons.empty();
    result.someNotServing = !pending.empty();
    changes_.push_back(result);
    note("configuration " + std::to_string(result.version) + " through " + entryDaemon.name + ", " +
         (!staleDaemons.empty() ? "SERVED WITHOUT IT by" + staleDaemons
          : !pending.empty()    ? "in force wherever served; not serving:" + unavailable
                                : "in force everywhere after " +
                                   std::to_string(result.propagationTime / 1ms) + " ms"));
    co_return;
  }
  note("the change was taken by nobody");
}

awaitable<void> LocalDeployment::runOperatorStep(std::string type, std::string argument) {
  if (type == "race") {
    note("two operators race, " + argument + " changes each");
    co_await raceOperators(std::strtoul(argument.c_str(), nullptr, 10));
    co_return;
  }
  if (type == "flood") {
    note("flood of " + argument);
    co_await loadGenerator_->sendTraffic(10s, 2 * settings_.rateFactor, argument);
    co_return;
  }
  Json patch;
  std::function<void(Instant)> onAcknowledged = [](Instant) {};
  if (type == "weights") {
    patch = {{"models", {{"till", {{"weights", argument}}}}}};
    onAcknowledged = [this, argument](Instant at) {
      ledger_.withLock([&](Ledger& ledger) { ledger.weightsConfiguredAt[argument] = at; });
    };
  } else if (type == "withdraw") {
    patch = {{"tenants", {{argument, {{"keys", Json::array()}}}}}};
    onAcknowledged = [this, argument](Instant at) {
      ledger_.withLock([&](Ledger& ledger) { ledger.keyRevokedAt[argument] = at; });
    };
  } else if (type == "ways") {
    for (int i = 0; i < std::atoi(argument.c_str()); ++i)
      patch["ways"]["way-" + argument + "-" + std::to_string(i)] = settings_.mix.paths.front().name;
  } else {
    patch = {{"ways", {{argument, settings_.mix.paths.front().name}}}};
  }
  note(type + " " + argument);
  co_await applyChange(patch.dump(), onAcknowledged);
}

awaitable<void> LocalDeployment::raceOperators(std::size_t changes) {
  const std::size_t suffix = ++races_;  // races may overlap, and each path must be of one change
  for (const char* name : {"left", "right"}) {
    ++openSteps_;
    const std::size_t firstDaemon = name[0] == 'l' ? 0 : daemons_.size() / 2;
    asio::co_spawn(io_, runRacingOperator(name + std::to_string(suffix), firstDaemon, changes),
                   asio::detached);
  }
  co_return;
}

// Each change adds one path to the configuration that the operator's daemon reports, and is
// attempted once. Some changes are invalid on purpose.
awaitable<void> LocalDeployment::runRacingOperator(std::string name, std::size_t firstDaemon,
                                                   std::size_t changes) {
  for (std::size_t i = 0; i < changes; ++i) {
    const Daemon& daemon = daemons_[(firstDaemon + i) % daemons_.size()];
    const auto reported =
        co_await callOperatorApi(daemon.operators, http::verb::get, "/q/spec", "");
    if (!reported.ok()) continue;
    ConfigurationChangeRow row;
    row.path = name + "-" + std::to_string(i);
    row.daemon = daemon.name;
    const std::string policy = i % 5 == 4 ? "no-contract" : settings_.mix.paths.front().name;
    HttpCall call;
    call.to = daemon.operators;
    call.verb = http::verb::patch;
    call.target = "/q/spec?expect=" + (*reported)["version"].dump();
    Json patch{{"ways", {{row.path, policy}}}};
    if (i % 7 == 6) patch["ways"][std::string(2 << 20, 'x')] = policy;  // exceeds every size limit
    call.body = patch.dump();
    call.timeout = 8s;
    row.begun = BootClock::now();
    const auto response = co_await httpCall(std::move(call));
    row.ended = BootClock::now();
    if (response.ok()) {
      row.status = static_cast<int>(response->result_int());
      if (row.status == 200)
        row.version = Json::parse(response->body())["version"].get<std::uint64_t>();
    }
    ledger_.withLock([&](Ledger& ledger) {
      ledger.configurationChanges.push_back(row);
      if (row.status == 200) ledger.acknowledged.emplace_back(row.ended, row.version);
    });
  }
  --openSteps_;
}

awaitable<void> LocalDeployment::refoundRegister(Daemon& daemon) {
  const auto members =
      co_await callOperatorApi(daemon.operators, http::verb::get, "/q/members", "");
  if (!members.ok()) co_return note("refound: " + std::string(members.status().message()));
  const std::string target = "/q/refound?confirm=" + (*members)["copies"]["fleet"].dump();
  const auto response = co_await callOperatorApi(daemon.operators, http::verb::post, target, "");
  note("refound: " + (response.ok() ? response->dump() : std::string(response.status().message())));
  if (response.ok()) recordDisruption("", majorityLostAt_);
}

// Records the content of the register after the traffic.
awaitable<void> LocalDeployment::readFinalConfiguration() {
  for (int attempt = 0; attempt < 40; ++attempt) {
    const Daemon& daemon = daemons_[static_cast<std::size_t>(attempt) % daemons_.size()];
    const auto response =
        co_await callOperatorApi(daemon.operators, http::verb::get, "/q/spec?settled=1", "");
    if (response.ok()) {
      ledger_.withLock([&](Ledger& ledger) {
        ledger.finalVersion = (*response)["version"].get<std::uint64_t>();
        for (const auto& [path, policy] : (*response)["spec"]["ways"].items())
          ledger.finalPaths.insert(path);
      });
      co_return;
    }
    co_await pauseFor(100ms);
  }
}

// The figures show how the overload of one tenant affects the others.
void LocalDeployment::printTenants() {
  ledger_.withLock([&](Ledger& ledger) {
    struct Row {
      std::size_t calls = 0, done = 0;
      std::vector<Duration> firstPieces;
    };
    std::map<std::string, Row> rows;
    for (const CallRow& call : ledger.calls) {
      Row& row = rows[call.tenant];
      ++row.calls;
      if (call.status != 200 || !call.complete) continue;
      ++row.done;
      row.firstPieces.push_back(call.firstPiece - call.begun);
    }
    for (auto& [tenant, row] : rows) {
      std::sort(row.firstPieces.begin(), row.firstPieces.end());
      std::cout << "tenant " << tenant << ": " << row.done << " of " << row.calls << " done";
      if (!row.firstPieces.empty())
        std::cout << ", first piece p95 "
                  << row.firstPieces[row.firstPieces.size() * 95 / 100] / 1ms << " ms";
      std::cout << "\n";
    }
  });
}

// Counts the calls begun in the 8 s after each fault and change that were rejected or failed.
void LocalDeployment::printFaultCosts() {
  ledger_.withLock([&](Ledger& ledger) {
    for (const auto& [at, text] : ledger.stepNotes) {
      std::size_t calls = 0, rejected = 0, failed = 0;
      for (const CallRow& call : ledger.calls) {
        if (call.begun < at || call.begun > at + 8s) continue;
        ++calls;
        rejected += call.status == 429 || call.status == 503 ? 1 : 0;
        failed += call.status == 0 || call.status == 502 || call.status == 504 ||
                          (call.status == 200 && !call.complete)
                      ? 1
                      : 0;
      }
      if (rejected + failed > 0)
        std::cout << "after '" << text << "': " << rejected << " turned away and " << failed
                  << " unknown, cut or unanswered of " << calls << " calls in 8 s\n";
    }
  });
}

}  // namespace quayrill::fleet
