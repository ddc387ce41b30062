#include "register/replica.h"

#include <algorithm>

namespace quayrill {

namespace {
constexpr char kDiskFormat[] = "1";
constexpr char kDisowned[] = "disowned";  // row: this replica may never vote again
}  // namespace

std::size_t majorityOf(const ReplicaSet& replicas) { return replicas.members.size() / 2 + 1; }
std::size_t readQuorumOf(const ReplicaSet& replicas) {
  return replicas.members.size() - majorityOf(replicas) + 1;
}

bool RegisterReplica::isMember() const {
  return std::any_of(replicas_.members.begin(), replicas_.members.end(),
                     [&](const ReplicaMember& member) { return member.store == store_; });
}

DiskWrite RegisterReplica::slotWrite(const RegisterKey& key, const Slot& slot) const {
  return {"slot/" + key.value,
          encodeValue(slot.promised) + encodeValue(ConfirmedKey{key, slot.acceptedAt, slot.value})};
}

std::vector<DiskWrite> RegisterReplica::identityWrites() const {
  return {{"format", kDiskFormat}, {"store", std::to_string(store_.value)}};
}

std::vector<DiskWrite> RegisterReplica::adopt(const ReplicaSet& replicas) {
  const bool newer = replicas.epoch > replicas_.epoch ||
                     (replicas.epoch == replicas_.epoch && replicas.settled && !replicas_.settled);
  if (!newer) return {};
  const bool tookPart =
      isMember() || std::any_of(slots_.begin(), slots_.end(), [](const auto& row) {
        return row.second.promised > Ballot{} || row.second.acceptedAt > Ballot{};
      });
  if (replicas_.fleet != 0 && replicas.fleet != replicas_.fleet && tookPart) {
    voting_ = false;
    return {{kDisowned, std::to_string(replicas.fleet)}};
  }
  replicas_ = replicas;
  return {{"copies", encodeValue(replicas)}};
}

bool RegisterReplica::restore(const std::map<std::string, std::string>& disk) {
  const auto format = disk.find("format");
  const auto store = disk.find("store");
  if (format == disk.end() || format->second != kDiskFormat || store == disk.end()) return false;
  store_ = StoreId{std::stoull(store->second)};
  voting_ = !disk.contains(kDisowned);
  if (const auto replicas = disk.find("copies"); replicas != disk.end()) {
    if (!decodeValue(replicas->second, &replicas_)) return false;
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

std::vector<DiskWrite> RegisterReplica::recover(const ReplicaSet& replicas, ProposerId proposer,
                                                WriteId write, const RegisterValue& configuration,
                                                std::uint64_t setVersion) {
  replicas_ = replicas;
  slots_[kConfigurationKey].value = configuration;
  slots_[kReplicaSetKey].value = {setVersion, write, {}, encodeValue(replicas)};
  std::vector<DiskWrite> writes{{"copies", encodeValue(replicas)}};
  for (auto& [key, slot] : slots_) {
    slot.promised = slot.acceptedAt = {replicas.epoch, 1, proposer};
    writes.push_back(slotWrite(key, slot));
  }
  return writes;
}

std::optional<RegisterValue> RegisterReplica::valueOf(const RegisterKey& key) const {
  const auto slot = slots_.find(key);
  if (slot == slots_.end()) return std::nullopt;
  return slot->second.value;
}

std::string RegisterReplica::stateBytes() const {
  std::string bytes = encodeValue(replicas_) + (voting_ ? '1' : '0');
  for (const auto& [key, slot] : slots_) bytes += slotWrite(key, slot).bytes;
  return bytes;
}

ReplicaResponse RegisterReplica::makeAnswer(const OperationId& operation, const RegisterKey& key,
                                            const Ballot& ballot, bool accepting) const {
  ReplicaResponse answer{operation, key, ballot, store_, accepting, false, {}, {}, {}, replicas_};
  if (const auto slot = slots_.find(key); slot != slots_.end()) {
    answer.promised = slot->second.promised;
    answer.acceptedAt = slot->second.acceptedAt;
    if (!accepting) answer.value = slot->second.value;
  }
  return answer;
}

bool RegisterReplica::isOfRivalFounding(const ReplicaSet& replicas) const {
  return replicas_.epoch.value > 0 && replicas.epoch == replicas_.epoch &&
         replicas.fleet != replicas_.fleet;
}

ReplicaEffects RegisterReplica::onPrepare(const Prepare& message) {
  if (!voting_ || message.store != store_) return {};
  ReplicaEffects effects;
  if (message.replicas.epoch >= replicas_.epoch) {
    effects.writes = adopt(message.replicas);
    if (!voting_) return effects;
    Slot& slot = slots_[message.key];
    const bool granted =
        message.ballot >= slot.promised && isMember() && !isOfRivalFounding(message.replicas);
    if (granted && message.ballot > slot.promised) {
      slot.promised = message.ballot;
      effects.writes.push_back(slotWrite(message.key, slot));
    }
    ReplicaResponse answer = makeAnswer(message.operation, message.key, message.ballot, false);
    answer.granted = granted;
    effects.answer = answer;
  } else {
    effects.answer = makeAnswer(message.operation, message.key, message.ballot, false);
  }
  return effects;
}

ReplicaEffects RegisterReplica::onAccept(const Accept& message) {
  if (!voting_ || message.store != store_) return {};
  ReplicaEffects effects;
  bool granted = false;
  if (message.replicas.epoch >= replicas_.epoch) {
    effects.writes = adopt(message.replicas);
    if (!voting_) return effects;
    Slot& slot = slots_[message.key];
    granted = message.ballot >= slot.promised && isMember() && !isOfRivalFounding(message.replicas);
    if (granted) {
      slot.promised = slot.acceptedAt = message.ballot;
      slot.value = message.value;
      effects.writes.push_back(slotWrite(message.key, slot));
    }
  }
  ReplicaResponse answer = makeAnswer(message.operation, message.key, message.ballot, true);
  answer.granted = granted;
  effects.answer = answer;
  return effects;
}

ReplicaEffects RegisterReplica::onConfirm(const ConfirmRequest& message) const {
  if (!voting_) return {};
  ConfirmResponse answer{message.sequence, message.store, store_, replicas_, {}, {}, false, {}};
  if (message.epoch == replicas_.epoch && message.fleet == replicas_.fleet &&
      message.settled == replicas_.settled)
    answer.replicas.members.clear();
  if (message.store != store_ || !isMember()) return {{}, answer};
  for (const auto& [key, known] : message.known) {
    ConfirmedKey held{key, {}, {}};
    if (const auto slot = slots_.find(key); slot != slots_.end()) {
      held.acceptedAt = slot->second.acceptedAt;
      if (held.acceptedAt > known) held.value = slot->second.value;
    }
    if (!message.wantsBodies && key == kConfigurationKey &&
        held.value.body.size() > kMaxInlineBodyBytes) {
      held.value.body.clear();
      answer.omittedBodies.push_back(key);
    }
    answer.keys.push_back(std::move(held));
  }
  answer.hasAllKeys = message.wantsKeys;
  if (message.wantsKeys) {
    for (const auto& [key, slot] : slots_) answer.allKeys.push_back(key);
  }
  return {{}, answer};
}

}  // namespace quayrill
