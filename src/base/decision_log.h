#pragma once
// The stream of decisions, read by position. Bounded: a reader that is too slow is shown the gap.
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace quayrill {

struct DecisionPage {
  std::uint64_t first = 0;  // position of lines.front(); above the asked one, there is a gap
  std::uint64_t next = 0;   // ask from here
  std::vector<std::string> lines;
};

class DecisionLog {
 public:
  explicit DecisionLog(std::size_t limit) : limit_(limit) {}
  void add(std::string id, std::string line);
  DecisionPage read(std::uint64_t from, std::size_t most) const;
  std::optional<std::string> find(const std::string& id) const;  // the newest line with this id

 private:
  // rows_[i] has position first_ + i; at most limit_ rows.
  mutable std::mutex mutex_;
  std::size_t limit_;
  std::uint64_t first_ = 1;
  std::deque<std::pair<std::string, std::string>> rows_;
};

}  // namespace quayrill
