// One try at one server: the request's bytes out, the answer's events back.
#include <charconv>

#include "relay/relay.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr Span kConnectDue = 400ms;
constexpr Span kSignsOfLife = 500ms;  // ours: a server that sent something this lately is alive
constexpr std::size_t kAnswerLimit = 16 << 20;
constexpr std::size_t kEventLimit = 1 << 20;

bool isSame(std::string_view left, std::string_view right) {
  return beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

// Headers that concern one connection only.
bool isOfConnection(std::string_view name) {
  for (const char* own : {"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "TE",
                          "Trailer", "Upgrade", "Proxy-Connection", "Expect"}) {
    if (isSame(name, own)) return true;
  }
  return false;
}

void addHeader(std::string* head, std::string_view name, std::string_view value) {
  head->append(name).append(": ").append(value).append("\r\n");
}

std::string chunkOf(std::string_view bytes) {
  char size[24];
  const auto [end, defect] = std::to_chars(size, size + sizeof size, bytes.size(), 16);
  (void)defect;
  std::string chunk(size, end);
  return chunk.append("\r\n").append(bytes).append("\r\n");
}

std::vector<std::uint32_t> numbersOf(std::string_view text) {
  std::vector<std::uint32_t> numbers;
  for (std::size_t at = 0; at < text.size();) {
    std::uint32_t number = 0;
    const auto [end, defect] = std::from_chars(text.data() + at, text.data() + text.size(), number);
    if (defect != std::errc{}) {
      ++at;
      continue;
    }
    numbers.push_back(number);
    at = static_cast<std::size_t>(end - text.data());
  }
  return numbers;
}

// What is soon read goes first among requests of like priority: it hardly holds the others up.
unsigned urgencyOf(const RelayRequest& job, const Placed& placed) {
  unsigned steps = 0;
  for (std::size_t unread = placed.promptTokens - placed.matchedTokens; unread > 1000; unread /= 2)
    ++steps;
  return std::min(9U, job.priority + steps);
}

std::string_view view(beast::string_view text) { return {text.data(), text.size()}; }
}  // namespace

struct Relay::Attempt {
  // Outlives the timer's handler; `socket` is null once the try has ended.
  struct Watch {
    Tcp::socket* socket = nullptr;
    Instant deadline = Instant::max();
    // Until the first event: a server that answered others since `begun` is given more time.
    std::shared_ptr<Instant> signs;
    Instant begun{}, latest{};
    bool hasBegun = false, expired = false;
    bool deservesMore(Instant now) const {
      return !hasBegun && now<latest&& * signs> begun && now - *signs < kSignsOfLife;
    }
  };
  const std::shared_ptr<Caller>& caller;
  const RelayRequest& job;
  const Placed& placed;
  AnswerSoFar* soFar;
  bool keepAlive;
  Instant begun;
  std::unique_ptr<ServerConnection> connection;
  std::optional<http::response_parser<http::buffer_body>> parser;
  std::shared_ptr<Watch> watch = std::make_shared<Watch>();
  asio::steady_timer timer;

  void arm(Instant deadline) {
    watch->deadline = deadline;
    timer.expires_after(deadline - BootClock::now());
    timer.async_wait([this, watch = watch](const ErrorCode& code) {
      if (code || !watch->socket) return;
      const Instant now = BootClock::now();
      if (now < watch->deadline) return arm(watch->deadline);
      if (watch->deservesMore(now)) return arm(std::min(watch->latest, now + kSignsOfLife));
      watch->expired = true;
      ErrorCode ignored;
      watch->socket->close(ignored);
    });
  }
};

std::string Relay::requestHead(const RelayRequest& job, const Placed& placed, Instant now,
                               const AnswerSoFar& soFar) const {
  const HttpRequest& original = job.original;
  const ServerState& server = placed.chosenServer;
  std::string head;
  head.reserve(1024);
  head.append(view(original.method_string())).append(" ").append(view(original.target()));
  head.append(" HTTP/1.1\r\n");
  const std::string named = std::string(view(original[http::field::connection]));
  for (const auto& field : original) {
    const std::string_view name = view(field.name_string());
    if (isOfConnection(name) || (!named.empty() && named.find(name) != std::string::npos)) continue;
    bool isOurs = false;
    for (const std::string* own :
         {&names_.key, &names_.tenant, &names_.identityWanted, &names_.weightsWanted, &names_.salt,
          &names_.fetchSource, &names_.keepAt, &names_.urgency, &names_.dueMs, &names_.lastEventId})
      isOurs = isOurs || isSame(name, *own);
    if (!isOurs) addHeader(&head, name, view(field.value()));
  }
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(job.deadline - now);
  addHeader(&head, names_.dueMs, std::to_string(std::max<std::int64_t>(1, left.count())));
  addHeader(&head, names_.identityWanted, server.identity.value);
  if (!server.weights.value.empty()) addHeader(&head, names_.weightsWanted, server.weights.value);
  if (job.needsKey) addHeader(&head, names_.tenant, job.tenant.value);
  // No two versions and no two walls share a salt, so no match and no fetch leads across: servers
  // and stores check neither.
  addHeader(&head, names_.salt, saltText(server.weights, job.wall).value);
  addHeader(&head, names_.urgency, std::to_string(urgencyOf(job, placed)));
  if (!placed.fetchFrom.value.empty()) addHeader(&head, names_.fetchSource, placed.fetchFrom.value);
  if (!placed.keepAt.value.empty()) addHeader(&head, names_.keepAt, placed.keepAt.value);
  if (soFar.lastEventId > 0)
    addHeader(&head, names_.lastEventId, std::to_string(soFar.lastEventId));
  const bool hasBody = !original.body().empty() || original.method() == http::verb::post ||
                       original.method() == http::verb::put ||
                       original.method() == http::verb::patch;
  if (hasBody) addHeader(&head, "Content-Length", std::to_string(original.body().size()));
  return head.append("\r\n");
}

void Relay::noteHead(const ServerState& server, const http::response_header<>& head) {
  const Instant now = BootClock::now();
  const auto load = numbersOf(view(head[names_.load]));
  if (load.size() == 3) placement_.noteLoad(server.name, load[0], load[1], load[2], now);
  const auto weights = numbersOf(view(head[names_.weights]));
  if (!weights.empty())
    placement_.noteWeights(server.name, server.identity,
                           WeightsVersion{std::to_string(weights.back())});
}

awaitable<TryResult> Relay::attempt(const std::shared_ptr<Caller>& caller, const RelayRequest& job,
                                    const Placed& placed, AnswerSoFar* soFar, Instant firstDeadline,
                                    bool keepAlive) {
  const ServerState& server = placed.chosenServer;
  Attempt attempt{caller,
                  job,
                  placed,
                  soFar,
                  keepAlive,
                  BootClock::now(),
                  nullptr,
                  std::nullopt,
                  std::make_shared<Attempt::Watch>(),
                  asio::steady_timer(io_)};
  attempt.connection = pool_.takeIdle(server.name, attempt.begun);
  if (!attempt.connection) {
    const Span due = std::min<Span>(kConnectDue, job.deadline - attempt.begun);
    auto connected = co_await pool_.connect(server.name, due);
    if (!connected.ok())
      co_return TryResult{TryEnd::NeverSent, std::string(connected.status().message())};
    attempt.connection = std::move(*connected);
  }
  const Instant now = BootClock::now();
  if (caller->isGone) co_return TryResult{TryEnd::CallerGone, "before it was sent"};
  if (now >= job.deadline) co_return TryResult{TryEnd::NeverSent, "the deadline passed"};
  if (!mayRun(job, server))
    co_return TryResult{TryEnd::NeverSent, "no longer allowed at the point of use"};

  Tcp::socket& socket = attempt.connection->socket;
  attempt.watch->socket = &socket;
  attempt.watch->signs = signsOf(server.name);
  attempt.watch->begun = now;
  attempt.watch->latest = job.deadline;
  caller->endTry = [watch = attempt.watch] {
    ErrorCode ignored;
    if (watch->socket) watch->socket->close(ignored);
  };
  watch(caller);
  attempt.arm(firstDeadline);
  const std::string head = requestHead(job, placed, now, *soFar);
  budget_.countFirst(now);
  ErrorCode code;
  const std::array<asio::const_buffer, 2> bytes{asio::buffer(head),
                                                asio::buffer(job.original.body())};
  co_await asio::async_write(socket, bytes, into(code));
  TryResult result;
  if (code)
    result = {TryEnd::Unknown, "send: " + code.message()};
  else
    result = co_await readAnswer(attempt);
  attempt.watch->socket = nullptr;
  attempt.timer.cancel();
  caller->endTry = nullptr;
  if (result.end != TryEnd::Done && caller->isGone)
    co_return TryResult{TryEnd::CallerGone, result.detail};
  if (attempt.watch->expired && result.end == TryEnd::Unknown) {
    result.end = TryEnd::Silent;
    result.detail = "silent";
  }
  if (attempt.connection) {
    const auto& answered = attempt.parser;
    const bool whole = answered && answered->is_done() && answered->keep_alive() &&
                       (result.end == TryEnd::Done || result.end == TryEnd::NotRun);
    if (whole) {
      std::optional<Span> keepFor;
      const auto named = numbersOf(view(answered->get()["Keep-Alive"]));
      if (!named.empty()) keepFor = std::chrono::seconds(named.front());
      pool_.give(server.name, std::move(attempt.connection), keepFor, BootClock::now());
    }
  }
  co_return result;
}

// Answers to earlier requests may stand before this one's; their ids tell.
awaitable<TryResult> Relay::readAnswer(Attempt& attempt) {
  Tcp::socket& socket = attempt.connection->socket;
  beast::flat_buffer& buffer = attempt.connection->buffer;
  ErrorCode code;
  for (;;) {
    attempt.parser.emplace();
    auto& parser = *attempt.parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    parser.header_limit(32 << 10);
    co_await http::async_read_header(socket, buffer, parser, into(code));
    if (code) co_return TryResult{TryEnd::Unknown, "answer: " + code.message()};
    const auto& head = parser.get();
    if (head.result_int() / 100 == 1) continue;
    const std::string id(view(head[names_.requestId]));
    const bool isOurs = id == attempt.job.id.value;
    const unsigned status = head.result_int();
    const bool isWhole = isOurs && status / 100 == 2 && attempt.job.contract.isStream;
    if (isOurs) noteHead(attempt.placed.chosenServer, head);
    if (isWhole) co_return co_await passEvents(attempt);
    // Anything else is read whole before it is judged.
    std::string body;
    char block[8192];
    while (!parser.is_done()) {
      parser.get().body().data = block;
      parser.get().body().size = sizeof block;
      co_await http::async_read_some(socket, buffer, parser, into(code));
      if (code == http::error::need_buffer) code = {};
      if (code) co_return TryResult{TryEnd::Unknown, "answer: " + code.message()};
      body.append(block, sizeof block - parser.get().body().size);
      if (body.size() > kAnswerLimit) co_return TryResult{TryEnd::Unknown, "an endless answer"};
    }
    const bool saysNotRun =
        (status == 421 || head.find(names_.notRun) != head.end()) && status / 100 != 2;
    if (!isOurs && !(saysNotRun && id.empty())) continue;
    if (saysNotRun) {
      TryResult result{TryEnd::NotRun, "the server answered " + std::to_string(status)};
      // Other weights than asked for, and it said which it has now: ask again for those.
      const bool isSameServer =
          head.find(names_.identity) == head.end() ||
          view(head[names_.identity]) == attempt.placed.chosenServer.identity.value;
      result.retrySame = status == 421 && isSameServer && head.find(names_.weights) != head.end();
      if (status == 421 && !isSameServer)
        placement_.noteFailure(attempt.placed.chosenServer.name, BootClock::now());
      if (status != 421) placement_.noteRefusal(attempt.placed.chosenServer.name, BootClock::now());
      co_return result;
    }
    HttpResponse response;
    response.result(status);
    for (const auto& field : head) {
      if (!isOfConnection(view(field.name_string())))
        response.insert(field.name_string(), field.value());
    }
    response.body() = std::move(body);
    if (status / 100 == 2) {
      const bool written = co_await answer(attempt.caller, std::move(response), attempt.keepAlive);
      co_return TryResult{written ? TryEnd::Done : TryEnd::CallerGone, "whole"};
    }
    TryResult result{TryEnd::Unknown, "the server answered " + std::to_string(status)};
    result.failure = std::move(response);
    co_return result;
  }
}

awaitable<TryResult> Relay::passEvents(Attempt& attempt) {
  Tcp::socket& socket = attempt.connection->socket;
  auto& parser = *attempt.parser;
  AnswerSoFar& soFar = *attempt.soFar;
  EventSplitter splitter(soFar.lastEventId);
  TryResult result{TryEnd::Cut, ""};
  ErrorCode code;
  char block[16384];
  while (!parser.is_done()) {
    parser.get().body().data = block;
    parser.get().body().size = sizeof block;
    co_await http::async_read_some(socket, attempt.connection->buffer, parser, into(code));
    if (code == http::error::need_buffer) code = {};
    if (code) break;
    *attempt.watch->signs = BootClock::now();
    const std::size_t got = sizeof block - parser.get().body().size;
    const EventBatch batch = splitter.take({block, got});
    if (splitter.rest().size() > kEventLimit) break;
    const bool isEnd = parser.is_done();
    std::string events = batch.bytes;
    if (isEnd) events += splitter.rest();
    if (events.empty() && !isEnd) continue;
    std::string bytes;
    if (!soFar.headSent) {
      bytes = "HTTP/1.1 200 OK\r\n";
      for (const auto& field : parser.get()) {
        if (!isOfConnection(view(field.name_string())))
          addHeader(&bytes, view(field.name_string()), view(field.value()));
      }
      addHeader(&bytes, "Transfer-Encoding", "chunked");
      if (!keepsOpen(attempt.caller, attempt.keepAlive)) addHeader(&bytes, "Connection", "close");
      bytes += "\r\n";
      result.firstAfter = BootClock::now() - attempt.begun;
    }
    if (!events.empty()) bytes += chunkOf(events);
    if (isEnd) bytes += "0\r\n\r\n";
    soFar.headSent = true;
    // From here on only the route's own deadline ends the answer.
    attempt.watch->hasBegun = true;
    attempt.watch->deadline = streamEnd(attempt.job);
    setDeadline(attempt.caller, streamEnd(attempt.job));
    ErrorCode written;
    co_await asio::async_write(attempt.caller->socket, asio::buffer(bytes), into(written));
    attempt.caller->deadline = Instant::max();
    if (written) co_return TryResult{TryEnd::CallerGone, written.message()};
    soFar.events += batch.events;
    soFar.lastEventId = splitter.lastId();
  }
  if (!code && parser.is_done()) {
    result.end = TryEnd::Done;
    result.detail = std::to_string(soFar.events) + " events";
    co_return result;
  }
  result.detail = code ? code.message() : "an endless event";
  result.end = soFar.headSent ? TryEnd::Cut : TryEnd::Unknown;
  co_return result;
}

}  // namespace quayrill
