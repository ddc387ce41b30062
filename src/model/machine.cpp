#include "model/machine.h"

namespace quayrill::model {

namespace {
constexpr char kStoreKey[] = "store";  // the row of the disk format that holds the store id alone
}  // namespace

Machine::Machine(StoreId store, bool dropsPromiseWrites)
    : replica_(store), dropsPromiseWrites_(dropsPromiseWrites) {
  sync(replica_.identityWrites());
}

void Machine::sync(const std::vector<DiskWrite>& writes) {
  for (const DiskWrite& write : writes) disk_[write.key] = write.bytes;
}

std::optional<ReplicaResponse> Machine::handle(const Message& request) {
  ReplicaEffects effects;
  if (const auto* prepare = std::get_if<Prepare>(&request)) {
    effects = replica_.onPrepare(*prepare);
    if (dropsPromiseWrites_) {
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
  RegisterReplica restored(StoreId{});
  if (!restored.restore(disk_)) return false;
  replica_ = std::move(restored);
  return true;
}

void Machine::restartEmpty(StoreId newStore) {
  replica_ = RegisterReplica(newStore);
  disk_.clear();
  sync(replica_.identityWrites());
}

ConfirmedKey Machine::accepted(const RegisterKey& key) const {
  ConfirmRequest request;
  request.store = replica_.store();
  request.known = {{key, Ballot{}}};
  request.wantsBodies = true;
  const ReplicaEffects effects = replica_.onConfirm(request);
  if (!effects.answer) return {key, {}, {}};
  const auto& answer = std::get<ConfirmResponse>(*effects.answer);
  return answer.keys.empty() ? ConfirmedKey{key, {}, {}} : answer.keys.front();
}

std::vector<RegisterKey> Machine::keys() const {
  ConfirmRequest request;
  request.store = replica_.store();
  request.wantsKeys = true;
  const ReplicaEffects effects = replica_.onConfirm(request);
  if (!effects.answer) return {};
  return std::get<ConfirmResponse>(*effects.answer).allKeys;
}

std::string Machine::stateBytesWithoutStore() const {
  std::string bytes = replica_.stateBytes();
  for (const auto& [key, row] : disk_) {
    if (key != kStoreKey) bytes += encodeValue(key) + encodeValue(row);
  }
  return bytes;
}

std::string Machine::stateBytes() const {
  return encodeValue(replica_.store()) + stateBytesWithoutStore();
}

}  // namespace quayrill::model
