#pragma once
// One machine of the model: a production register replica and the rows on its disk.
#include <map>
#include <optional>
#include <string>

#include "model/operator_changes.h"
#include "register/replica.h"

namespace quayrill::model {

class Machine {
 public:
  // `dropsPromiseWrites` injects Defect::UnsyncedPromise.
  Machine(StoreId store, bool dropsPromiseWrites);

  const RegisterReplica& replica() const { return replica_; }
  // Handles a request, syncs its writes and returns the answer, in one step. A crash in between
  // needs no event of its own: before the sync it equals a lost request, after it a lost answer.
  std::optional<ReplicaResponse> handle(const Message& request);
  void adopt(const ReplicaSet& replicas);
  // Restarts the process on its disk. False if the replica can't read the rows.
  bool restart();
  // Restarts the process on an empty disk with a new store id.
  void restartEmpty(StoreId newStore);
  // The value accepted under `key`, as the replica reports it to a reader.
  ConfirmedKey accepted(const RegisterKey& key) const;
  // The keys under which the replica has a value.
  std::vector<RegisterKey> keys() const;
  // The state as canonical bytes, with and without the store id.
  std::string stateBytes() const;
  std::string stateBytesWithoutStore() const;

 private:
  void sync(const std::vector<DiskWrite>& writes);

  RegisterReplica replica_;
  std::map<std::string, std::string> disk_;
  bool dropsPromiseWrites_;
};

}  // namespace quayrill::model
