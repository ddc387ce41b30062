#pragma once
// Sends one request to one model server and streams the answer back to the caller. Classifies each
// failure by whether the request may have run.
#include <functional>
#include <string>

#include "net/http.h"
#include "net/model_server.h"

namespace quayrill {

// One attempt to run a request on a server.
struct Delivery {
  RequestId request;
  ServerState server;
  CacheSalt salt;
  std::string prefixHeader;
  std::string body;
  Instant deadline;
  // When the first piece must have arrived; never after `deadline`. If it is missed, the delivery
  // ends as DeadlineExceeded, and whether the request ran is unknown.
  Instant firstPieceDeadline;
  // The same for a time that may move while the delivery waits.
  std::function<Instant()> startDeadline = [] { return Instant::max(); };
};

// How a delivery ended. Only NeverSent and NotRun guarantee that the request did not run.
enum class DeliveryOutcome {
  NeverSent,         // no byte was sent to the server
  NotRun,            // the server answered that it did not run the request
  Unknown,           // a byte may have reached the server, nothing has reached the caller
  DeadlineExceeded,  // as Unknown, because a deadline passed
  StartRevoked,      // as Unknown, because `startDeadline` passed
  Done,              // the answer was passed on completely, including the server's end mark
  Truncated,         // some pieces reached the caller, then the answer broke off; the caller's
                     // connection is closed without the chunked terminator
  CallerGone,        // the caller disconnected or stopped reading
};

// What became of a delivery.
struct DeliveryResult {
  DeliveryOutcome outcome{};
  std::string detail;          // for the decision log
  std::uint64_t pieces = 0;    // passed on to the caller
  Duration firstPieceAfter{};  // from the start of the delivery
};

// Delivers the request. `mayStart` is called right before the first byte is sent; if it returns
// false, the delivery ends as NeverSent.
awaitable<DeliveryResult> deliver(Delivery delivery, Connection& caller,
                                  std::function<bool()> mayStart);

// The outcome's name in the decision log.
const char* deliveryOutcomeName(DeliveryOutcome outcome);

}  // namespace quayrill
