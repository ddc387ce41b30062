#include "net/request_sender.h"

#include <array>

#include "net/spawn.h"

namespace quayrill {

RequestSender::RequestSender(Tcp::socket& socket, std::string head, std::string_view body,
                             std::function<bool()> mayContinue)
    : socket_(socket),
      head_(std::move(head)),
      body_(body),
      mayContinue_(std::move(mayContinue)),
      wake_(socket.get_executor()) {}

void RequestSender::begin() {
  sendPiece();
  if (code_ || isComplete()) return;
  isRunning_ = true;
  spawnTask(socket_.get_executor(), "sending a request", sendRest());
}

// Makes a single system call. Nothing is awaited between the permission check and the write.
void RequestSender::sendPiece() {
  if (!mayContinue_()) {
    code_ = asio::error::operation_aborted;
    return;
  }
  const std::string_view head = std::string_view(head_).substr(std::min(sent_, head_.size()));
  const std::size_t bodySent = sent_ > head_.size() ? sent_ - head_.size() : 0;
  const std::string_view body = body_.substr(bodySent);
  const std::array<asio::const_buffer, 2> bytes{asio::buffer(head.data(), head.size()),
                                                asio::buffer(body.data(), body.size())};
  ErrorCode code;
  sent_ += socket_.write_some(bytes, code);
  if (code != asio::error::would_block) code_ = code;
}

awaitable<void> RequestSender::sendRest() {
  while (!code_ && !isComplete()) {
    ErrorCode code;
    co_await socket_.async_wait(Tcp::socket::wait_write, into(code));
    if (code) {
      code_ = code;
      break;
    }
    sendPiece();
    // The server may never answer a request that remains incomplete.
    if (code_ == asio::error::operation_aborted) socket_.close(code);
  }
  isRunning_ = false;
  wake_.cancel();
}

awaitable<void> RequestSender::waitUntilStopped() {
  while (isRunning_) {
    wake_.expires_at(std::chrono::steady_clock::time_point::max());
    ErrorCode code;
    co_await wake_.async_wait(into(code));
  }
}

}  // namespace quayrill
