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
  std::size_t repeated = 0;  // dropped because an earlier server's answer had them
};

// Buffers partial events and drops those that the answer of an earlier server had. Events of one
// answer are never taken for repeated, whatever their ids are.
class EventSplitter {
 public:
  // Drops events with ids up to `after`; nullopt if none were forwarded before.
  explicit EventSplitter(std::optional<std::uint64_t> after) : after_(after), lastId_(after) {}
  // Appends bytes of the stream and returns the events that are complete.
  EventBatch take(std::string_view bytes);
  // The greatest id of the events returned.
  std::optional<std::uint64_t> lastId() const { return lastId_; }
  // False if an event with data but without a numeric id was returned last, or if ids did not rise.
  // The position in the stream is then unknown, so another server could not continue it.
  bool canResume() const { return hasPosition_ && idsRise_; }
  // The bytes after the last whole event. If the response ends with any, they are not a whole
  // event.
  const std::string& rest() const { return rest_; }

 private:
  void noteForwarded(std::optional<std::uint64_t> id, bool hasData);

  const std::optional<std::uint64_t> after_;
  std::optional<std::uint64_t> lastId_;
  bool hasPosition_ = true;
  bool idsRise_ = true;
  std::string rest_;          // contains no whole event
  std::size_t searched_ = 0;  // bytes of rest_ in which no event ends
};

}  // namespace quayrill
