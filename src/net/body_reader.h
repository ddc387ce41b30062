#pragma once
// Reads heads and bodies of messages within a budget that they share.
#include <algorithm>
#include <functional>
#include <stdexcept>

#include "base/byte_budget.h"
#include "net/read_buffer.h"

namespace quayrill {

// How long a body waits for its share of the budget. Nothing is read meanwhile, so that the
// sender's window fills.
inline constexpr Duration kBodyBudgetWait = std::chrono::milliseconds(500);

// Takes the share's missing bytes as soon as others give them back. Returns false if that takes
// longer than kBodyBudgetWait.
awaitable<bool> growShare(ByteBudget::Share& share, std::size_t bytes,
                          std::size_t roomForOthers = 0);

// Parses what a read has left in the buffer, up to the end of the buffer, of the message or of the
// room for its body. Without this each chunk is a read, however small it is; a parser in eager mode
// would withhold what it has until more bytes come.
template <typename Parser>
void parseBuffered(Parser& parser, ReadBuffer& buffer, ErrorCode* code) {
  while (!*code && !parser.is_done() && buffer.size() > 0) {
    const std::size_t used = parser.put(buffer.data(), *code);
    buffer.consume(used);
    if (used == 0) break;
  }
  if (*code == http::error::need_more) *code = {};
}

// What a head takes: of its bytes a copy in the parsed fields and, while the buffer grows, two
// more, and for each line what a field has besides its text.
inline std::size_t headMemory(std::size_t bytes, std::size_t lines) {
  constexpr std::size_t kCopies = 3, kFieldBytes = 100;
  return kCopies * bytes + kFieldBytes * lines;
}

// Parses what the buffer has of a head. Sets *code to header_limit for a field that is too large
// for the parser.
template <typename Parser>
void parseHead(ReadBuffer& buffer, Parser& parser, ErrorCode* code) {
  try {
    buffer.consume(parser.put(buffer.data(), *code));
  } catch (const std::length_error&) {
    *code = http::error::header_limit;
  }
  if (*code == http::error::need_more) *code = {};
}

// Reads the head of a message. The share grows with what has come; a head that would take more than
// half of the budget fails with header_limit, and one that has to wait too long for its share with
// not_enough_memory. Large heads leave half of the budget to others.
template <typename Parser>
awaitable<void> readHeadWithin(Tcp::socket& socket, ReadBuffer& buffer, Parser& parser,
                               ByteBudget::Share& share, std::size_t budget, ErrorCode* code) {
  constexpr std::size_t kLeastRead = 1 << 10, kMostRead = 64 << 10;  // bytes at once
  constexpr std::size_t kSmallHead = 48 << 10;                       // bytes of memory
  const auto linesIn = [](const char* bytes, std::size_t size) {
    return static_cast<std::size_t>(std::count(bytes, bytes + size, '\n'));
  };
  std::size_t lines = linesIn(static_cast<const char*>(buffer.data().data()), buffer.size());
  while (!*code) {
    if (buffer.size() > 0) parseHead(buffer, parser, code);
    if (*code || parser.is_header_done()) co_return;
    const std::size_t room = buffer.max_size() - std::min(buffer.size(), buffer.max_size());
    const std::size_t unused = buffer.capacity() - buffer.size();
    const std::size_t step = std::min({std::max(kLeastRead, unused), kMostRead, room});
    const std::size_t held = headMemory(buffer.size() + step, lines);
    if (step == 0 || held > budget / 2) {
      *code = step == 0 ? http::error::buffer_overflow : http::error::header_limit;
      co_return;
    }
    const std::size_t roomForOthers = held > kSmallHead ? budget / 2 : 0;
    const bool hasShare =
        share.growTo(held, roomForOthers) || co_await growShare(share, held, roomForOthers);
    if (!hasShare) {
      *code = boost::system::errc::make_error_code(boost::system::errc::not_enough_memory);
      co_return;
    }
    const auto space = buffer.prepare(step);
    const std::size_t got = co_await socket.async_read_some(space, into(*code));
    lines += linesIn(static_cast<const char*>(space.data()), got);
    buffer.commit(got);
    if (*code != asio::error::eof) continue;
    const bool hasBegun = parser.got_some() || buffer.size() > 0;
    *code = hasBegun ? http::error::partial_message : http::error::end_of_stream;
  }
}

// Reads the rest of a message whose head has been read. A body of known length takes its whole
// share first; of others the share grows with what has come. Sets *code to not_enough_memory if the
// budget is spent, and to operation_aborted once `mayContinue` returns false.
template <typename Stream, bool isRequest>
awaitable<void> readBodyWithin(Stream& stream, ReadBuffer& buffer,
                               http::parser<isRequest, http::string_body>& parser,
                               ByteBudget::Share& share, ErrorCode* code,
                               std::function<bool()> mayContinue) {
  constexpr std::size_t kStep = 64 << 10;
  std::size_t wanted = static_cast<std::size_t>(parser.content_length().value_or(0));
  while (!*code && !parser.is_done()) {
    if (!parser.content_length()) wanted = parser.get().body().size() + kStep;
    const bool hasShare = share.growTo(wanted) || co_await growShare(share, wanted);
    if (!hasShare) {
      *code = boost::system::errc::make_error_code(boost::system::errc::not_enough_memory);
      co_return;
    }
    if (!mayContinue()) {
      *code = asio::error::operation_aborted;
      co_return;
    }
    co_await http::async_read_some(stream, buffer, parser, into(*code));
    parseBuffered(parser, buffer, code);
  }
}

}  // namespace quayrill
