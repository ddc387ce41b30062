#include "relay/event_splitter.h"

#include <algorithm>

#include "base/numbers.h"

namespace quayrill {

namespace {
constexpr std::size_t kLongestEnd = 3;  // "\n\r\n"

// The position after the first whole event and its empty line; npos if there is none. No event ends
// before `from`.
std::size_t eventEnd(std::string_view text, std::size_t from) {
  for (std::size_t at = text.find('\n', from); at != std::string_view::npos;
       at = text.find('\n', at + 1)) {
    if (at + 1 < text.size() && text[at + 1] == '\n') return at + 2;
    if (at + 2 < text.size() && text[at + 1] == '\r' && text[at + 2] == '\n') return at + 3;
  }
  return std::string_view::npos;
}

// The number that an id's text is as a whole; nullopt if it is none.
std::optional<std::uint64_t> numberIn(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\r')) text.remove_suffix(1);
  return wholeNumber(text);
}

// The numeric id of an event; nullopt if it has none.
std::optional<std::uint64_t> idOf(std::string_view event) {
  for (std::size_t start = 0; start < event.size();) {
    const std::size_t end = std::min(event.find('\n', start), event.size());
    std::string_view line = event.substr(start, end - start);
    start = end + 1;
    if (line.substr(0, 3) != "id:") continue;
    line.remove_prefix(3);
    if (const auto id = numberIn(line)) return id;
  }
  return std::nullopt;
}

bool hasData(std::string_view event) {
  return event.substr(0, 4) == "data" || event.find("\ndata") != std::string_view::npos;
}
}  // namespace

void EventSplitter::noteForwarded(std::optional<std::uint64_t> id, bool hasData) {
  if (id && lastId_ && *id <= *lastId_) idsRise_ = false;
  if (id || hasData) hasPosition_ = id.has_value();
  if (id) lastId_ = std::max(*id, lastId_.value_or(0));
}

EventBatch EventSplitter::take(std::string_view bytes) {
  rest_.append(bytes);
  EventBatch batch;
  std::string_view left = rest_;
  std::size_t taken = 0;
  // The bytes of an end may be in two pieces.
  std::size_t from = searched_ - std::min(searched_, kLongestEnd - 1);
  for (std::size_t end; (end = eventEnd(left, from)) != std::string_view::npos; from = 0) {
    const std::string_view event = left.substr(0, end);
    const auto id = idOf(event);
    if (id && after_ && *id <= *after_) {
      ++batch.repeated;
    } else {
      noteForwarded(id, hasData(event));
      batch.bytes.append(event);
      ++batch.events;
    }
    taken += end;
    left.remove_prefix(end);
  }
  rest_.erase(0, taken);
  searched_ = rest_.size();
  return batch;
}

}  // namespace quayrill
