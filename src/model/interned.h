#pragma once
// Interning of the parts of model states: equal parts are stored once, so a state is a list of
// small ids. Parts are compared by their complete canonical bytes, not by a hash.
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace quayrill::model {

// The distinct parts of one type. Part has `std::string stateBytes() const`.
template <class Part>
class Interned {
 public:
  using Id = std::uint32_t;

  // The id of the part; stores it if it is new.
  Id idOf(Part part) {
    const auto [row, isNew] = ids_.try_emplace(part.stateBytes(), static_cast<Id>(parts_.size()));
    if (isNew) parts_.push_back(std::move(part));
    return row->second;
  }
  const Part& operator[](Id id) const { return parts_[id]; }
  std::size_t size() const { return parts_.size(); }

 private:
  std::unordered_map<std::string, Id> ids_;
  std::deque<Part> parts_;  // a deque, so that references stay valid
};

}  // namespace quayrill::model
