#include "net/read_pace.h"

#include <algorithm>

namespace quayrill {

namespace {
constexpr double kTokensPerSecond = 256;
constexpr double kTokensPerRead = 4;
constexpr double kBytesPerToken = 4096;
constexpr std::size_t kSmallRead = 4096;        // bytes; larger reads don't count by themselves
constexpr std::size_t kLargestRead = 32 << 10;  // bytes
constexpr std::size_t kMostFraming = 8;         // times the bytes of the body
}  // namespace

void growAfterRead(ReadBuffer& buffer, std::size_t bytes) {
  const std::size_t capacity = buffer.capacity();
  if (kMostFraming * bytes < capacity || capacity >= kLargestRead) return;
  buffer.reserve(std::min(kLargestRead, 2 * capacity));
}

Duration ReadPace::afterRead(std::size_t bytes, Instant now) {
  const double elapsed = std::chrono::duration<double>(now - refilledAt_).count();
  tokens_ = std::min(kBurstTokens, tokens_ + std::max(0.0, elapsed) * kTokensPerSecond);
  refilledAt_ = now;
  const double byBytes =
      cost_ == ReadCost::ReadsAndBytes ? static_cast<double>(bytes) / kBytesPerToken : 0;
  tokens_ -= std::max(byBytes, bytes < kSmallRead ? kTokensPerRead : 0.0);
  if (tokens_ >= 0) return Duration{};
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(-tokens_ / kTokensPerSecond));
}

}  // namespace quayrill
