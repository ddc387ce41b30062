#pragma once
// The buffer behind an HTTP parser.
#include "net/asio.h"

namespace quayrill {

// What a read buffer holds at most unless its user needs more: a head, and bytes read ahead.
inline constexpr std::size_t kReadBufferLimit = 64 << 10;

// A buffer of limited size. Parsers limit heads and bodies, but not the framing of chunks: they
// search the buffer for the end of a size line, an extension or a trailer, however long it is. A
// read for which the buffer has no room fails with http::error::buffer_overflow.
class ReadBuffer : public beast::flat_buffer {
 public:
  explicit ReadBuffer(std::size_t limit = kReadBufferLimit) : beast::flat_buffer(limit) {}
  // Frees the memory of an empty buffer that has grown large.
  void trim() {
    constexpr std::size_t kKeptCapacity = 8 << 10;
    if (size() == 0 && capacity() > kKeptCapacity) shrink_to_fit();
  }
};

}  // namespace quayrill
