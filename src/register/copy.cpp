#include "register/copy.h"

#include <algorithm>

namespace quayrill {

namespace {
constexpr char kDiskFormat[] = "1";
constexpr char kDisowned[] = "disowned";
}  // namespace

std::size_t majorityOf(const CopySet& copies) { return copies.members.size() / 2 + 1; }
std::size_t meetsEveryMajority(const CopySet& copies) {
  return copies.members.size() - majorityOf(copies) + 1;
}

bool RegisterCopy::isMember() const {
  return std::any_of(copies_.members.begin(), copies_.members.end(),
                     [&](const CopyMember& member) { return member.store == store_; });
}

DiskWrite RegisterCopy::slotWrite(const RegisterKey& key, const Slot& slot) const {
  return {"slot/" + key.value,
          encodeValue(slot.promised) + encodeValue(ConfirmedKey{key, slot.acceptedAt, slot.value})};
}

std::vector<DiskWrite> RegisterCopy::identityWrites() const {
  return {{"format", kDiskFormat}, {"store", std::to_string(store_.value)}};
}

std::vector<DiskWrite> RegisterCopy::adopt(const CopySet& copies) {
  const bool newer = copies.epoch > copies_.epoch ||
                     (copies.epoch == copies_.epoch && copies.settled && !copies_.settled);
  if (!newer) return {};
  const bool tookPart =
      isMember() || std::any_of(slots_.begin(), slots_.end(), [](const auto& row) {
        return row.second.promised > Ballot{} || row.second.acceptedAt > Ballot{};
      });
  if (copies_.fleet != 0 && copies.fleet != copies_.fleet && tookPart) {
    voting_ = false;
    return {{kDisowned, std::to_string(copies.fleet)}};
  }
  copies_ = copies;
  return {{"copies", encodeValue(copies)}};
}

bool RegisterCopy::restore(const std::map<std::string, std::string>& disk) {
  const auto format = disk.find("format");
  const auto store = disk.find("store");
  if (format == disk.end() || format->second != kDiskFormat || store == disk.end()) return false;
  store_ = StoreId{std::stoull(store->second)};
  voting_ = !disk.contains(kDisowned);
  if (const auto copies = disk.find("copies"); copies != disk.end()) {
    if (!decodeValue(copies->second, &copies_)) return false;
  }
  const std::size_t ballotSize = encodeValue(Ballot{}).size();
  for (auto row = disk.lower_bound("slot/"); row != disk.end(); ++row) {
    if (row->first.rfind("slot/", 0) != 0) break;
    Slot slot;
    ConfirmedKey held;
    if (row->second.size() < ballotSize ||
        !decodeValue(row->second.substr(0, ballotSize), &slot.promised) ||
        !decodeValue(row->second.substr(ballotSize), &held))
      return false;
    slot.acceptedAt = held.acceptedAt;
    slot.value = held.value;
    slots_[held.key] = slot;
  }
  return true;
}

std::vector<DiskWrite> RegisterCopy::refound(const CopySet& copies, ProposerId proposer,
                                             WriteId write, const RegisterValue& spec,
                                             std::uint64_t setVersion) {
  copies_ = copies;
  slots_[kSpecKey].value = spec;
  slots_[kCopySetKey].value = {setVersion, write, {}, encodeValue(copies)};
  std::vector<DiskWrite> writes{{"copies", encodeValue(copies)}};
  for (auto& [key, slot] : slots_) {
    slot.promised = slot.acceptedAt = {copies.epoch, 1, proposer};
    writes.push_back(slotWrite(key, slot));
  }
  return writes;
}

std::optional<RegisterValue> RegisterCopy::valueOf(const RegisterKey& key) const {
  const auto slot = slots_.find(key);
  if (slot == slots_.end()) return std::nullopt;
  return slot->second.value;
}

std::string RegisterCopy::stateBytes() const {
  std::string bytes = encodeValue(copies_) + (voting_ ? '1' : '0');
  for (const auto& [key, slot] : slots_) bytes += slotWrite(key, slot).bytes;
  return bytes;
}

CopyAnswer RegisterCopy::answerTo(const OperationId& operation, const RegisterKey& key,
                                  const Ballot& ballot, bool accepting) const {
  CopyAnswer answer{operation, key, ballot, store_, accepting, false, {}, {}, {}, copies_};
  if (const auto slot = slots_.find(key); slot != slots_.end()) {
    answer.promised = slot->second.promised;
    answer.acceptedAt = slot->second.acceptedAt;
    if (!accepting) answer.value = slot->second.value;
  }
  return answer;
}

bool RegisterCopy::isForeign(const CopySet& copies) const {
  return copies_.epoch.value > 0 && copies.epoch == copies_.epoch && copies.fleet != copies_.fleet;
}

CopyEffects RegisterCopy::onPrepare(const Prepare& message) {
  if (!voting_ || message.store != store_) return {};
  CopyEffects effects;
  if (message.copies.epoch >= copies_.epoch) {
    effects.writes = adopt(message.copies);
    if (!voting_) return effects;
    Slot& slot = slots_[message.key];
    const bool granted =
        message.ballot >= slot.promised && isMember() && !isForeign(message.copies);
    if (granted && message.ballot > slot.promised) {
      slot.promised = message.ballot;
      effects.writes.push_back(slotWrite(message.key, slot));
    }
    CopyAnswer answer = answerTo(message.operation, message.key, message.ballot, false);
    answer.granted = granted;
    effects.answer = answer;
  } else {
    effects.answer = answerTo(message.operation, message.key, message.ballot, false);
  }
  return effects;
}

CopyEffects RegisterCopy::onAccept(const Accept& message) {
  if (!voting_ || message.store != store_) return {};
  CopyEffects effects;
  bool granted = false;
  if (message.copies.epoch >= copies_.epoch) {
    effects.writes = adopt(message.copies);
    if (!voting_) return effects;
    Slot& slot = slots_[message.key];
    granted = message.ballot >= slot.promised && isMember() && !isForeign(message.copies);
    if (granted) {
      slot.promised = slot.acceptedAt = message.ballot;
      slot.value = message.value;
      effects.writes.push_back(slotWrite(message.key, slot));
    }
  }
  CopyAnswer answer = answerTo(message.operation, message.key, message.ballot, true);
  answer.granted = granted;
  effects.answer = answer;
  return effects;
}

CopyEffects RegisterCopy::onConfirm(const Confirm& message) const {
  if (!voting_) return {};
  ConfirmAnswer answer{message.sequence, message.store, store_, copies_, {}, false, {}};
  if (message.epoch == copies_.epoch && message.fleet == copies_.fleet &&
      message.settled == copies_.settled)
    answer.copies.members.clear();
  if (message.store != store_ || !isMember()) return {{}, answer};
  for (const auto& [key, known] : message.known) {
    ConfirmedKey held{key, {}, {}};
    if (const auto slot = slots_.find(key); slot != slots_.end()) {
      held.acceptedAt = slot->second.acceptedAt;
      if (held.acceptedAt > known) held.value = slot->second.value;
    }
    answer.keys.push_back(std::move(held));
  }
  answer.listsKeys = message.wantsKeys;
  if (message.wantsKeys) {
    for (const auto& [key, slot] : slots_) answer.allKeys.push_back(key);
  }
  return {{}, answer};
}

}  // namespace quayrill
