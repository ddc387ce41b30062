// The agent's operator API over HTTP.

#include "agent/agent.h"
#include "base/json_text.h"
#include "base/numbers.h"
#include "base/scope_exit.h"
#include "net/log.h"
#include "net/metrics.h"

namespace quayrill {

using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {
// How long daemons have to tell their build. One that doesn't is shown without.
constexpr Duration kBuildAnswersTimeout = 1s;
constexpr Duration kBuildAnswersPoll = 20ms;

HttpResponse rejection(const std::string& why) {
  HttpResponse response = errorResponse({ErrorKind::Rejected, why});
  response.set(http::field::retry_after, "1");
  return response;
}
}  // namespace

awaitable<ChangeOutcome> Agent::submitChange(ChangeRequest change) {
  auto timer = std::make_shared<asio::steady_timer>(io_);
  auto result = std::make_shared<std::optional<ChangeOutcome>>();
  timer->expires_at(std::chrono::steady_clock::time_point::max());
  AgentEffects effects;
  const OperationId operation = core_->requestChange(change, BootClock::now(), &effects);
  waiters_[operation] = [timer, result](const ChangeOutcome& done) {
    *result = done;
    timer->cancel();
  };
  apply(std::move(effects));
  while (!*result) {
    ErrorCode code;
    co_await timer->async_wait(into(code));
  }
  co_return **result;
}

awaitable<ChangeOutcome> Agent::linearizableRead(Duration timeout) {
  ChangeRequest read{{}, kConfigurationKey, true, 0, {}, {}, BootClock::now() + timeout};
  co_return co_await submitChange(read);
}

awaitable<HttpResponse> Agent::changeConfiguration(HttpRequest& request, bool isPatch) {
  const auto expected = wholeNumber(queryValue(request, "expect"));
  if (!expected)
    co_return errorResponse(
        {ErrorKind::MalformedRequest, "?expect=VERSION is missing: name the version you read"});
  if (!hasReplicasToSpare())
    co_return rejection("too few register replicas to survive the loss of one");
  const ChangeOutcome current = co_await linearizableRead(2s);
  if (current.result != ChangeResult::Chosen)
    co_return rejection("no majority of register replicas answered");
  if (current.value.version != *expected) {
    HttpResponse response =
        errorResponse({ErrorKind::VersionConflict,
                       "the configuration is at version " + std::to_string(current.value.version)});
    response.set("Quayrill-Spec-Version", std::to_string(current.value.version));
    co_return response;
  }
  std::string body = request.body();
  if (isPatch) {
    const auto patched = patchConfiguration(current.value.body, body);
    if (!patched.ok())
      co_return errorResponse(
          {ErrorKind::InvalidConfiguration, std::string(patched.status().message())});
    body = *patched;
  }
  if (body.size() > kConfigurationLimit)
    co_return errorResponse(
        {ErrorKind::BodyTooLarge, "the configuration would have " + std::to_string(body.size()) +
                                      " bytes of at most " + std::to_string(kConfigurationLimit)});
  if (const auto parsed = dialect_.readConfiguration(body); !parsed.ok())
    co_return errorResponse(
        {ErrorKind::InvalidConfiguration, std::string(parsed.status().message())});
  ChangeRequest change{{}, kConfigurationKey, false, *expected, body, {}, BootClock::now() + 3s};
  const ChangeOutcome done = co_await submitChange(change);
  switch (done.result) {
    case ChangeResult::Chosen: {
      co_await awaitIsolation();
      LOG_LINE(kInfo) << "configuration " << done.value.version << " acknowledged";
      HttpResponse response = jsonResponse(200, {{"version", done.value.version}});
      response.set("Quayrill-Spec-Version", std::to_string(done.value.version));
      co_return response;
    }
    case ChangeResult::Conflict: {
      HttpResponse response =
          errorResponse({ErrorKind::VersionConflict,
                         "the configuration is at version " + std::to_string(done.value.version)});
      response.set("Quayrill-Spec-Version", std::to_string(done.value.version));
      co_return response;
    }
    case ChangeResult::NotTried:
      co_return rejection("no majority of register replicas answered");
    case ChangeResult::Unknown:
      break;
  }
  co_return errorResponse({ErrorKind::ChangeOutcomeUnknown, "the change may or may not be made"});
}

// Founds a new register on this machine's disk. The last resort, for when a majority of the
// register's disks is lost for good.
awaitable<HttpResponse> Agent::recover(HttpRequest& request) {
  const std::string fleet = std::to_string(core_->freshness().replicas().fleet);
  if (queryValue(request, "confirm") != fleet)
    co_return errorResponse(
        {ErrorKind::MalformedRequest,
         "?confirm=FLEET is not the fleet that is to be given up: it is " + fleet});
  if (const char* error = documentShapeError(request.body()))
    co_return errorResponse({ErrorKind::MalformedRequest, "/: " + std::string(error)});
  const Json saved = request.body().empty() ? Json::object() : parseJson(request.body());
  const Json version = saved.is_object() ? saved.value("version", Json(0U)) : Json();
  if (!version.is_number_unsigned())
    co_return errorResponse(
        {ErrorKind::MalformedRequest,
         R"(the body is {"version": N, "spec": {...}}, as 'spec get' prints it)"});
  const std::string body = saved.contains("spec") ? saved["spec"].dump() : "";
  if (!body.empty()) {
    if (const auto parsed = dialect_.readConfiguration(body); !parsed.ok())
      co_return errorResponse(
          {ErrorKind::InvalidConfiguration, std::string(parsed.status().message())});
  }
  AgentEffects effects;
  const auto recovered =
      core_->recover(body, version.get<std::uint64_t>(), BootClock::now(), &effects);
  apply(std::move(effects));
  if (!recovered.rejection.empty())
    co_return errorResponse({ErrorKind::RegisterAvailable, recovered.rejection});
  // A successful round of the new register shows that its founding state is synced to disk.
  const ChangeOutcome done = co_await linearizableRead(3s);
  if (done.result != ChangeResult::Chosen)
    co_return errorResponse(
        {ErrorKind::ChangeOutcomeUnknown, "the new register did not answer yet"});
  LOG_LINE(kInfo) << "new register founded as fleet " << recovered.replicas.fleet;
  co_return jsonResponse(200, {{"fleet", recovered.replicas.fleet},
                               {"epoch", recovered.replicas.epoch.value},
                               {"version", recovered.configurationVersion}});
}

Json Agent::membersJson(Instant now) const {
  Json members = Json::array();
  for (const GossipItem& item : core_->live(now)) {
    members.push_back({{"cohort", item.source.value},
                       {"callers", item.proxyAddress},
                       {"zone", item.zone},
                       {"store", item.store.value},
                       {"spec_in_force", item.configurationInForce.value},
                       {"incarnation", item.version.incarnation.value},
                       {"leaving", item.leaving}});
  }
  const ReplicaSet& replicas = core_->freshness().replicas();
  Json replicaRows = Json::array();
  for (const ReplicaMember& member : replicas.members)
    replicaRows.push_back({{"cohort", member.address.value}, {"store", member.store.value}});
  return {{"members", members},
          {"copies",
           {{"fleet", replicas.fleet},
            {"epoch", replicas.epoch.value},
            {"settled", replicas.settled},
            {"members", replicaRows}}}};
}

awaitable<HttpResponse> Agent::handleBuilds() {
  const Instant askedAt = BootClock::now();
  AgentEffects effects;
  core_->askBuilds(askedAt, &effects);
  apply(std::move(effects));
  const std::vector<GossipItem> live = core_->live(askedAt);
  const auto hasAnswered = [&](const GossipItem& item) {
    return core_->builds().buildOf(item.source, askedAt).has_value();
  };
  asio::steady_timer timer(io_);
  while (BootClock::now() < askedAt + kBuildAnswersTimeout &&
         !std::all_of(live.begin(), live.end(), hasAnswered)) {
    timer.expires_after(kBuildAnswersPoll);
    ErrorCode code;
    co_await timer.async_wait(into(code));
  }
  Json rows = Json::array();
  std::set<std::string> builds;
  for (const GossipItem& item : live) {
    const auto build = core_->builds().buildOf(item.source, askedAt);
    builds.insert(build.value_or(""));
    rows.push_back({{"cohort", item.source.value}, {"build", build ? Json(*build) : Json()}});
  }
  co_return jsonResponse(200, {{"builds", rows}, {"mixed", builds.size() > 1}});
}

Json Agent::serversJson(Instant now) const {
  Json rows = Json::array();
  const Snapshot current = snapshot(configurationVersion_, now);
  for (const SnapshotServer& row : current.servers) {
    const auto fence = core_->heldFence(rolloutLeaseKey(row.model), Duration{}, now);
    rows.push_back({{"name", row.name.value},
                    {"zone", row.zone},
                    {"model", row.model.value},
                    {"weights", row.weights.value},
                    {"sound", row.healthy},
                    {"leaving", row.leaving},
                    {"switching", row.switching},
                    {"running", row.running},
                    {"queued", row.queued},
                    {"slots", row.slots},
                    {"cache_tokens", row.cacheTokens},
                    {"identity", row.identity.value},
                    {"hold_fence", fence ? Json(fence->value) : Json()}});
  }
  return {{"servers", rows}, {"listed_ago_us", current.listedAgoMicros}};
}

Json Agent::configurationJson() const {
  const RegisterValue& value = core_->freshness().configuration().value;
  Json body = value.body.empty() ? Json::object() : Json::parse(value.body, nullptr, false);
  return {{"version", value.version}, {"spec", body}};
}

awaitable<std::optional<HttpResponse>> Agent::handle(HttpRequest& request) {
  const std::string path = pathOf(request);
  const Instant now = BootClock::now();
  const auto verb = request.method();
  ++openOperatorCalls_;
  ScopeExit callGuard([this] { --openOperatorCalls_; });
  if (dialect_.handleOperatorCall) {
    auto answer = co_await dialect_.handleOperatorCall(*this, request);
    if (answer) co_return std::move(*answer);
  }
  if (path == "/q/spec" && (verb == http::verb::put || verb == http::verb::patch))
    co_return co_await changeConfiguration(request, verb == http::verb::patch);
  if (path == "/q/refound" && verb == http::verb::post) co_return co_await recover(request);
  if (verb != http::verb::get)
    co_return errorResponse({ErrorKind::UnknownRoute, "no such call: " + path});
  if (path == "/healthz") co_return textResponse(200, "ok\n");
  if (path == "/readyz") {
    const auto confirmedAt = core_->freshness().confirmedAt();
    const bool ready =
        configurationVersion_ > 0 && confirmedAt && now - *confirmedAt < settings_.stalenessLimit;
    co_return textResponse(ready ? 200 : 503, ready ? "ready\n" : "configuration unconfirmed\n");
  }
  if (path == "/metrics") co_return metricsResponse(counters_);
  if (path == "/q/members") co_return jsonResponse(200, membersJson(now));
  if (path == "/q/builds") co_return co_await handleBuilds();
  if (path == "/q/servers") co_return jsonResponse(200, serversJson(now));
  if (path == "/q/feed") {
    const std::string knownVersion = queryValue(request, "spec");
    const Snapshot current = snapshot(wholeNumber(knownVersion).value_or(0), now);
    co_return textResponse(200, encodeValue(current));
  }
  if (path == "/q/decisions") {
    const std::string from = queryValue(request, "from");
    const DecisionPage page = decisions_.read(wholeNumber(from).value_or(0), 500);
    co_return jsonResponse(200,
                           {{"first", page.first}, {"next", page.next}, {"lines", page.lines}});
  }
  if (path == "/q/spec") {
    if (queryValue(request, "settled").empty()) co_return jsonResponse(200, configurationJson());
    const ChangeOutcome done = co_await linearizableRead(2s);
    if (done.result != ChangeResult::Chosen)
      co_return rejection("no majority of register replicas answered");
    co_return jsonResponse(200, configurationJson());
  }
  co_return errorResponse({ErrorKind::UnknownRoute, "no such call: " + path});
}

}  // namespace quayrill
