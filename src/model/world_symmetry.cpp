// Symmetry reduction: states that differ only by a permutation of interchangeable replicas have the
// same signature.
//
// Replicas are interchangeable if they are in every replica set of the configuration and no
// membership step or injected defect refers to them. Exchanging two of them in a state gives a
// state with the same schedules, except for the exchanged names: the production code uses store ids
// only as members of sets, and of several answers it takes the one with the highest ballot, which
// no two values share. A signature therefore collects all that the state contains about each
// replica (its disk and memory, the requests in flight to it, its answers to each daemon) and sorts
// these rows.
#include <algorithm>

#include "model/world.h"

namespace quayrill::model {

namespace {
void append(std::string* bytes, PartId id) {
  bytes->append(reinterpret_cast<const char*>(&id), sizeof id);
}
}  // namespace

void World::markDistinguished() {
  isDistinguished_.assign(configuration_->machines, false);
  for (std::size_t i = configuration_->members; i < configuration_->machines; ++i)
    isDistinguished_[i] = true;
  for (const auto& options : configuration_->steps) {
    for (const MembershipStep& step : options) isDistinguished_[step.machine] = true;
  }
  if (configuration_->defect == Defect::MinorityRead) isDistinguished_[0] = true;
}

// A machine whose disk was emptied is no longer a member, and so not interchangeable with members.
bool World::isInterchangeable(const State& state, std::size_t machine) const {
  return !isDistinguished_[machine] &&
         machines_[state.machines[machine]].replica().store() == StoreId{machine + 1};
}

template <class Daemon>
const World::SignatureParts& World::signaturePartsOf(
    PartId id, const Daemon& daemon, std::unordered_map<PartId, SignatureParts>* known) {
  const auto found = known->find(id);
  if (found != known->end()) return found->second;
  SignatureParts parts;
  parts.shared = internText(daemon.sharedBytes());
  for (const StoreId& store : stores_)
    parts.byStore.push_back(internText(daemon.bytesOfAnswersFrom(store)));
  return (*known)[id] = std::move(parts);
}

PartId World::contentOfMachine(PartId machine) {
  const auto found = machineContents_.find(machine);
  if (found != machineContents_.end()) return found->second;
  return machineContents_[machine] = internText(machines_[machine].stateBytesWithoutStore());
}

PartId World::contentOfRequest(PartId request) {
  const auto found = requestContents_.find(request);
  if (found != requestContents_.end()) return found->second;
  Request withoutStore = requests_[request];
  if (auto* prepare = std::get_if<Prepare>(&withoutStore.body)) prepare->store = {};
  if (auto* accept = std::get_if<Accept>(&withoutStore.body)) accept->store = {};
  return requestContents_[request] = internText(withoutStore.stateBytes());
}

// All that the state contains about one machine, except the ids of its stores.
std::string World::bytesOfMachine(const State& state, std::size_t machine) {
  std::string bytes;
  append(&bytes, contentOfMachine(state.machines[machine]));
  for (std::size_t store = 2 * machine; store < 2 * machine + 2; ++store) {
    for (std::size_t i = 0; i < configuration_->calls.size(); ++i) {
      const PartId id = state.callers[i];
      append(&bytes, signaturePartsOf(id, callers_[id], &callerParts_).byStore[store]);
    }
    for (std::size_t i = 0; i < configuration_->reconfigurers; ++i) {
      const PartId id = state.reconfigurers[i];
      append(&bytes, signaturePartsOf(id, reconfigurers_[id], &reconfigurerParts_).byStore[store]);
    }
  }
  const StoreId store = machines_[state.machines[machine]].replica().store();
  std::vector<PartId> contents;
  for (const PartId request : state.requests) {
    if (requests_[request].store == store) contents.push_back(contentOfRequest(request));
  }
  std::sort(contents.begin(), contents.end());
  append(&bytes, static_cast<PartId>(contents.size()));
  for (const PartId content : contents) append(&bytes, content);
  return bytes;
}

std::string World::signature(const State& state) {
  State shared = state;
  shared.machines = {};
  shared.requests.clear();
  for (std::size_t i = 0; i < configuration_->calls.size(); ++i) {
    const PartId id = state.callers[i];
    shared.callers[i] = signaturePartsOf(id, callers_[id], &callerParts_).shared;
  }
  for (std::size_t i = 0; i < configuration_->reconfigurers; ++i) {
    const PartId id = state.reconfigurers[i];
    shared.reconfigurers[i] = signaturePartsOf(id, reconfigurers_[id], &reconfigurerParts_).shared;
  }
  std::string bytes = shared.bytes();
  std::vector<std::string> interchangeable;
  for (std::size_t i = 0; i < configuration_->machines; ++i) {
    if (isInterchangeable(state, i)) {
      interchangeable.push_back(bytesOfMachine(state, i));
      continue;
    }
    const auto store = static_cast<PartId>(machines_[state.machines[i]].replica().store().value);
    append(&bytes, store);
    bytes += bytesOfMachine(state, i);
  }
  std::sort(interchangeable.begin(), interchangeable.end());
  for (const std::string& row : interchangeable) bytes += row;
  return bytes;
}

}  // namespace quayrill::model
