#include "net/model_server.h"

#include "base/json_text.h"
#include "base/numbers.h"

namespace quayrill {

namespace {
using Json = nlohmann::json;

absl::StatusOr<Json> objectOf(const absl::StatusOr<HttpResponse>& response) {
  if (!response.ok()) return response.status();
  if (response->result_int() != 200)
    return absl::UnavailableError("answered " + std::to_string(response->result_int()));
  Json json = parseJson(response->body());
  if (!json.is_object()) return absl::DataLossError("answered no JSON object");
  return json;
}

HttpCall callTo(const Address& to, http::verb verb, std::string target, Duration timeout) {
  HttpCall call;
  call.to = to;
  call.verb = verb;
  call.target = std::move(target);
  call.timeout = timeout;
  call.bodyLimit = kSmallBodyLimit;
  return call;
}

absl::Status statusOf(const absl::StatusOr<HttpResponse>& response) {
  return objectOf(response).status();
}
}  // namespace

awaitable<absl::StatusOr<ServerState>> readServer(Address server, Duration timeout) {
  HttpCall call = callTo(server, http::verb::get, "/burden", timeout);
  const Instant requestedAt = BootClock::now();
  const auto response = co_await httpCall(std::move(call));
  const auto json = objectOf(response);
  if (!json.ok()) co_return json.status();
  try {
    ServerState state;
    state.name = ServerName{server.value};
    state.identity = ServerIdentity{json->at("identity").get<std::string>()};
    state.model = ModelName{json->at("model").get<std::string>()};
    state.weights = WeightsVersion{json->at("weights").get<std::string>()};
    state.running = amountAs<std::uint32_t>(json->at("running"));
    state.queued = amountAs<std::uint32_t>(json->at("queued"));
    state.slots = amountAs<std::uint32_t>(json->at("slots"));
    state.cacheTokens = amountIn(json->at("cache_tokens"));
    state.healthy = json->at("state").get<std::string>() == "ready";
    state.polledAt = requestedAt;
    co_return state;
  } catch (const std::exception& error) {
    co_return absl::DataLossError(error.what());
  }
}

awaitable<absl::Status> orderWeights(Address server, Address from, WeightsVersion weights,
                                     FencingToken fence, Duration timeout) {
  HttpCall call = callTo(server, http::verb::post, "/weights", timeout);
  call.from = from;
  call.sendDeadline = BootClock::now() + timeout;
  const auto timeoutMs = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
  call.body =
      Json{{"weights", weights.value}, {"fence", fence.value}, {"due_ms", timeoutMs}}.dump();
  const auto response = co_await httpCall(std::move(call));
  co_return statusOf(response);
}

awaitable<absl::StatusOr<CacheEvents>> readCacheEvents(Address server, std::uint64_t since,
                                                       Duration timeout) {
  HttpCall call =
      callTo(server, http::verb::get, "/kv-events?since=" + std::to_string(since), timeout);
  call.bodyLimit = kLargeBodyLimit;
  const auto response = co_await httpCall(std::move(call));
  const auto json = objectOf(response);
  if (!json.ok()) co_return json.status();
  try {
    CacheEvents result;
    result.identity = ServerIdentity{json->at("identity").get<std::string>()};
    result.first = exactNumberIn(json->at("first"));
    result.next = exactNumberIn(json->at("next"));
    for (const auto& row : json->at("events")) {
      CacheEvent event;
      event.position = exactNumberIn(row.at("position"));
      event.kind = row.at("kind") == "dropped" ? CacheEventKind::Dropped : CacheEventKind::Stored;
      event.salt = CacheSalt{row.at("salt").get<std::string>()};
      auto prefix = parsePrefix(row.at("prefix").get<std::string>());
      if (!prefix.ok()) co_return prefix.status();
      event.prefix = *prefix;
      result.events.push_back(std::move(event));
    }
    co_return result;
  } catch (const std::exception& error) {
    co_return absl::DataLossError(error.what());
  }
}

awaitable<absl::Status> pullPrefix(Address server, Address source, ModelName model, CacheSalt salt,
                                   WeightsVersion weights, PromptPrefix prefix, std::size_t tokens,
                                   Duration timeout) {
  HttpCall call = callTo(server, http::verb::post, "/kv-pull", timeout);
  call.body =
      Json{{"source", source.value},
           {"model", model.value},
           {"salt", salt.value},
           {"weights", weights.value},
           {"prefix", formatPrefix(prefix)},
           {"tokens", tokens},
           {"due_ms", std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count()}}
          .dump();
  const auto response = co_await httpCall(std::move(call));
  co_return statusOf(response);
}

awaitable<absl::Status> dropPrefix(Address server, CacheSalt salt, PromptPrefix prefix,
                                   Duration timeout) {
  HttpCall call = callTo(server, http::verb::post, "/kv-drop", timeout);
  call.body = Json{{"salt", salt.value}, {"prefix", formatPrefix(prefix)}}.dump();
  const auto response = co_await httpCall(std::move(call));
  co_return statusOf(response);
}

bool isEndMark(const std::string& line, std::uint64_t* pieces) {
  if (line.find("\"end\"") == std::string::npos) return false;
  const Json json = parseJson(line);
  if (!json.is_object() || !json.contains("end") || json["end"] != true) return false;
  *pieces = json.value("pieces", std::uint64_t{0});
  return true;
}

awaitable<absl::StatusOr<std::vector<ListedServer>>> readPlatformList(Address platform,
                                                                      Address from,
                                                                      Duration timeout) {
  HttpCall call = callTo(platform, http::verb::get, "/servers", timeout);
  call.bodyLimit = kLargeBodyLimit;
  call.from = from;
  const auto response = co_await httpCall(std::move(call));
  const auto json = objectOf(response);
  if (!json.ok()) co_return json.status();
  try {
    std::vector<ListedServer> servers;
    for (const auto& row : json->at("servers")) {
      servers.push_back({ServerName{row.at("name").get<std::string>()},
                         row.at("zone").get<std::string>(), row.at("state") != "live"});
    }
    co_return servers;
  } catch (const std::exception& error) {
    co_return absl::DataLossError(error.what());
  }
}

awaitable<absl::StatusOr<std::size_t>> readStoredPrefixTokens(Address store, Address from,
                                                              ModelName model, CacheSalt salt,
                                                              WeightsVersion weights,
                                                              PromptPrefix prefix,
                                                              Duration timeout) {
  HttpCall call = callTo(store, http::verb::post, "/kept", timeout);
  call.from = from;
  call.body = Json{{"model", model.value},
                   {"salt", salt.value},
                   {"weights", weights.value},
                   {"prefix", formatPrefix(prefix)}}
                  .dump();
  const auto response = co_await httpCall(std::move(call));
  const auto json = objectOf(response);
  if (!json.ok()) co_return json.status();
  co_return json->value("tokens", std::size_t{0});
}

}  // namespace quayrill
