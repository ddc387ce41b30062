#include "fleet/endless_answer.h"

namespace quayrill::fleet {

using namespace std::chrono_literals;

namespace {
constexpr std::size_t kBlock = 64 << 10;  // bytes sent at once

struct EndlessBytes {
  const char* start;
  const char* unit;
};
constexpr EndlessBytes kBytes[] = {
#define QUAYRILL_BYTES(identifier, start, unit) {start, unit},
    QUAYRILL_ENDLESS_FORMS(QUAYRILL_BYTES)
#undef QUAYRILL_BYTES
};
}  // namespace

std::string endlessBytes(EndlessForm form, std::size_t bytes) {
  const auto& [start, unit] = kBytes[static_cast<std::size_t>(form)];
  std::string block;
  while (block.size() < kBlock) block += unit;
  std::string text = start;
  while (text.size() < bytes) text += block;
  return text;
}

awaitable<void> sendWithoutEnd(Connection& connection, std::string head, EndlessForm form,
                               EndlessSpeed speed) {
  const EndlessBytes& bytes = kBytes[static_cast<std::size_t>(form)];
  std::string block = bytes.unit;
  while (speed == EndlessSpeed::Full && block.size() < kBlock) block += bytes.unit;
  ErrorCode code;
  const std::string start = head + bytes.start;
  connection.expires_never();
  co_await asio::async_write(connection, asio::buffer(start), into(code));
  while (!code) {
    co_await asio::async_write(connection, asio::buffer(block), into(code));
    if (speed != EndlessSpeed::Full) co_await pauseFor(1ms);
  }
}

}  // namespace quayrill::fleet
