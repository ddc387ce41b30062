#include "fleet/load_generator.h"

#include "base/digest.h"
#include "net/model_server.h"
#include "net/read_buffer.h"

namespace quayrill::fleet {

using namespace std::chrono_literals;
using Json = nlohmann::json;

TrafficMix trafficMixOf(const std::string& deployment) {
  TrafficMix mix;
  mix.name = deployment;
  if (deployment == "tejo") {
    mix.rate = 90;
    mix.paths = {{"replan", false, 0.25, 1800, 400, 300, 40, 80, 6},
                 {"fare-check", true, 0.35, 900, 200, 160, 60, 40, 4},
                 {"stop-lookup", true, 0.40, 300, 0, 80, 90, 24, 3}};
  } else {
    mix.rate = 60;
    mix.paths = {{"basket-audit", false, 0.30, 1600, 320, 240, 30, 64, 5},
                 {"price-lookup", true, 0.45, 320, 96, 64, 80, 16, 3},
                 {"shopper-help", true, 0.25, 800, 160, 128, 40, 40, 6}};
  }
  mix.tenants = {{"north", 0.30},    {"south", 0.25},    {"east", 0.15}, {"west", 0.10},
                 {"iso-hill", 0.08}, {"iso-lake", 0.05}, {"quay", 0.04}, {"rill", 0.03}};
  return mix;
}

std::string apiKeyOf(const std::string& tenant) { return "secret-of-" + tenant; }

std::string configurationOf(const TrafficMix& mix, const std::string& weights) {
  Json configuration{{"tenants", Json::object()},
                     {"contracts", Json::object()},
                     {"ways", Json::object()},
                     {"models", {{"till", {{"weights", weights}}}}}};
  for (const auto& [tenant, share] : mix.tenants) {
    configuration["tenants"][tenant] = {{"isolated", tenant.rfind("iso-", 0) == 0},
                                        {"concurrency", 128},
                                        {"keys", {keyDigest(apiKeyOf(tenant))}}};
  }
  for (const PathMix& path : mix.paths) {
    configuration["contracts"][path.name] = {{"model", "till"},
                                             {"repeatable", path.repeatable},
                                             {"due_ms", 8000},
                                             {"tries", 2},
                                             {"class", path.sharedTokens > 1000  ? "long"
                                                       : path.sharedTokens > 500 ? "medium"
                                                                                 : "short"}};
    configuration["ways"][path.name] = path.name;
  }
  return configuration.dump();
}

LoadGenerator::LoadGenerator(asio::io_context& io, TrafficMix mix, std::vector<Address> daemons,
                             Ledger& ledger, std::uint64_t seed)
    : io_(io), mix_(std::move(mix)), ledger_(ledger), random_(seed) {
  for (std::size_t i = 0; i < daemons.size(); ++i)
    daemons_.push_back({daemons[i], "zone" + std::to_string(i % 4), false});
}

void LoadGenerator::start() {
  for (std::size_t i = 0; i < daemons_.size(); ++i)
    asio::co_spawn(io_, pollReadiness(i), asio::detached);
}

awaitable<void> LoadGenerator::pollReadiness(std::size_t daemon) {
  for (;;) {
    HttpCall call;
    call.to = daemons_[daemon].callers;
    call.target = "/readyz";
    call.timeout = 500ms;
    const Instant requestedAt = BootClock::now();
    const auto response = co_await httpCall(std::move(call));
    daemons_[daemon].ready = response.ok() && response->result_int() == 200;
    if (daemons_[daemon].ready) {
      const std::string version((*response)["Quayrill-Spec-Version"]);
      ledger_.withLock([&](Ledger& ledger) {
        ledger.servedVersions.push_back(
            {daemons_[daemon].callers.value, std::stoull("0" + version), requestedAt});
      });
    }
    co_await pauseFor(250ms);
  }
}

awaitable<void> LoadGenerator::sendTraffic(Duration span, double rateFactor,
                                           std::string onlyTenant) {
  const Instant end = BootClock::now() + span;
  ledger_.withLock([&](Ledger& ledger) {
    if (ledger.trafficStart == Instant{}) ledger.trafficStart = BootClock::now();
    for (const DaemonTarget& daemon : daemons_) ledger.daemons.insert(daemon.callers.value);
  });
  const std::chrono::duration<double> interval(1.0 / (mix_.rate * rateFactor));
  Instant nextSendAt = BootClock::now();
  const auto draw = [&](double below) {
    return std::uniform_real_distribution<>(0, below)(random_);
  };
  while (BootClock::now() < end) {
    nextSendAt += std::chrono::duration_cast<Duration>(interval);
    if (nextSendAt > BootClock::now()) co_await pauseFor(nextSendAt - BootClock::now());
    if (openCalls_ >= kMaxOpenCalls) continue;
    double remainingShare = draw(1.0);
    const PathMix* path = &mix_.paths.back();
    for (const PathMix& candidate : mix_.paths) {
      if ((remainingShare -= candidate.share) < 0) {
        path = &candidate;
        break;
      }
    }
    remainingShare = draw(1.0);
    std::string tenant = mix_.tenants.back().first;
    for (const auto& [name, share] : mix_.tenants) {
      if ((remainingShare -= share) < 0) {
        tenant = name;
        break;
      }
    }
    if (!onlyTenant.empty()) tenant = onlyTenant;
    std::vector<const DaemonTarget*> ready;
    const std::string zone = "zone" + std::to_string(random_() % 4);
    for (const DaemonTarget& daemon : daemons_) {
      if (daemon.ready && daemon.zone == zone) ready.push_back(&daemon);
    }
    for (const DaemonTarget& daemon : daemons_) {
      if (ready.empty() && daemon.ready) ready.push_back(&daemon);
    }
    if (ready.empty()) continue;
    const DaemonTarget& chosenDaemon = *ready[random_() % ready.size()];
    CallRow row;
    row.nonce = "n" + std::to_string(++lastRequestNumber_);
    row.tenant = tenant;
    row.path = path->name;
    row.daemon = chosenDaemon.callers.value;
    row.repeatable = path->repeatable;
    row.isolated = tenant.rfind("iso-", 0) == 0;
    HttpRequest request(http::verb::post, "/v1/" + path->name, 11);
    request.set(http::field::host, chosenDaemon.callers.value);
    request.set(http::field::authorization, "Bearer " + apiKeyOf(tenant));
    // Low variants are more frequent, as some prompts are requested far more often than others.
    const double skew = draw(1.0);
    const auto variant =
        static_cast<std::size_t>(skew * skew * static_cast<double>(path->variants));
    std::string prefix = path->name + ":" + std::to_string(path->sharedTokens);
    if (path->tenantTokens > 0)
      prefix += "," + path->name + "-" + tenant + ":" + std::to_string(path->tenantTokens);
    prefix += "," + path->name + "-v" + std::to_string(variant) + ":" +
              std::to_string(path->variantTokens);
    prefix += ",own-" + row.nonce + ":" + std::to_string(path->uniqueTokens);
    request.set(wire::kPrefix, prefix);
    request.body() = Json{{"nonce", row.nonce}, {"pieces", path->pieces}}.dump();
    request.prepare_payload();
    ++openCalls_;
    asio::co_spawn(io_, call(std::move(row), std::move(request), chosenDaemon.callers),
                   asio::detached);
  }
}

bool LoadGenerator::checkAnswerLines(const std::string& body, CallRow* row) {
  std::istringstream lines(body);
  std::string run;
  int expected = 0;
  for (std::string line; std::getline(lines, line);) {
    const Json json = Json::parse(line, nullptr, false);
    if (!json.is_object()) {
      row->error = "half a line";
      return false;
    }
    if (run.empty()) run = json.value("run", "");
    if (json.value("run", "") != run) {
      row->error = "two runs joined";
      return false;
    }
    if (row->endMark) {
      row->error = "a piece after the end mark";
      return false;
    }
    if (json.value("end", false)) {
      row->endMark = true;
      if (json.value("pieces", -1) != expected) {
        row->error = "the end mark names other pieces";
        return false;
      }
      continue;
    }
    if (json.value("nonce", "") != row->nonce) {
      row->error = "another caller's answer";
      return false;
    }
    if (json.value("piece", -1) != expected++) {
      row->error = "a piece lost or repeated";
      return false;
    }
  }
  return true;
}

awaitable<void> LoadGenerator::call(CallRow row, HttpRequest request, Address to) {
  row.begun = BootClock::now();
  Connection connection(io_);
  connection.expires_after(20s);
  ErrorCode code;
  const Tcp::endpoint endpoint = endpointOf(to);
  co_await connection.async_connect(endpoint, into(code));
  if (!code) co_await http::async_write(connection, request, into(code));
  row.accepted = !code;
  ReadBuffer buffer;
  http::response_parser<http::string_body> parser;
  if (!code) co_await http::async_read_header(connection, buffer, parser, into(code));
  if (!code) {
    row.status = static_cast<int>(parser.get().result_int());
    row.outcome = std::string(parser.get()["Quayrill-Outcome"]);
    row.requestId = std::string(parser.get()["Quayrill-Request-Id"]);
    row.hasRetryAfter = parser.get().count(http::field::retry_after) > 0;
    row.firstPiece = BootClock::now();
    co_await http::async_read(connection, buffer, parser, into(code));
    row.complete = !code && parser.is_done();
  }
  row.ended = BootClock::now();
  if (row.status == 200) {
    std::string body = parser.get().body();
    // An incomplete line at the end of a cut answer is not a piece.
    if (!row.complete)
      body.resize(body.rfind('\n') == std::string::npos ? 0 : body.rfind('\n') + 1);
    row.piecesValid = checkAnswerLines(body, &row);
  }
  if (row.status >= 400) row.error = parser.get().body();
  if (row.error.empty() && code) row.error = code.message();
  --openCalls_;
  ledger_.withLock([&](Ledger& ledger) { ledger.calls.push_back(std::move(row)); });
}

}  // namespace quayrill::fleet
