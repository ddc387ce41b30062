#include "model/history.h"

#include <algorithm>

namespace quayrill::model {

namespace {
bool isYes(UpdateResult result) {
  return result == UpdateResult::Taken || result == UpdateResult::AlreadyTaken;
}
bool isNo(UpdateResult result) {
  return result == UpdateResult::Refused || result == UpdateResult::Stale ||
         result == UpdateResult::TooLarge;
}
std::string versionName(const Observation& observation) {
  return "version " + std::to_string(observation.value.version) + " of '" + observation.key.value +
         "'";
}
}  // namespace

// Two majorities are apart where each can be made of its own members and of different common ones.
bool majoritiesMeet(const ReplicaSet& one, const ReplicaSet& other) {
  std::size_t common = 0;
  for (const ReplicaMember& member : one.members) {
    common += static_cast<std::size_t>(std::count_if(
        other.members.begin(), other.members.end(),
        [&](const ReplicaMember& candidate) { return candidate.store == member.store; }));
  }
  const auto wantsOfCommon = [&](const ReplicaSet& set) {
    const std::size_t own = set.members.size() - common;
    return majorityOf(set) > own ? majorityOf(set) - own : 0;
  };
  return wantsOfCommon(one) + wantsOfCommon(other) > common;
}

bool History::holdsDeadWrite(const RegisterValue& value) const {
  const auto isDead = [&](WriteId write) {
    return std::binary_search(dead_.begin(), dead_.end(), write);
  };
  return isDead(value.writeId) ||
         std::any_of(value.priorWrites.begin(), value.priorWrites.end(), isDead);
}

std::string History::observe(const Observation& observation,
                             const std::vector<OperatorChange>& changes) {
  switch (observation.kind) {
    case Observation::Kind::Chosen:
      return observeChosen(observation, changes);
    case Observation::Kind::ChangeAnswered:
      return observeEnd(observation, changes);
    case Observation::Kind::DeadWrites:
      break;
  }
  dead_.insert(dead_.end(), observation.writes.begin(), observation.writes.end());
  std::sort(dead_.begin(), dead_.end());
  dead_.erase(std::unique(dead_.begin(), dead_.end()), dead_.end());
  for (const auto& [key, versions] : chosen_) {
    for (const auto& [version, value] : versions) {
      if (holdsDeadWrite(value)) return "a write said to be dead was chosen before";
    }
  }
  return "";
}

std::string History::observeChosen(const Observation& observation,
                                   const std::vector<OperatorChange>& changes) {
  const auto [row, isNew] =
      chosen_[observation.key].try_emplace(observation.value.version, observation.value);
  if (!isNew && !(row->second == observation.value))
    return "two values were chosen as " + versionName(observation);
  if (holdsDeadWrite(observation.value))
    return "a write said to be dead was chosen: " + versionName(observation);
  if (observation.key == kReplicaSetKey) {
    ReplicaSet replicas;
    if (!decodeValue(observation.value.body, &replicas))
      return "a chosen replica set can't be read";
    return observeSet(replicas);
  }
  const ChangeSet found = changesIn(observation.value.body, changes);
  if (observation.isRead && (observation.ackedBefore & ~found) != 0)
    return "a read shows no sign of a change acknowledged before it began: " +
           versionName(observation);
  if ((refused_ & found) != 0) return "a refused change was chosen: " + versionName(observation);
  return "";
}

std::string History::observeSet(const ReplicaSet& replicas) {
  for (ReplicaSet& known : sets_) {
    if (known.epoch != replicas.epoch) continue;
    if (known.members != replicas.members) return "two replica sets were chosen under one epoch";
    known.settled = known.settled || replicas.settled;
    return "";
  }
  sets_.push_back(replicas);
  std::sort(sets_.begin(), sets_.end(),
            [](const ReplicaSet& a, const ReplicaSet& b) { return a.epoch < b.epoch; });
  for (std::size_t i = 1; i < sets_.size(); ++i) {
    const bool areNeighbours = sets_[i].epoch.value == sets_[i - 1].epoch.value + 1;
    if (areNeighbours && !majoritiesMeet(sets_[i - 1], sets_[i]))
      return "majorities of neighbouring replica sets have no common member";
  }
  return "";
}

std::string History::observeEnd(const Observation& observation,
                                const std::vector<OperatorChange>& changes) {
  const ChangeSet bit = bitOf(observation.change);
  if (isYes(observation.result)) acked_ |= bit;
  if (isNo(observation.result)) refused_ |= bit;
  if ((acked_ & refused_) != 0)
    return "change '" + changes[observation.change].name +
           "' was acknowledged once and refused once";
  // Each acknowledged change has the number after its basis: two of one basis share a number.
  for (std::size_t i = 0; i < changes.size(); ++i) {
    const bool isRival =
        i != observation.change && changes[i].basis == changes[observation.change].basis;
    if (isRival && (acked_ & bit) != 0 && (acked_ & bitOf(i)) != 0)
      return "two changes were acknowledged under one number";
  }
  for (const auto& [version, value] : chosen_[kConfigurationKey]) {
    if ((changesIn(value.body, changes) & refused_) != 0)
      return "a refused change was chosen before";
  }
  return "";
}

std::string History::stateBytes() const {
  std::string bytes = encodeValue(acked_) + encodeValue(refused_) + encodeValue(dead_);
  for (const auto& [key, versions] : chosen_) {
    bytes += encodeValue(key) + encodeValue(versions.size());
    for (const auto& [version, value] : versions) bytes += encodeValue(value);
  }
  return bytes + encodeValue(sets_);
}

}  // namespace quayrill::model
