#pragma once
// Whose answer it is that a server's connection brings. Pure: heads in, a judgement out.
#include "dialect/dialect.h"
#include "net/http.h"

namespace quayrill {

using ResponseHead = http::response_header<>;

enum class ResponseOwner {
  Request,       // it bears the request's id, or answers one without an id on a fresh connection
  Unidentified,  // without an id, but the first answer of a connection that carried nothing else
  Other,         // another request's, or nobody can say whose
  Malformed,     // two heads run into one: the request's own answer may be in it, and can't be had
};

// `isFirst`: no other request went over the connection and no other answer came on it. An answer
// without an id may be a late one of an earlier request everywhere else.
ResponseOwner responseOwner(const ResponseHead& head, const HeaderNames& names, const RequestId& id,
                            bool isFirst);

// True where the end of a broken answer and the beginning of another stand in one head.
bool isSpliced(const ResponseHead& head);

// True for a status that promises callers that the request did not run and never will.
bool promisesNotRun(unsigned status);

// True where the server itself says that it did not run the request (421, or its mark on a
// failure).
bool reportsNotRun(const ResponseHead& head, const HeaderNames& names);

}  // namespace quayrill
