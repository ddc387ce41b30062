#pragma once
// The state of one attempt to run a request on one server. Private to src/relay.
#include "relay/relay.h"

namespace quayrill {

// A server that sent something within this time is considered alive.
inline constexpr Duration kActivityWindow = std::chrono::milliseconds(500);
// How often an attempt whose response has not started checks its start deadline again. The deadline
// may move while the request is queued at the server, when newer weights are named.
inline constexpr Duration kStartCheckInterval = std::chrono::seconds(1);

// One attempt: its connection, response parser and timer.
struct Relay::Attempt {
  // The state shared with the timer's handler, which may outlive the attempt. `socket` is null once
  // the attempt has ended.
  struct Watch {
    Tcp::socket* socket = nullptr;
    Instant deadline = Instant::max();
    // Before the first event: a server that has answered other requests since `startedAt` gets more
    // time, up to hardDeadline.
    std::shared_ptr<Instant> lastActivity;
    Instant startedAt{}, hardDeadline{};
    // Bytes that complete no event give the response time until then.
    Instant receivingUntil = Instant::max();
    // When the head of a successful response was read. The first event follows closely.
    Instant headReadAt{};
    // See Relay::startDeadline.
    std::function<StartDeadline()> startDeadline = [] { return StartDeadline{}; };
    // hasStarted: the first event was forwarded. isAnswered: the head of an answer in one piece was
    // read, so the request has begun to run.
    bool hasStarted = false, isAnswered = false, expired = false;
    // Set once the response may no longer start.
    StartLimit startLimit = StartLimit::None;
    // The deadline has passed, and bytes received before it are processed first.
    bool isDeferred = false;
    // True if a response is on its way: its head was just read, or bytes wait in the socket.
    bool isReceiving(Instant now) const {
      ErrorCode ignored;
      return now < std::min(hardDeadline, receivingUntil) &&
             (now - headReadAt < kActivityWindow || socket->available(ignored) > 0);
    }
    StartDeadline currentStartDeadline() const {
      return hasStarted || isAnswered ? StartDeadline{} : startDeadline();
    }
    // True if the server has recently answered another request.
    bool deservesExtension(Instant now) const {
      return (now < hardDeadline) && (*lastActivity > startedAt) &&
             now - *lastActivity < kActivityWindow;
    }
  };
  // A constructor, because GCC 12 destroys temporaries twice that initialize an aggregate in a
  // coroutine.
  Attempt(const std::shared_ptr<Caller>& callerOfRequest, const RelayRequest& request,
          const PlacementResult& placement, ResponseProgress* responseProgress, bool keepsAlive,
          asio::io_context& io, ByteBudget& answers)
      : caller(callerOfRequest),
        job(request),
        placed(placement),
        progress(responseProgress),
        keepAlive(keepsAlive),
        startedAt(BootClock::now()),
        timer(io),
        answerShare(answers.open()) {}

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
  Instant sentAt{};  // right before the latest piece of the request was sent
  // The configuration in force when the request was sent.
  std::shared_ptr<const Configuration> sentUnder;
  int strayResponses = 0;         // complete responses that belonged to other requests
  ByteBudget::Share answerShare;  // what is held of the answer

  // Defined in attempt.cpp. Starts the timer for `deadline`, or for an earlier check if the
  // response has not started.
  void arm(Instant deadline);
  void onTimer();
};

}  // namespace quayrill
