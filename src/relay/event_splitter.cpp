#include "relay/event_splitter.h"

#include <charconv>

namespace quayrill {

namespace {
// The position after the first whole event and its empty line; npos if there is none.
std::size_t eventEnd(std::string_view text) {
  for (std::size_t at = text.find('\n'); at != std::string_view::npos;
       at = text.find('\n', at + 1)) {
    if (at + 1 < text.size() && text[at + 1] == '\n') return at + 2;
    if (at + 2 < text.size() && text[at + 1] == '\r' && text[at + 2] == '\n') return at + 3;
  }
  return std::string_view::npos;
}

// The numeric id of an event; nullopt if it has none.
std::optional<std::uint64_t> idOf(std::string_view event) {
  for (std::size_t start = 0; start < event.size();) {
    const std::size_t end = std::min(event.find('\n', start), event.size());
    std::string_view line = event.substr(start, end - start);
    start = end + 1;
    if (line.substr(0, 3) != "id:") continue;
    line.remove_prefix(3);
    while (!line.empty() && line.front() == ' ') line.remove_prefix(1);
    std::uint64_t id = 0;
    const auto [last, error] = std::from_chars(line.data(), line.data() + line.size(), id);
    if (error == std::errc{}) return id;
  }
  return std::nullopt;
}

bool hasData(std::string_view event) {
  return event.substr(0, 4) == "data" || event.find("\ndata") != std::string_view::npos;
}
}  // namespace

EventBatch EventSplitter::take(std::string_view bytes) {
  rest_.append(bytes);
  EventBatch batch;
  std::string_view left = rest_;
  std::size_t taken = 0;
  for (std::size_t end; (end = eventEnd(left)) != std::string_view::npos;) {
    const std::string_view event = left.substr(0, end);
    const auto id = idOf(event);
    if (id && lastId_ && *id <= *lastId_) {
      ++batch.repeated;
    } else {
      if (id) lastId_ = *id;
      if (id || hasData(event)) canResume_ = id.has_value();
      batch.bytes.append(event);
      ++batch.events;
    }
    taken += end;
    left.remove_prefix(end);
  }
  rest_.erase(0, taken);
  return batch;
}

}  // namespace quayrill
