#pragma once
// Limits how fast one answer is read, so that no server takes the processor of the others' streams.
#include <cstddef>

#include "base/clock.h"
#include "net/read_buffer.h"

namespace quayrill {

// Whether an answer's bytes count besides its reads. A body that is read whole is limited in size.
enum class ReadCost { Reads, ReadsAndBytes };

// Lets the next read of an answer take more, if the latest one that gave `bytes` of it filled the
// buffer. Beast reads no more than fits, and an empty buffer never grows by itself.
void growAfterRead(ReadBuffer& buffer, std::size_t bytes);

// A token bucket. Reads of few bytes are slowed, so that more arrive until the next one.
class ReadPace {
 public:
  ReadPace(ReadCost cost, Instant now) : cost_(cost), refilledAt_(now) {}
  // Notes a read. Returns how long to wait before the next one.
  Duration afterRead(std::size_t bytes, Instant now);

 private:
  const ReadCost cost_;
  double tokens_ = kBurstTokens;
  Instant refilledAt_;

  static constexpr double kBurstTokens = 1024;
};

}  // namespace quayrill
