#include "register/epoch_sweep.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
// Ours: a read that only brings replicas into the epoch is soon tried again.
constexpr Span kListSpan = 1s;
constexpr Span kStepSpan = 2s;

ChangeRequest readOf(const RegisterKey& key, Instant due) {
  return {{}, key, true, 0, {}, {}, due};
}

ChangeRequest changeTo(const ReplicaSet& replicas, std::uint64_t version, Instant due) {
  return {{}, kReplicaSetKey, false, version, encodeValue(replicas), {}, due};
}
}  // namespace

std::vector<ChangeRequest> EpochSweep::next(const ReplicaSet& replicas, std::uint64_t version,
                                            const std::optional<std::vector<RegisterKey>>& listed,
                                            const std::optional<ReplicaSet>& following,
                                            Instant now) {
  if (!replicas.settled) return sweep(replicas, version, listed, now);
  if (!following) return {};
  return {changeTo(*following, version, now + kStepSpan)};
}

std::vector<ChangeRequest> EpochSweep::sweep(const ReplicaSet& replicas, std::uint64_t version,
                                             const std::optional<std::vector<RegisterKey>>& listed,
                                             Instant now) {
  if (epoch_ != replicas.epoch) {
    epoch_ = replicas.epoch;
    unswept_.clear();
    hasList_ = false;
  }
  // A majority inside this epoch meets every majority of the older one, and none of its members
  // takes part in the older epoch any more: no key can come up behind the list. The read brings
  // the replicas into the epoch.
  if (!hasList_) {
    if (!listed) return {readOf(kReplicaSetKey, now + kListSpan)};
    unswept_.insert(listed->begin(), listed->end());
    unswept_.insert(kReplicaSetKey);
    hasList_ = true;
    return {};
  }
  std::vector<ChangeRequest> asks;
  for (const RegisterKey& key : unswept_) asks.push_back(readOf(key, now + kStepSpan));
  if (!asks.empty()) return asks;
  ReplicaSet settled = replicas;
  settled.settled = true;
  return {changeTo(settled, version, now + kStepSpan)};
}

void EpochSweep::onReadDone(const ChangeOutcome& ended) {
  if (ended.result == ChangeResult::Chosen && ended.ballot.epoch == epoch_)
    unswept_.erase(ended.key);
}

std::string EpochSweep::stateBytes() const {
  std::string bytes = encodeValue(epoch_) + (hasList_ ? '1' : '0');
  for (const RegisterKey& key : unswept_) bytes += encodeValue(key);
  return bytes;
}

}  // namespace quayrill
