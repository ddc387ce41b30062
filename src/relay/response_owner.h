#pragma once
// Decides which request a response on a server connection belongs to. Pure functions of the
// response head.
#include "dialect/dialect.h"
#include "net/http.h"

namespace quayrill {

using ResponseHead = http::response_header<>;

// The relation of a response to the request that was sent last on its connection.
enum class ResponseOwner {
  // Has the request's id; or neither has an id and the connection is fresh.
  Request,
  // Has no id, but is the first response on a connection that carried no other request.
  Unidentified,
  // Belongs to another request, or to an unknown one.
  Other,
  // Two heads are merged into one. The request's own response may be part of it, but cannot be
  // recovered.
  Malformed,
};

// `isFirst`: the connection carried no other request and no other response. On any other
// connection, a response without an id may be a late one to an earlier request.
ResponseOwner responseOwner(const ResponseHead& head, const HeaderNames& names, const RequestId& id,
                            bool isFirst);

// True if the head contains the end of a broken response and the beginning of another.
bool isSpliced(const ResponseHead& head);

// True for a status that promises the caller that the request did not run and never will.
bool promisesNotRun(unsigned status);

// True if the server reports that it did not run the request: by status 421, or by the not-run
// header on an error response.
bool reportsNotRun(const ResponseHead& head, const HeaderNames& names);

}  // namespace quayrill
