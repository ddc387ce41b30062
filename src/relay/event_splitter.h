#pragma once
// Splits a server-sent event stream into whole events, so that a forwarded stream can be resumed at
// another server.
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quayrill {

// The whole events in a piece of the stream.
struct EventBatch {
  std::string bytes;         // whole events, unchanged
  std::size_t events = 0;    // the number of events in `bytes`
  std::size_t repeated = 0;  // dropped because their ids were forwarded before
};

// Buffers partial events and drops those that were forwarded already.
class EventSplitter {
 public:
  // Drops events with ids up to `after`; nullopt if none were forwarded before.
  explicit EventSplitter(std::optional<std::uint64_t> after) : lastId_(after) {}
  // Appends bytes of the stream and returns the events that are complete.
  EventBatch take(std::string_view bytes);
  // The id of the newest event returned. Never decreases.
  std::optional<std::uint64_t> lastId() const { return lastId_; }
  // False if an event with data but without an id was returned after the newest id. The position in
  // the stream is then unknown, so another server could not continue it.
  bool canResume() const { return canResume_; }
  // The bytes after the last whole event. If the response ends with any, they are not a whole
  // event.
  const std::string& rest() const { return rest_; }

 private:
  std::optional<std::uint64_t> lastId_;
  bool canResume_ = true;
  std::string rest_;  // contains no whole event
};

}  // namespace quayrill
