#pragma once
// Answers that a faulty server sends without end, in several forms.
#include <string>

#include "net/http.h"

namespace quayrill::fleet {

// enumerator, the bytes behind the head's own lines, and the unit that is repeated after them
#define QUAYRILL_ENDLESS_FORMS(X)                                              \
  X(HeaderLine, "X-Long: ", "a")                                               \
  X(Headers, "", "X-Many: a\r\n")                                              \
  X(ChunkSizeJunk, "Transfer-Encoding: chunked\r\n\r\n", "x")                  \
  X(ChunkExtension, "Transfer-Encoding: chunked\r\n\r\n5;extension=", "a")     \
  X(Trailer, "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: ", "a")        \
  X(OneChunk, "Transfer-Encoding: chunked\r\n\r\n7fffffffffff\r\n", "a")       \
  X(ByteChunks, "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n")            \
  X(HugeLength, "Content-Length: 9000000000000\r\n\r\n", "a")                  \
  X(NoLength, "Connection: close\r\n\r\n", "a")                                \
  X(SmallPieces, "Transfer-Encoding: chunked\r\n\r\n", "8\r\ndata: y\n\r\n")   \
  X(WholeEvents, "Transfer-Encoding: chunked\r\n\r\n", "9\r\ndata: y\n\n\r\n") \
  X(EmptyEvents, "Transfer-Encoding: chunked\r\n\r\n", "3\r\n:\n\n\r\n")

enum class EndlessForm {
#define QUAYRILL_FORM(identifier, start, unit) identifier,
  QUAYRILL_ENDLESS_FORMS(QUAYRILL_FORM)
#undef QUAYRILL_FORM
};
// The forms before this one have no line feed in a body, so that no whole line or event is in them.
inline constexpr EndlessForm kFirstFormWithLines = EndlessForm::SmallPieces;

// All forms, as a list.
inline constexpr EndlessForm kEndlessForms[] = {
#define QUAYRILL_FORM(identifier, start, unit) EndlessForm::identifier,
    QUAYRILL_ENDLESS_FORMS(QUAYRILL_FORM)
#undef QUAYRILL_FORM
};
// The form's bytes behind the head's own lines, `bytes` of them or a few more.
std::string endlessBytes(EndlessForm form, std::size_t bytes);

// How fast a server sends.
enum class EndlessSpeed { Full, PieceEachMillisecond };

// Sends `head`, which is without the end of its lines, and then the form until the other end
// closes.
awaitable<void> sendWithoutEnd(Connection& connection, std::string head, EndlessForm form,
                               EndlessSpeed speed);

}  // namespace quayrill::fleet
