#pragma once
// A bounded in-memory log of decisions: where requests were placed, and which weights servers were
// ordered to load. Operators read it by position. A reader that falls behind finds out how many
// lines it missed.
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace quayrill {

// The answer to one read of the log.
struct DecisionPage {
  // Position of lines.front(). Above the requested position, the lines between were dropped.
  std::uint64_t first = 0;
  std::uint64_t next = 0;  // position to continue from
  std::vector<std::string> lines;
};

// Keeps the newest `limit` lines. Thread-safe.
class DecisionLog {
 public:
  explicit DecisionLog(std::size_t limit) : limit_(limit) {}
  // Appends a line about `id`, which is a request id or the name of a server.
  void add(std::string id, std::string line);
  // Up to `maxLines` lines from position `from` on.
  DecisionPage read(std::uint64_t from, std::size_t maxLines) const;
  // The newest line about `id`.
  std::optional<std::string> find(const std::string& id) const;

 private:
  mutable std::mutex mutex_;
  std::size_t limit_;
  std::uint64_t first_ = 1;
  // Pairs of id and line; rows_[i] has position first_ + i. At most limit_ rows.
  std::deque<std::pair<std::string, std::string>> rows_;
};

}  // namespace quayrill
