#include "proxy/deliver.h"

#include <sstream>

#include "base/scope_exit.h"
#include "net/body_reader.h"
#include "net/read_pace.h"
#include "net/request_sender.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr std::size_t kLineLimit = 64 << 10;
constexpr Duration kStartCheckInterval = 100ms;  // how often Delivery::startDeadline is looked up
// A caller that reads no bytes for this long counts as gone.
constexpr Duration kCallerTimeout = 10s;

// State of the server's answer while it is parsed line by line.
struct Stream {
  std::string partialLine;       // bytes after the last complete line
  std::size_t searched = 0;      // bytes of partialLine in which no line ends
  std::string endMark;           // held back until the server's answer is complete
  std::uint64_t pieces = 0;      // complete lines passed on
  std::uint64_t markPieces = 0;  // pieces that the end mark says were sent
  bool broken = false;           // there was a line after the end mark, or an overlong one
};

// Returns the complete lines in `partialLine` and removes them. An end mark is moved to endMark
// instead.
std::string takeLines(Stream* stream) {
  std::string lines;
  std::size_t start = 0, from = stream->searched;
  for (std::size_t end; (end = stream->partialLine.find('\n', from)) != std::string::npos;
       start = from = end + 1) {
    const std::string line = stream->partialLine.substr(start, end + 1 - start);
    if (!stream->endMark.empty()) {
      stream->broken = true;
    } else if (isEndMark(line, &stream->markPieces)) {
      stream->endMark = line;
    } else {
      ++stream->pieces;
      lines += line;
    }
  }
  stream->partialLine.erase(0, start);
  stream->searched = stream->partialLine.size();
  stream->broken = stream->broken || stream->partialLine.size() > kLineLimit;
  return lines;
}

// Closes the connection to the server once the answer may no longer start. Checked at intervals,
// because that time may move.
struct StartWatch {
  Connection* server = nullptr;  // null once the delivery has ended or its answer has started
  std::function<Instant()> startDeadline;
  asio::steady_timer timer;
  bool isRevoked = false;

  StartWatch(Connection& connection, std::function<Instant()> deadline)
      : server(&connection), startDeadline(std::move(deadline)), timer(connection.get_executor()) {}
  static void arm(const std::shared_ptr<StartWatch>& watch) {
    watch->timer.expires_after(kStartCheckInterval);
    watch->timer.async_wait([watch](const ErrorCode& code) {
      if (!code && watch->server) check(watch);
    });
  }
  static void check(const std::shared_ptr<StartWatch>& watch) {
    if (BootClock::now() < watch->startDeadline()) return arm(watch);
    watch->isRevoked = true;
    watch->server->close();
  }
  void stop() {
    server = nullptr;
    timer.cancel();
  }
};

Duration remaining(Instant deadline) {
  return std::max<Duration>(deadline - BootClock::now(), Duration(1));
}

std::string requestHead(const Delivery& delivery) {
  http::request<http::empty_body> request(http::verb::post, wire::kGenerate, 11);
  request.set(http::field::host, delivery.server.name.value);
  request.set(http::field::connection, "close");
  request.set(http::field::content_type, "application/json");
  request.set(wire::kRequestId, delivery.request.value);
  request.set(wire::kModel, delivery.server.model.value);
  request.set(wire::kWeights, delivery.server.weights.value);
  request.set(wire::kSalt, delivery.salt.value);
  request.set(wire::kPrefix, delivery.prefixHeader);
  request.content_length(delivery.body.size());
  std::ostringstream head;
  head << request.base();
  return head.str();
}

awaitable<bool> sendChunk(Connection& caller, const std::string& bytes) {
  ErrorCode code;
  caller.expires_after(kCallerTimeout);
  co_await asio::async_write(caller, http::make_chunk(asio::buffer(bytes)), into(code));
  co_return !code;
}

// Reads the server's answer and streams its pieces to the caller.
awaitable<DeliveryResult> streamAnswer(const Delivery& delivery, Connection& server,
                                       Connection& caller, Instant startedAt,
                                       StartWatch& startWatch) {
  ErrorCode code;
  const auto failedAfterSend = [&](const std::string& what) {
    if (startWatch.isRevoked)
      return DeliveryResult{DeliveryOutcome::StartRevoked,
                            "a tenant became isolated while it waited at the server"};
    const bool isLate =
        code == beast::error::timeout || BootClock::now() >= delivery.firstPieceDeadline;
    return DeliveryResult{isLate ? DeliveryOutcome::DeadlineExceeded : DeliveryOutcome::Unknown,
                          what + ": " + code.message()};
  };
  server.expires_after(remaining(delivery.firstPieceDeadline));
  ReadBuffer buffer;
  std::optional<http::response_parser<http::buffer_body>> answerParser;
  do {
    answerParser.emplace();
    // Streamed answers have no size limit. (Boost 1.74 treats boost::none as a limit that every
    // length exceeds.)
    answerParser->body_limit(std::numeric_limits<std::uint64_t>::max());
    answerParser->header_limit(16 << 10);
    co_await http::async_read_header(server, buffer, *answerParser, into(code));
    if (code) co_return failedAfterSend("answer");
  } while (answerParser->get().result_int() / 100 == 1);
  auto& parser = *answerParser;
  const auto& head = parser.get();
  if (head.result_int() != 200) {
    // The connection carries only this request, so an answer without an id belongs to it.
    const auto id = head.find(wire::kRequestId);
    const bool isOurs = id == head.end() || id->value() == delivery.request.value;
    const bool notRun = isOurs && head[wire::kNotRun] == "true";
    co_return DeliveryResult{notRun ? DeliveryOutcome::NotRun : DeliveryOutcome::Unknown,
                             "the server answered " + std::to_string(head.result_int())};
  }
  if (head[wire::kRequestId] != delivery.request.value ||
      head[wire::kWeights] != delivery.server.weights.value)
    co_return DeliveryResult{DeliveryOutcome::Unknown,
                             "the answer names another request or weights"};

  ReadPace pace(ReadCost::ReadsAndBytes, BootClock::now());
  Stream stream;
  DeliveryResult result;
  bool headSent = false;
  char block[8192];
  while (!code && !stream.broken && !parser.is_done()) {
    parser.get().body().data = block;
    parser.get().body().size = sizeof block;
    // Backpressure: nothing more is read from the server until the caller has taken what came
    // before.
    server.expires_after(headSent ? std::max<Duration>(remaining(delivery.deadline), 5s)
                                  : remaining(delivery.firstPieceDeadline));
    co_await http::async_read_some(server, buffer, parser, into(code));
    parseBuffered(parser, buffer, &code);
    if (code == http::error::need_buffer) code = {};
    const std::size_t got = sizeof block - parser.get().body().size;
    if (code && got == 0) break;  // bytes that came before broken framing are passed on
    growAfterRead(buffer, got);
    stream.partialLine.append(block, got);
    const Duration pause = pace.afterRead(got, BootClock::now());
    const std::string lines = takeLines(&stream);
    if (lines.empty()) {
      if (pause > Duration{}) co_await pauseFor(pause);
      continue;
    }
    if (startWatch.isRevoked) co_return failedAfterSend("answer");
    startWatch.stop();
    if (!headSent) {
      http::response<http::empty_body> answer(http::status::ok, 11);
      answer.set(http::field::content_type, "application/x-ndjson");
      answer.set("Quayrill-Request-Id", delivery.request.value);
      answer.set("Quayrill-Outcome", "done");
      answer.set(http::field::transfer_encoding, "chunked");
      http::response_serializer<http::empty_body> serializer(answer);
      caller.expires_after(kCallerTimeout);
      ErrorCode callerCode;
      co_await http::async_write_header(caller, serializer, into(callerCode));
      headSent = true;
      result.firstPieceAfter = BootClock::now() - startedAt;
      if (callerCode) co_return DeliveryResult{DeliveryOutcome::CallerGone, callerCode.message()};
    }
    const bool sent = co_await sendChunk(caller, lines);
    result.pieces = stream.pieces;
    if (!sent) {
      result.outcome = DeliveryOutcome::CallerGone;
      co_return result;
    }
    if (pause > Duration{}) co_await pauseFor(pause);
  }
  const bool isComplete = !code && parser.is_done() && !stream.broken &&
                          stream.partialLine.empty() && !stream.endMark.empty() &&
                          stream.markPieces == stream.pieces;
  if (!headSent) {
    if (code) co_return failedAfterSend("answer");
    co_return DeliveryResult{DeliveryOutcome::Unknown, "an answer with no piece"};
  }
  if (!isComplete) {
    result.outcome = DeliveryOutcome::Truncated;
    result.detail = code ? code.message() : "no end mark, or one that names other pieces";
    co_return result;
  }
  const bool endMarkSent = co_await sendChunk(caller, stream.endMark);
  caller.expires_after(kCallerTimeout);
  if (endMarkSent) co_await asio::async_write(caller, http::make_chunk_last(), into(code));
  result.outcome = endMarkSent && !code ? DeliveryOutcome::Done : DeliveryOutcome::CallerGone;
  co_return result;
}
}  // namespace

const char* deliveryOutcomeName(DeliveryOutcome outcome) {
  static constexpr const char* kNames[] = {"never sent",    "not run", "unknown", "due passed",
                                           "start revoked", "done",    "cut",     "caller gone"};
  return kNames[static_cast<std::size_t>(outcome)];
}

awaitable<DeliveryResult> deliver(Delivery delivery, Connection& caller,
                                  std::function<bool()> mayStart) {
  const Instant startedAt = BootClock::now();
  Connection server(co_await asio::this_coro::executor);
  ErrorCode code;
  server.expires_after(std::min<Duration>(remaining(delivery.firstPieceDeadline), 1s));
  const Tcp::endpoint endpoint = endpointOf(Address{delivery.server.name.value});
  co_await server.async_connect(endpoint, into(code));
  if (code) co_return DeliveryResult{DeliveryOutcome::NeverSent, "connect: " + code.message()};
  server.socket().non_blocking(true, code);
  if (BootClock::now() >= delivery.deadline)
    co_return DeliveryResult{DeliveryOutcome::NeverSent, "the due passed before anything left"};

  bool hasStarted = false;
  RequestSender sender(server.socket(), requestHead(delivery), delivery.body, [&] {
    if (BootClock::now() >= delivery.deadline) return false;
    if (hasStarted) return true;
    hasStarted = true;
    return mayStart();
  });
  sender.begin();
  if (sender.hasSentNothing() && sender.hasStopped())
    co_return DeliveryResult{DeliveryOutcome::NeverSent, "no longer confirmed at the point of use"};
  const auto startWatch = std::make_shared<StartWatch>(server, delivery.startDeadline);
  StartWatch::arm(startWatch);
  ScopeExit stopWatch([startWatch] { startWatch->stop(); });
  const DeliveryResult result =
      co_await streamAnswer(delivery, server, caller, startedAt, *startWatch);
  if (!sender.isComplete()) {
    server.close();
    co_await sender.waitUntilStopped();
  }
  co_return result;
}

}  // namespace quayrill
