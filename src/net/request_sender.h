#pragma once
// Sends a request while its answer may already be read, since a server may answer before it has
// read a long body. The permission to run is checked again right before each write, so that a
// process that was suspended sends nothing more of a request that has expired meanwhile.
#include <functional>
#include <string>
#include <string_view>

#include "net/asio.h"

namespace quayrill {

// Sends the head and body of one request over a connected socket.
class RequestSender {
 public:
  // `socket` must be non-blocking; it and `body` must outlive this object. `mayContinue` is called
  // before each write; sending stops once it returns false.
  RequestSender(Tcp::socket& socket, std::string head, std::string_view body,
                std::function<bool()> mayContinue);
  // Sends what the socket accepts immediately; the rest follows in the background as buffer space
  // becomes free.
  void begin();
  // True if all bytes were passed to the kernel. Only then may the connection be reused.
  bool isComplete() const { return sent_ == head_.size() + body_.size(); }
  // True if no byte was sent, so that the server can't know of the request.
  bool hasSentNothing() const { return sent_ == 0; }
  // True if no background send is in progress.
  bool hasStopped() const { return !isRunning_; }
  // Why sending stopped early; unset if it did not.
  const ErrorCode& code() const { return code_; }
  // Returns once no background send is in progress. If the request isn't complete, close the socket
  // first.
  awaitable<void> waitUntilStopped();

 private:
  void sendPiece();
  // Sends the remaining bytes, waiting for buffer space before each write.
  awaitable<void> sendRest();

  Tcp::socket& socket_;
  const std::string head_;
  const std::string_view body_;
  const std::function<bool()> mayContinue_;
  std::size_t sent_ = 0;  // bytes sent of head and body together
  bool isRunning_ = false;
  ErrorCode code_;  // why it stopped early
  asio::steady_timer wake_;
};

}  // namespace quayrill
