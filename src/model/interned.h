#pragma once
// Parts of a model state, kept once each. Two parts are the same where their canonical bytes are
// the same, compared whole and not by a hash, so a state is a row of small numbers.
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace quayrill::model {

template <class Part>
class Interned {
 public:
  using Id = std::uint32_t;

  // Part has `std::string stateBytes() const`.
  Id idOf(Part part) {
    const auto [row, isNew] = ids_.try_emplace(part.stateBytes(), static_cast<Id>(parts_.size()));
    if (isNew) parts_.push_back(std::move(part));
    return row->second;
  }
  const Part& operator[](Id id) const { return parts_[id]; }
  std::size_t size() const { return parts_.size(); }

 private:
  std::unordered_map<std::string, Id> ids_;
  std::deque<Part> parts_;  // never moved: references stay good
};

}  // namespace quayrill::model
