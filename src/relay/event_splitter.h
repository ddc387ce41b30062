#pragma once
// Cuts a server's event stream into whole events, so that what is passed on can be resumed.
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quayrill {

struct EventBatch {
  std::string bytes;         // whole events, as they came
  std::size_t events = 0;    // how many
  std::size_t repeated = 0;  // dropped: their ids were passed on before
};

class EventSplitter {
 public:
  // Events with ids up to `after` were passed on already; nothing: none were.
  explicit EventSplitter(std::optional<std::uint64_t> after) : lastId_(after) {}
  EventBatch take(std::string_view bytes);
  // The id of the newest event handed out. Never falls.
  std::optional<std::uint64_t> lastId() const { return lastId_; }
  // False once an event with data but no id was handed out behind the newest id: a further run
  // could not be told where to go on.
  bool canResume() const { return isPlaced_; }
  // What follows the newest whole event; an answer that ends with some was not cut into events.
  const std::string& rest() const { return rest_; }

 private:
  std::optional<std::uint64_t> lastId_;
  bool isPlaced_ = true;
  std::string rest_;  // holds no whole event
};

}  // namespace quayrill
