#include "register/epoch_sweep.h"

namespace quayrill {

using namespace std::chrono_literals;

namespace {
// Ours: a read that only brings replicas into the epoch is soon tried again.
constexpr Span kListSpan = 1s;
constexpr Span kStepSpan = 2s;

ChangeAsked readOf(const RegisterKey& key, Instant due) { return {{}, key, true, 0, {}, {}, due}; }

ChangeAsked changeTo(const CopySet& copies, std::uint64_t version, Instant due) {
  return {{}, kCopySetKey, false, version, encodeValue(copies), {}, due};
}
}  // namespace

std::vector<ChangeAsked> EpochSweep::next(const CopySet& copies, std::uint64_t version,
                                          const std::optional<std::vector<RegisterKey>>& listed,
                                          const std::optional<CopySet>& following, Instant now) {
  if (!copies.settled) return sweep(copies, version, listed, now);
  if (!following) return {};
  return {changeTo(*following, version, now + kStepSpan)};
}

std::vector<ChangeAsked> EpochSweep::sweep(const CopySet& copies, std::uint64_t version,
                                           const std::optional<std::vector<RegisterKey>>& listed,
                                           Instant now) {
  if (epoch_ != copies.epoch) {
    epoch_ = copies.epoch;
    unswept_.clear();
    hasList_ = false;
  }
  // A majority inside this epoch meets every majority of the older one, and none of its members
  // takes part in the older epoch any more: no key can come up behind the list. The read brings
  // the copies into the epoch.
  if (!hasList_) {
    if (!listed) return {readOf(kCopySetKey, now + kListSpan)};
    unswept_.insert(listed->begin(), listed->end());
    unswept_.insert(kCopySetKey);
    hasList_ = true;
    return {};
  }
  std::vector<ChangeAsked> asks;
  for (const RegisterKey& key : unswept_) asks.push_back(readOf(key, now + kStepSpan));
  if (!asks.empty()) return asks;
  CopySet settled = copies;
  settled.settled = true;
  return {changeTo(settled, version, now + kStepSpan)};
}

void EpochSweep::onReadDone(const ChangeDone& ended) {
  if (ended.result == ChangeResult::Chosen && ended.ballot.epoch == epoch_)
    unswept_.erase(ended.key);
}

std::string EpochSweep::stateBytes() const {
  std::string bytes = encodeValue(epoch_) + (hasList_ ? '1' : '0');
  for (const RegisterKey& key : unswept_) bytes += encodeValue(key);
  return bytes;
}

}  // namespace quayrill
