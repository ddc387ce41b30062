#pragma once
// What one try at one server holds while it lasts. For the relay's own files.
#include "relay/relay.h"

namespace quayrill {

// Ours: a server that sent something this lately is alive.
inline constexpr Span kSignsOfLife = std::chrono::milliseconds(500);

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
  Instant sentAt{};  // right before the latest piece of the request left
  int strays = 0;    // whole answers that were not the request's

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

}  // namespace quayrill
