#pragma once
// Sends one request while its answer may already be read: a server may answer before it has read a
// long body. Right before each piece leaves, what lets the request run is asked again, so that a
// process that stood still sends nothing more of what has lapsed meanwhile.
#include <functional>
#include <string>
#include <string_view>

#include "net/asio.h"

namespace quayrill {

class RequestSender {
 public:
  // `socket` doesn't block; it and `body` outlive this. `mayContinue` is asked before each piece.
  RequestSender(Tcp::socket& socket, std::string head, std::string_view body,
                std::function<bool()> mayContinue);
  // Sends what the socket takes at once; the rest goes by itself as room comes.
  void begin();
  // All bytes were handed to the system. Only then may another request follow on the connection.
  bool isComplete() const { return sent_ == head_.size() + body_.size(); }
  // No byte left: the server can't know of the request.
  bool hasSentNothing() const { return sent_ == 0; }
  bool hasStopped() const { return !isRunning_; }
  const ErrorCode& code() const { return code_; }
  // Returns once nothing is under way any more. Where it isn't whole, close the socket first.
  awaitable<void> waitUntilStopped();

 private:
  void sendPiece();
  awaitable<void> sendRest();

  Tcp::socket& socket_;
  const std::string head_;
  const std::string_view body_;
  const std::function<bool()> mayContinue_;
  std::size_t sent_ = 0;  // bytes of head and body
  bool isRunning_ = false;
  ErrorCode code_;  // why it stopped early
  asio::steady_timer wake_;
};

}  // namespace quayrill
