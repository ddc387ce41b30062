#include "model/machine.h"

namespace quayrill::model {

namespace {
constexpr char kStoreRow[] = "store";  // of the product's disk format: the store's id alone
}  // namespace

Machine::Machine(StoreId store, bool forgetsPromises)
    : replica_(store), forgetsPromises_(forgetsPromises) {
  sync(replica_.identityWrites());
}

void Machine::sync(const std::vector<DiskWrite>& writes) {
  for (const DiskWrite& write : writes) disk_[write.key] = write.bytes;
}

std::optional<ReplicaResponse> Machine::take(const Message& request) {
  ReplicaEffects effects;
  if (const auto* prepare = std::get_if<Prepare>(&request)) {
    effects = replica_.onPrepare(*prepare);
    if (forgetsPromises_) {
      std::erase_if(effects.writes,
                    [](const DiskWrite& write) { return write.key.rfind("slot/", 0) == 0; });
    }
  }
  if (const auto* accept = std::get_if<Accept>(&request)) effects = replica_.onAccept(*accept);
  sync(effects.writes);
  if (!effects.answer) return std::nullopt;
  return std::get<ReplicaResponse>(*effects.answer);
}

void Machine::adopt(const ReplicaSet& replicas) { sync(replica_.adopt(replicas)); }

bool Machine::restart() {
  RegisterReplica read(StoreId{});
  if (!read.restore(disk_)) return false;
  replica_ = std::move(read);
  return true;
}

void Machine::empty(StoreId newStore) {
  replica_ = RegisterReplica(newStore);
  disk_.clear();
  sync(replica_.identityWrites());
}

ConfirmedKey Machine::accepted(const RegisterKey& key) const {
  ConfirmRequest question;
  question.store = replica_.store();
  question.known = {{key, Ballot{}}};
  question.wantsBodies = true;
  const ReplicaEffects effects = replica_.onConfirm(question);
  if (!effects.answer) return {key, {}, {}};
  const auto& answer = std::get<ConfirmResponse>(*effects.answer);
  return answer.keys.empty() ? ConfirmedKey{key, {}, {}} : answer.keys.front();
}

std::vector<RegisterKey> Machine::keys() const {
  ConfirmRequest question;
  question.store = replica_.store();
  question.wantsKeys = true;
  const ReplicaEffects effects = replica_.onConfirm(question);
  if (!effects.answer) return {};
  return std::get<ConfirmResponse>(*effects.answer).allKeys;
}

std::string Machine::bytesButStore() const {
  std::string bytes = replica_.stateBytes();
  for (const auto& [key, row] : disk_) {
    if (key != kStoreRow) bytes += encodeValue(key) + encodeValue(row);
  }
  return bytes;
}

std::string Machine::stateBytes() const { return encodeValue(replica_.store()) + bytesButStore(); }

}  // namespace quayrill::model
