#include "fleet/stand_in_server.h"

#include "net/model_server.h"

namespace quayrill::fleet {

using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {
constexpr Duration kOrderDuration = 120ms;

Address callerOf(Connection& connection) {
  ErrorCode code;
  return Address{connection.socket().remote_endpoint(code).address().to_string()};
}
}  // namespace

std::vector<BlockHash> blockChainOf(const std::string& salt, const PromptPrefix& prefix,
                                    std::size_t blockTokens) {
  std::vector<BlockHash> chain;
  std::string text = salt + "|";
  std::size_t filled = 0;
  for (const PromptPart& part : prefix.parts) {
    for (std::uint32_t offset = 0; offset < part.tokens; ++offset) {
      if (filled == 0 || offset == 0) text += part.id + "@" + std::to_string(offset) + ";";
      if (++filled < blockTokens) continue;
      chain.push_back(std::hash<std::string>{}(text));
      text = std::to_string(chain.back()) + "|";
      filled = 0;
    }
  }
  return chain;
}

StandInServer::StandInServer(asio::io_context& io, StandInServerSettings settings, Ledger& ledger)
    : io_(io), settings_(std::move(settings)), ledger_(ledger), weights_(settings_.weights) {}

absl::Status StandInServer::start() {
  down_ = false;
  identity_ = settings_.address.value + "#" + std::to_string(++incarnation_);
  HttpServerSettings serverSettings;
  serverSettings.listen = settings_.address;
  server_ = std::make_unique<HttpServer>(
      io_, serverSettings,
      [this](Connection& connection, HttpRequest& request) { return handle(connection, request); });
  return server_->start();
}

void StandInServer::crash() {
  down_ = true;
  server_->stopAccepting();
  retired_.push_back(std::move(server_));
  ++incarnation_;
  cache_.clear();
  lruOrder_.clear();
  evictionEvents_.clear();
  nextEvent_ = 1;
  running_ = queued_ = 0;
  highestFence_ = 0;
  loading_ = false;
}

void StandInServer::restart() {
  if (!down_) return;
  weights_ = settings_.weights;
  (void)start();
  ledger_.withLock(
      [&](Ledger& ledger) { ledger.restartedAt[settings_.address.value] = BootClock::now(); });
}

HttpResponse StandInServer::notRun(const std::string& why) {
  HttpResponse response = jsonResponse(503, {{"not_run", why}});
  response.set(wire::kNotRun, "true");
  return response;
}

awaitable<std::optional<HttpResponse>> StandInServer::handle(Connection& connection,
                                                             HttpRequest& request) {
  const std::string path = pathOf(request);
  if (down_) co_return std::nullopt;
  if (faults_.silent) {
    co_await pauseFor(30s);
    co_return std::nullopt;
  }
  co_await waitWhileFrozen();
  if (path == wire::kGenerate) co_return co_await generate(connection, request);
  if (path == "/burden") co_return reportLoad();
  if (path == "/kv-events")
    co_return handleCacheEvents(
        static_cast<std::uint64_t>(std::atoll(queryValue(request, "since").c_str())));
  if (path == "/weights") co_return co_await handleWeightsOrder(request, callerOf(connection));
  if (path == "/kv-pull") co_return co_await handlePull(request);
  if (path == "/kv-drop") co_return handleDrop(request);
  if (path == "/kv-read") co_return handleRead(request);
  co_return textResponse(404, "no such call\n");
}

HttpResponse StandInServer::reportLoad() {
  return jsonResponse(200, {{"identity", identity_},
                            {"model", settings_.model},
                            {"weights", weights_},
                            {"running", running_},
                            {"queued", queued_},
                            {"slots", settings_.slots},
                            {"cache_tokens", settings_.cacheTokens},
                            {"state", loading_ ? "loading" : "ready"}});
}

HttpResponse StandInServer::handleCacheEvents(std::uint64_t since) {
  const auto withheldEvents = static_cast<std::uint64_t>(faults_.eventsLate ? 40 : 0);
  if (faults_.eventsLost)
    evictionEvents_.erase(evictionEvents_.begin(),
                          evictionEvents_.begin() + evictionEvents_.size() / 2);
  const std::uint64_t oldest = nextEvent_ - evictionEvents_.size();
  const std::uint64_t next =
      std::max(oldest, nextEvent_ - std::min(nextEvent_ - 1, withheldEvents));
  const std::uint64_t first = std::min(std::max(since, oldest), next);
  Json rows = Json::array();
  for (std::uint64_t position = first; position < next; ++position)
    rows.push_back(evictionEvents_[position - oldest]);
  if (faults_.eventsDoubled) {
    for (std::size_t i = rows.size(); i-- > 0;) rows.push_back(rows[i]);
    std::reverse(rows.begin(), rows.end());
  }
  return jsonResponse(
      200, {{"identity", identity_}, {"first", first}, {"next", next}, {"events", rows}});
}

// An order stays open for a while, so that the checker can detect overlapping orders of two lease
// holders.
awaitable<HttpResponse> StandInServer::handleWeightsOrder(HttpRequest& request, Address from) {
  const Json json = Json::parse(request.body(), nullptr, false);
  if (!json.is_object()) co_return textResponse(400, "no JSON\n");
  const std::string weights = json.value("weights", "");
  const std::uint64_t fence = json.value("fence", std::uint64_t{0});
  const bool accepted = fence >= highestFence_;
  const Instant begun = BootClock::now();
  if (accepted) highestFence_ = fence;
  if (accepted && weights != weights_ && !loading_) {
    loading_ = true;
    asio::co_spawn(io_, loadWeights(weights, incarnation_), asio::detached);
  }
  co_await pauseFor(kOrderDuration);
  ledger_.withLock([&](Ledger& ledger) {
    ledger.orders.push_back(
        {settings_.address.value, weights, fence, accepted, begun, BootClock::now(), from.value});
  });
  if (!accepted) co_return textResponse(409, "an order with a higher fence came before\n");
  co_return jsonResponse(200, Json::object());
}

// Waits until the server is no longer frozen.
awaitable<void> StandInServer::waitWhileFrozen() {
  while (faults_.frozen) co_await pauseFor(20ms);
}

awaitable<void> StandInServer::loadWeights(std::string weights, std::uint64_t incarnation) {
  co_await pauseFor(settings_.loadDuration);
  if (incarnation != incarnation_) co_return;
  weights_ = weights;
  cache_.clear();
  lruOrder_.clear();
  loading_ = false;
  ledger_.withLock([&](Ledger& ledger) {
    ledger.weightsLoadedAt[weights][settings_.address.value] = BootClock::now();
  });
}

std::size_t StandInServer::cachedBlocks(const std::vector<BlockHash>& chain, RunRow* run) {
  std::size_t cachedCount = 0;
  for (const BlockHash hash : chain) {
    const auto block = cache_.find(hash);
    if (block == cache_.end()) break;
    ++cachedCount;
    run->foreignWeights = run->foreignWeights || block->second.weights != run->weights;
    run->foreignSalt = run->foreignSalt || block->second.salt != run->salt;
  }
  // Last block first, so that chains are evicted from their end.
  for (std::size_t i = cachedCount; i-- > 0;)
    lruOrder_.splice(lruOrder_.end(), lruOrder_, cache_.at(chain[i]).lruPosition);
  return cachedCount;
}

void StandInServer::store(const std::vector<BlockHash>& chain, const std::string& salt,
                          const std::vector<std::string>& weights, const PromptPrefix& prefix) {
  const auto sharedPrefix = std::make_shared<const PromptPrefix>(prefix);
  for (std::size_t i = std::min(chain.size(), weights.size()); i-- > 0;) {
    if (cache_.contains(chain[i])) continue;
    lruOrder_.push_back(chain[i]);
    cache_[chain[i]] = {weights[i], salt, sharedPrefix, i, std::prev(lruOrder_.end())};
  }
  while (cache_.size() > settings_.cacheTokens / settings_.blockTokens) evictLeastRecentlyUsed();
}

void StandInServer::evictLeastRecentlyUsed() {
  const Block& block = cache_.at(lruOrder_.front());
  PromptPrefix evictedPrefix;
  std::size_t remainingTokens = (block.index + 1) * settings_.blockTokens;
  for (const PromptPart& part : block.prefix->parts) {
    const auto partTokens =
        static_cast<std::uint32_t>(std::min<std::size_t>(remainingTokens, part.tokens));
    if (partTokens > 0) evictedPrefix.parts.push_back({part.id, partTokens});
    remainingTokens -= partTokens;
  }
  evictionEvents_.push_back({{"position", nextEvent_++},
                             {"kind", "dropped"},
                             {"salt", block.salt},
                             {"prefix", formatPrefix(evictedPrefix)}});
  if (evictionEvents_.size() > kEventLimit) evictionEvents_.pop_front();
  cache_.erase(lruOrder_.front());
  lruOrder_.pop_front();
}

HttpResponse StandInServer::handleDrop(HttpRequest& request) {
  const Json json = Json::parse(request.body(), nullptr, false);
  const auto prefix = parsePrefix(json.value("prefix", ""));
  if (!prefix.ok()) return textResponse(400, "bad prefix\n");
  for (const BlockHash hash :
       blockChainOf(json.value("salt", ""), *prefix, settings_.blockTokens)) {
    const auto block = cache_.find(hash);
    if (block == cache_.end()) continue;
    lruOrder_.erase(block->second.lruPosition);
    cache_.erase(block);
  }
  return jsonResponse(200, Json::object());
}

HttpResponse StandInServer::handleRead(HttpRequest& request) {
  const Json json = Json::parse(request.body(), nullptr, false);
  const auto prefix = parsePrefix(json.value("prefix", ""));
  Json weights = Json::array();
  if (prefix.ok()) {
    for (const BlockHash hash :
         blockChainOf(json.value("salt", ""), *prefix, settings_.blockTokens)) {
      const auto block = cache_.find(hash);
      if (block == cache_.end()) break;
      weights.push_back(block->second.weights);
    }
  }
  return jsonResponse(200, {{"weights", weights}});
}

// Stores the blocks that the source has, under whichever weights: neither side checks them.
awaitable<HttpResponse> StandInServer::handlePull(HttpRequest& request) {
  const Json json = Json::parse(request.body(), nullptr, false);
  const auto prefix = parsePrefix(json.value("prefix", ""));
  if (!prefix.ok()) co_return textResponse(400, "bad prefix\n");
  const std::uint64_t incarnation = incarnation_;
  const Instant deadline = BootClock::now() + std::chrono::milliseconds(json.value("due_ms", 300));
  HttpCall call;
  call.to = Address{json.value("source", "")};
  call.verb = http::verb::post;
  call.target = "/kv-read";
  call.body = request.body();
  call.timeout = deadline - BootClock::now();
  const auto response = co_await httpCall(std::move(call));
  if (!response.ok() || response->result_int() != 200) co_return textResponse(502, "no source\n");
  const Json blocks = Json::parse(response->body(), nullptr, false);
  auto weights = blocks.value("weights", std::vector<std::string>{});
  weights.resize(
      std::min(weights.size(), json.value("tokens", std::size_t{0}) / settings_.blockTokens));
  const int slowdown = slowLinks_ ? 20 : 1;
  co_await pauseFor(settings_.fetchPerToken *
                    static_cast<int>(weights.size() * settings_.blockTokens) * slowdown);
  if (BootClock::now() > deadline || incarnation != incarnation_)
    co_return textResponse(504, "the due passed\n");
  const std::string salt = json.value("salt", "");
  store(blockChainOf(salt, *prefix, settings_.blockTokens), salt, weights, *prefix);
  co_return jsonResponse(200, {{"tokens", weights.size() * settings_.blockTokens}});
}

awaitable<void> StandInServer::storePrefix(std::string salt, std::string weights,
                                           std::string prefix) {
  HttpCall call;
  call.to = settings_.store;
  call.verb = http::verb::post;
  call.target = "/keep";
  call.body = Json{{"salt", salt}, {"weights", weights}, {"prefix", prefix}}.dump();
  call.timeout = 500ms;
  (void)co_await httpCall(std::move(call));
}

awaitable<std::optional<HttpResponse>> StandInServer::generate(Connection& connection,
                                                               HttpRequest& request) {
  const Json body = Json::parse(request.body(), nullptr, false);
  const std::string wantedWeights(request[wire::kWeights]);
  if (!body.is_object()) co_return textResponse(400, "no JSON\n");
  ledger_.withLock([&](Ledger& ledger) {
    ledger.arrivals.push_back({body.value("nonce", ""), BootClock::now()});
  });
  if (wantedWeights != weights_) co_return notRun("other weights");
  if (loading_) co_return notRun("loading weights");
  if (queued_ >= settings_.queueLimit) co_return notRun("the queue is full");
  const std::uint64_t incarnation = incarnation_;
  ++queued_;
  while (running_ >= settings_.slots && incarnation == incarnation_) co_await pauseFor(2ms);
  if (incarnation != incarnation_) co_return std::nullopt;
  --queued_;
  if (weights_ != wantedWeights || loading_) co_return notRun("weights changed while it waited");
  ++running_;
  RunRow run;
  run.nonce = body.value("nonce", "");
  run.run = identity_ + "/" + std::to_string(++runs_);
  run.server = settings_.address.value;
  run.salt = std::string(request[wire::kSalt]);
  run.weights = weights_;
  run.at = BootClock::now();
  const std::string prefixText(request[wire::kPrefix]);
  const auto prefix = parsePrefix(prefixText);
  std::vector<BlockHash> chain;
  if (prefix.ok()) chain = blockChainOf(run.salt, *prefix, settings_.blockTokens);
  const std::size_t cachedCount = cachedBlocks(chain, &run);
  run.promptTokens = chain.size() * settings_.blockTokens;
  run.cachedTokens = cachedCount * settings_.blockTokens;
  const std::size_t missing = run.promptTokens - run.cachedTokens;
  ledger_.withLock([&](Ledger& ledger) { ledger.runs.push_back(run); });
  co_await pauseFor(settings_.prefillPerToken * static_cast<int>(missing));
  if (incarnation != incarnation_) co_return std::nullopt;
  if (weights_ == run.weights)
    store(chain, run.salt, std::vector<std::string>(chain.size(), run.weights),
          prefix.ok() ? *prefix : PromptPrefix{});
  if (!settings_.store.value.empty() && missing > 512)
    asio::co_spawn(io_, storePrefix(run.salt, run.weights, prefixText), asio::detached);
  ErrorCode code;
  const auto recordAbort = [&] {
    ledger_.withLock([&](Ledger& ledger) { ledger.abortedByServer.insert(run.nonce); });
  };
  if (faults_.dropBeforeFirst) {
    --running_;
    recordAbort();
    co_return std::nullopt;
  }
  if (faults_.endless) {
    const std::string head = "HTTP/1.1 " + std::to_string(faults_.endlessStatus) + " X\r\n" +
                             wire::kRequestId + ": " + std::string(request[wire::kRequestId]) +
                             "\r\n" + wire::kWeights + ": " + run.weights + "\r\n";
    co_await sendWithoutEnd(connection, head, *faults_.endless, EndlessSpeed::Full);
    recordAbort();
    if (incarnation == incarnation_) --running_;
    co_return std::nullopt;
  }
  http::response<http::empty_body> answer(http::status::ok, 11);
  answer.set(wire::kRequestId, request[wire::kRequestId]);
  answer.set(wire::kWeights, run.weights);
  answer.set(http::field::transfer_encoding, "chunked");
  http::response_serializer<http::empty_body> serializer(answer);
  connection.expires_after(10s);
  co_await http::async_write_header(connection, serializer, into(code));
  const int pieces = body.value("pieces", 4);
  for (int piece = 0; piece < pieces && !code && incarnation == incarnation_; ++piece) {
    if (faults_.dropMidStream && piece == pieces / 2) code = asio::error::connection_reset;
    const std::string line =
        Json{{"nonce", run.nonce}, {"run", run.run}, {"piece", piece}}.dump() + "\n";
    const int times = faults_.repeatPiece && piece == 1 ? 2 : 1;
    for (int i = 0; i < times && !code; ++i) {
      connection.expires_after(10s);
      co_await asio::async_write(connection, http::make_chunk(asio::buffer(line)), into(code));
    }
    co_await pauseFor(settings_.pieceInterval);
    co_await waitWhileFrozen();
  }
  if (code || incarnation != incarnation_) recordAbort();
  if (incarnation != incarnation_) co_return std::nullopt;
  --running_;
  if (code) co_return std::nullopt;
  const int sentPieces = pieces + (faults_.repeatPiece ? 1 : 0);
  const std::string endMark =
      Json{{"run", run.run}, {"end", true}, {"pieces", sentPieces}}.dump() + "\n";
  connection.expires_after(10s);
  co_await asio::async_write(connection, http::make_chunk(asio::buffer(endMark)), into(code));
  if (!code) co_await asio::async_write(connection, http::make_chunk_last(), into(code));
  co_return std::nullopt;
}

}  // namespace quayrill::fleet
