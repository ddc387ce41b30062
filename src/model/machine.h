#pragma once
// One machine of the model: the product's replica and the rows that its disk holds.
#include <map>
#include <optional>
#include <string>

#include "model/operator_changes.h"
#include "register/replica.h"

namespace quayrill::model {

class Machine {
 public:
  Machine(StoreId store, bool dropsPromiseWrites);

  const RegisterReplica& replica() const { return replica_; }
  // Takes a request and syncs what it writes. The answer has left with that: a crash before it is a
  // request that was lost, one after it an answer that was lost.
  std::optional<ReplicaAnswer> handle(const Message& request);
  void adopt(const ReplicaSet& replicas);
  // The process ends and starts again on its disk. False where the product can't read the rows.
  bool restart();
  void empty(StoreId newStore);
  // What it accepted under `key`, as it would tell a reader.
  ConfirmedKey accepted(const RegisterKey& key) const;
  std::vector<RegisterKey> keys() const;
  std::string stateBytes() const;
  // The same without the store's id.
  std::string stateBytesWithoutStore() const;

 private:
  void sync(const std::vector<DiskWrite>& writes);

  RegisterReplica replica_;
  std::map<std::string, std::string> disk_;
  bool dropsPromiseWrites_;
};

}  // namespace quayrill::model
