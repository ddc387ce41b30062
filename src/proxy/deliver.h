#pragma once
// Carries one request to one server and its pieces back. Knows what a error on the way means.
#include <functional>
#include <string>

#include "net/http.h"
#include "net/model_server.h"

namespace quayrill {

struct Delivery {
  RequestId request;
  ServerState server;
  CacheSalt salt;
  std::string prefixHeader;
  std::string body;
  Instant deadline;
  // By when the first piece must have come; never after `due`. Past it the delivery ends as
  // DuePassed, and whether it ran is not known.
  Instant firstPieceDeadline;
};

enum class DeliveryOutcome {
  NeverSent,         // no byte left for the server
  NotRun,            // the server's own reply says that it did not run it
  Unknown,           // a byte may have reached the server, nothing has reached the caller
  DeadlineExceeded,  // the same, since the due passed
  Done,              // the server's end mark was passed on and the answer closed whole
  Truncated,         // pieces reached the caller, then the answer broke: closed with no terminator
  CallerGone,        // the caller left
};

struct DeliveryResult {
  DeliveryOutcome end{};
  std::string detail;
  std::uint64_t pieces = 0;
  Span firstPieceAfter{};
};

// `mayStart` is asked right before the first byte leaves; false ends the delivery as NeverSent.
awaitable<DeliveryResult> deliver(Delivery delivery, Connection& caller,
                                  std::function<bool()> mayStart);

const char* deliveryOutcomeName(DeliveryOutcome end);

}  // namespace quayrill
