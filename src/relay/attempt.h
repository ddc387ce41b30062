#pragma once
// What one try at one server holds while it lasts. For the relay's own files.
#include "relay/relay.h"

namespace quayrill {

// Ours: a server that sent something this lately is alive.
inline constexpr Span kSignsOfLife = std::chrono::milliseconds(500);
// Ours: how often it is asked until when a request that waits at a server may begin there. Newer
// weights may be named while it waits.
inline constexpr Span kBeginningEvery = std::chrono::seconds(1);

struct Relay::Attempt {
  // Outlives the timer's handler; `socket` is null once the try has ended.
  struct Watch {
    Tcp::socket* socket = nullptr;
    Instant deadline = Instant::max();
    // Until the first event: a server that answered others since `begun` is given more time.
    std::shared_ptr<Instant> signs;
    Instant begun{}, latest{};
    // Until when the request may begin at the server.
    std::function<Instant()> mayBeginUntil = [] { return Instant::max(); };
    bool hasBegun = false, expired = false, isOutdated = false;
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
    const Instant now = BootClock::now();
    const Instant next = watch->hasBegun
                             ? deadline
                             : std::min({deadline, watch->mayBeginUntil(), now + kBeginningEvery});
    timer.expires_after(std::max(next, now) - now);
    timer.async_wait([this, watch = watch](const ErrorCode& code) {
      if (code || !watch->socket) return;
      const Instant now = BootClock::now();
      watch->isOutdated = !watch->hasBegun && now >= watch->mayBeginUntil();
      if (!watch->isOutdated) {
        if (now < watch->deadline) return arm(watch->deadline);
        if (watch->deservesMore(now)) return arm(std::min(watch->latest, now + kSignsOfLife));
      }
      watch->expired = true;
      ErrorCode ignored;
      watch->socket->close(ignored);
    });
  }
};

}  // namespace quayrill
