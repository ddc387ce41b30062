// Reads the response of a server to one attempt: whose it is, what it says, and its events, which
// are forwarded to the caller.
#include <array>
#include <charconv>

#include "base/numbers.h"
#include "net/body_reader.h"
#include "net/read_pace.h"
#include "relay/attempt.h"
#include "relay/header_text.h"
#include "relay/response_owner.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
constexpr std::size_t kMaxResponseBytes = 16 << 20;  // of a success that is not a stream
constexpr std::size_t kMaxErrorBytes = 256 << 10;    // of any other answer for a caller
constexpr std::size_t kMaxUnusedBytes = 1 << 20;     // of an answer that reaches no caller
constexpr std::size_t kSmallAnswerBytes = 128 << 10;
constexpr std::size_t kMaxEventBytes = 1 << 20;
// More responses to other requests than this mean that the server is out of sync.
constexpr int kMaxStrayResponses = 16;
constexpr char kLastChunk[] = "0\r\n\r\n";

// The line before the bytes of a chunk of the chunked transfer coding.
std::string chunkSizeLine(std::size_t size) {
  char digits[24];
  const auto [end, error] = std::to_chars(digits, digits + sizeof digits, size, 16);
  (void)error;
  return std::string(digits, end) + "\r\n";
}

// A figure of a server's load. One that is too large counts as the largest.
std::uint32_t loadFigure(std::string_view digits) {
  return wholeNumber<std::uint32_t>(digits).value_or(std::numeric_limits<std::uint32_t>::max());
}

void failBody(AnswerBody* body, AnswerFault fault) {
  body->fault = fault;
  body->error = describeFault(fault);
}

// A response with the status and the end-to-end headers of a server's response, without its body.
HttpResponse responseWithHeadOf(const http::response_header<>& head) {
  HttpResponse response;
  response.result(head.result_int());
  for (const auto& field : head) {
    if (!isHopByHop(view(field.name_string()))) response.insert(field.name_string(), field.value());
  }
  return response;
}
}  // namespace

// Updates load and weights of the server from a response.
void Relay::applyResponseHeaders(const ServerState& server, const http::response_header<>& head) {
  const Instant now = BootClock::now();
  const auto load = digitRuns(view(head[headerNames_.load]));
  if (load.size() == 3) {
    const std::uint32_t queued = loadFigure(load[1]);
    placement_.noteLoad(server.name, loadFigure(load[0]), queued, loadFigure(load[2]), now);
    if (queued == 0) noneQueuedAt_[server.name] = now;
  }
  const auto versions = digitRuns(view(head[headerNames_.weights]));
  const auto newest = versions.empty() ? std::nullopt : wholeNumber(versions.back());
  if (newest)
    placement_.noteWeights(server.name, server.identity, WeightsVersion{std::to_string(*newest)});
}

void Relay::countRead(std::size_t bytes) {
  ++counters_.answerReads;
  counters_.answerBytes += bytes;
}

// What an answer of which `bytes` are held leaves of the budget. Large ones leave half of it, so
// that small ones pass while a server sends without end.
std::size_t Relay::roomForOtherAnswers(std::size_t bytes) const {
  return bytes > kSmallAnswerBytes ? answers_.limit() / 2 : 0;
}

bool Relay::takeAnswerBytes(ByteBudget::Share& share, std::size_t bytes) {
  const bool hasShare = share.growTo(bytes, roomForOtherAnswers(bytes));
  if (answers_.used() > counters_.answerBytesPeak) counters_.answerBytesPeak = answers_.used();
  return hasShare;
}

AnswerBodyLimits Relay::bodyLimitsOf(const Attempt& attempt, bool isKept) const {
  if (!isKept) return {kMaxUnusedBytes, false};
  const bool isSuccess = attempt.parser->get().result_int() / 100 == 2;
  return {isSuccess ? kMaxResponseBytes : kMaxErrorBytes, true};
}

// Reads the rest of a response that is not an event stream. Fails if the response breaks off.
awaitable<AnswerBody> Relay::readBody(Attempt& attempt, AnswerBodyLimits limits) {
  auto& parser = *attempt.parser;
  AnswerBody body;
  std::size_t size = 0;
  ReadPace pace(ReadCost::Reads, BootClock::now());
  char block[16384];
  if (parser.content_length().value_or(0) > limits.bytes) failBody(&body, AnswerFault::Body);
  while (body.error.empty() && !parser.is_done()) {
    ErrorCode code;
    parser.get().body().data = block;
    parser.get().body().size = sizeof block;
    co_await http::async_read_some(attempt.connection->socket, attempt.connection->buffer, parser,
                                   into(code));
    parseBuffered(parser, attempt.connection->buffer, &code);
    if (code == http::error::need_buffer) code = {};
    const std::size_t got = sizeof block - parser.get().body().size;
    countRead(got);
    if (code) {
      body.fault = faultOf(code);
      body.error = "answer: " + code.message();
      break;
    }
    size += got;
    growAfterRead(attempt.connection->buffer, got);
    const Duration pause = pace.afterRead(got, BootClock::now());
    if (pause > Duration{}) co_await pauseFor(pause);
    if (size > limits.bytes) {
      failBody(&body, AnswerFault::Body);
      break;
    }
    if (!limits.isKept) continue;
    // A string that grows may hold twice its size.
    const std::size_t held = 2 * size;
    const bool hasShare = takeAnswerBytes(attempt.answerShare, held) ||
                          co_await growShare(attempt.answerShare, held, roomForOtherAnswers(held));
    if (!hasShare) {
      // An answer that tells its length is refused for its size alone.
      const bool hasToldLength = parser.content_length().has_value();
      failBody(&body, hasToldLength ? AnswerFault::Memory : AnswerFault::Body);
      break;
    }
    body.bytes.append(block, got);
  }
  co_return body;
}

AttemptResult Relay::handleNotRun(const Attempt& attempt, const http::response_header<>& head) {
  const ServerState& server = attempt.placed.chosenServer;
  const unsigned status = head.result_int();
  AttemptResult result{AttemptOutcome::NotRun, "the server answered " + std::to_string(status)};
  // Status 421 with other weights than requested: the server reported those it has now, so the
  // request may be sent to it again for these.
  const bool isSameServer = head.find(headerNames_.identity) == head.end() ||
                            view(head[headerNames_.identity]) == server.identity.value;
  result.retrySameServer =
      status == 421 && isSameServer && head.find(headerNames_.weights) != head.end();
  if (status == 421 && !isSameServer) placement_.noteFailure(server.name, BootClock::now());
  if (status != 421) placement_.noteRejection(server.name, BootClock::now());
  return result;
}

// Reads responses until it finds the one to this request. Late responses to earlier requests may
// come first and are identified by their ids. A response whose request cannot be determined is
// skipped.
awaitable<AttemptResult> Relay::readResponse(Attempt& attempt) {
  Tcp::socket& socket = attempt.connection->socket;
  ReadBuffer& buffer = attempt.connection->buffer;
  ErrorCode code;
  for (int skipped = 0; skipped < kMaxStrayResponses; ++skipped) {
    attempt.parser.emplace();
    auto& parser = *attempt.parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    parser.header_limit(32 << 10);
    co_await http::async_read_header(socket, buffer, parser, into(code));
    if (code) {
      AttemptResult result{AttemptOutcome::Unknown, "answer: " + code.message()};
      result.fault = faultOf(code);
      co_return result;
    }
    const auto& head = parser.get();
    const unsigned status = head.result_int();
    if (status / 100 == 1) continue;
    const bool isFirst = attempt.connection->responsesRead == 0 && attempt.strayResponses == 0;
    const ResponseOwner owner = responseOwner(head, headerNames_, attempt.job.id, isFirst);
    if (owner == ResponseOwner::Malformed)
      co_return AttemptResult{AttemptOutcome::Unknown, "answers run into one another"};
    const bool isForRequest = owner == ResponseOwner::Request;
    if (isForRequest) applyResponseHeaders(attempt.placed.chosenServer, head);
    const bool isSuccess = status / 100 == 2;
    const bool isSealed = headerNames_.seal.empty() || head.find(headerNames_.seal) != head.end();
    if (isForRequest && isSuccess && !isSealed)
      co_return AttemptResult{AttemptOutcome::Unknown, "a success without a seal"};
    if (isForRequest && isSuccess && attempt.job.policy.isStream) {
      attempt.watch->headReadAt = BootClock::now();
      co_return co_await forwardEvents(attempt);
    }
    if (isForRequest) attempt.watch->isAnswered = true;
    // Any other response is read completely before it is evaluated.
    const bool isNotRun = owner != ResponseOwner::Other && reportsNotRun(head, headerNames_);
    const bool isForCaller = isForRequest && !isNotRun && (isSuccess || !promisesNotRun(status));
    const AnswerBodyLimits limits = bodyLimitsOf(attempt, isForCaller);
    AnswerBody body = co_await readBody(attempt, limits);
    if (!body.error.empty()) {
      AttemptResult result{AttemptOutcome::Unknown, body.error};
      result.fault = body.fault;
      co_return result;
    }
    if (isNotRun) co_return handleNotRun(attempt, head);
    if (!isForRequest) {
      ++attempt.strayResponses;
      if (!parser.keep_alive()) break;
      continue;
    }
    HttpResponse response = responseWithHeadOf(head);
    response.body() = std::move(body.bytes);
    if (isSuccess) {
      const bool written =
          co_await sendResponse(attempt.caller, std::move(response), attempt.keepAlive);
      co_return AttemptResult{written ? AttemptOutcome::Done : AttemptOutcome::CallerGone, "whole"};
    }
    AttemptResult result{AttemptOutcome::Unknown, "the server answered " + std::to_string(status)};
    // Such a status promises that the request did not run; without the server's not-run header,
    // that is not known.
    if (isForCaller) {
      result.failure = std::move(response);
      result.failureShare = std::move(attempt.answerShare);
    }
    co_return result;
  }
  AttemptResult result{AttemptOutcome::Unknown, "answers of others only"};
  result.fault = AnswerFault::Framing;
  co_return result;
}

// Completes the response to the caller after a successful response that ends with its head: status
// 204, or a length of 0. The caller gets it as it is, or the end of the stream that it has begun.
awaitable<AttemptResult> Relay::forwardEmptyStream(Attempt& attempt) {
  bool isWritten = false;
  if (attempt.progress->headSent) {
    setDeadline(attempt.caller, streamDeadline(attempt.job));
    ErrorCode code;
    co_await asio::async_write(attempt.caller->socket, asio::buffer(std::string_view(kLastChunk)),
                               into(code));
    attempt.caller->deadline = Instant::max();
    isWritten = !code;
  } else {
    HttpResponse response = responseWithHeadOf(attempt.parser->get());
    isWritten = co_await sendResponse(attempt.caller, std::move(response), attempt.keepAlive);
  }
  co_return AttemptResult{isWritten ? AttemptOutcome::Done : AttemptOutcome::CallerGone,
                          "no more events"};
}

// Forwards the events of a successful response to the caller, each as soon as it is complete.
awaitable<AttemptResult> Relay::forwardEvents(Attempt& attempt) {
  if (attempt.parser->is_done()) co_return co_await forwardEmptyStream(attempt);
  Tcp::socket& socket = attempt.connection->socket;
  auto& parser = *attempt.parser;
  ResponseProgress& progress = *attempt.progress;
  EventSplitter splitter(progress.lastEventId);
  const bool hasNoLength = parser.need_eof();
  ReadPace pace(ReadCost::ReadsAndBytes, BootClock::now());
  AttemptResult result{AttemptOutcome::Cut, ""};
  std::uint64_t receivedEvents = 0;
  ErrorCode code;
  char block[16384];
  while (!code && !parser.is_done()) {
    parser.get().body().data = block;
    parser.get().body().size = sizeof block;
    co_await http::async_read_some(socket, attempt.connection->buffer, parser, into(code));
    parseBuffered(parser, attempt.connection->buffer, &code);
    if (code == http::error::need_buffer) code = {};
    // If the attempt has expired, no first event is forwarded: the rest of the response is lost.
    if (attempt.watch->expired && !attempt.watch->hasStarted) code = asio::error::operation_aborted;
    const std::size_t got = sizeof block - parser.get().body().size;
    countRead(got);
    // Bytes that came before broken framing are forwarded.
    if (code && (got == 0 || code == asio::error::operation_aborted)) break;
    growAfterRead(attempt.connection->buffer, got);
    *attempt.watch->lastActivity = BootClock::now();
    EventBatch batch = splitter.take({block, got});
    if (splitter.rest().size() > kMaxEventBytes) {
      result.fault = AnswerFault::Event;
      break;
    }
    receivedEvents += batch.events + batch.repeated;
    if (receivedEvents > attempt.job.maxEvents.value_or(receivedEvents)) {
      result.fault = AnswerFault::Events;
      progress.canResume = false;  // its position in the answer means nothing
      break;
    }
    // What is held of an event, and its copy on its way to the caller.
    const std::size_t held = 2 * (splitter.rest().size() + batch.bytes.size());
    if (!takeAnswerBytes(attempt.answerShare, held)) {
      result.fault = held > kSmallAnswerBytes ? AnswerFault::Event : AnswerFault::Memory;
      break;
    }
    const bool isEnd = parser.is_done();
    const Duration pause = isEnd ? Duration{} : pace.afterRead(got, BootClock::now());
    // If the connection ends within an event, the response is truncated, unless its framing says
    // that it is complete.
    if (isEnd && hasNoLength && !splitter.rest().empty()) {
      code = http::error::partial_message;
      break;
    }
    std::string events = std::move(batch.bytes);
    if (isEnd) events += splitter.rest();
    if (events.empty() && !isEnd) {
      if (pause > Duration{}) co_await pauseFor(pause);
      continue;
    }
    std::string bytes;
    if (!progress.headSent) {
      bytes = "HTTP/1.1 " + std::to_string(parser.get().result_int()) + " " +
              std::string(view(parser.get().reason())) + "\r\n";
      for (const auto& field : parser.get()) {
        if (!isHopByHop(view(field.name_string())))
          addHeader(&bytes, view(field.name_string()), view(field.value()));
      }
      addHeader(&bytes, "Transfer-Encoding", "chunked");
      if (!keepsOpen(attempt.caller, attempt.keepAlive)) addHeader(&bytes, "Connection", "close");
      bytes += "\r\n";
      result.timeToFirstEvent = BootClock::now() - attempt.startedAt;
    }
    std::string end = isEnd ? kLastChunk : "";
    if (!events.empty()) {
      bytes += chunkSizeLine(events.size());
      end.insert(0, "\r\n");
    }
    const std::array<asio::const_buffer, 3> pieces{asio::buffer(bytes), asio::buffer(events),
                                                   asio::buffer(end)};
    progress.headSent = true;
    if (!attempt.watch->hasStarted)
      placement_.notePrefillDone(attempt.placed.ticket, BootClock::now());
    // From here on, only the deadline of the route ends the response.
    attempt.watch->hasStarted = true;
    attempt.watch->deadline = streamDeadline(attempt.job);
    setDeadline(attempt.caller, streamDeadline(attempt.job));
    ErrorCode written;
    co_await asio::async_write(attempt.caller->socket, pieces, into(written));
    attempt.caller->deadline = Instant::max();
    if (written) co_return AttemptResult{AttemptOutcome::CallerGone, written.message()};
    progress.events += batch.events;
    progress.lastEventId = splitter.lastId();
    progress.canResume = splitter.canResume();
    if (pause > Duration{}) co_await pauseFor(pause);
  }
  if (!code && result.fault == AnswerFault::None) {
    result.outcome = AttemptOutcome::Done;
    result.detail = std::to_string(progress.events) + " events";
    co_return result;
  }
  if (code) result.fault = faultOf(code);
  result.detail = code ? code.message() : describeFault(result.fault);
  result.outcome = progress.headSent ? AttemptOutcome::Cut : AttemptOutcome::Unknown;
  co_return result;
}

}  // namespace quayrill
