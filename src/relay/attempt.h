#pragma once
// What one try at one server holds while it lasts. For the relay's own files.
#include "relay/relay.h"

namespace quayrill {

// Ours: a server that sent something this lately is alive.
inline constexpr Span kActivityWindow = std::chrono::milliseconds(500);
// Ours: how often it is asked until when a request that waits at a server may begin there. Newer
// weights may be named while it waits.
inline constexpr Span kStartCheckInterval = std::chrono::seconds(1);

struct Relay::Attempt {
  // Outlives the timer's handler; `socket` is null once the try has ended.
  struct Watch {
    Tcp::socket* socket = nullptr;
    Instant deadline = Instant::max();
    // Until the first event: a server that answered others since `begun` is given more time.
    std::shared_ptr<Instant> lastActivity;
    Instant startedAt{}, hardDeadline{};
    Instant
        headReadAt{};  // when the head of its own success was read: the first event is close behind
    // Until when the request may begin at the server.
    std::function<Instant()> startDeadline = [] { return Instant::max(); };
    bool hasStarted = false, expired = false, isOutdated = false;
    bool isDeferred = false;  // it was due, and what was read by then is looked at first
    bool isReceiving(Instant now) const {
      ErrorCode ignored;
      return now < hardDeadline &&
             (now - headReadAt < kActivityWindow || socket->available(ignored) > 0);
    }
    bool deservesExtension(Instant now) const {
      return now<hardDeadline&& * lastActivity> startedAt && now - *lastActivity < kActivityWindow;
    }
  };
  const std::shared_ptr<Caller>& caller;
  const RelayRequest& job;
  const PlacementResult& placed;
  ResponseProgress* progress;
  bool keepAlive;
  Instant startedAt;
  std::unique_ptr<ServerConnection> connection;
  std::optional<http::response_parser<http::buffer_body>> parser;
  std::shared_ptr<Watch> watch = std::make_shared<Watch>();
  asio::steady_timer timer;
  Instant sentAt{};        // right before the latest piece of the request left
  int strayResponses = 0;  // whole answers that were not the request's

  // Defined in attempt.cpp.
  void arm(Instant deadline);
  void onTimer();
};

}  // namespace quayrill
