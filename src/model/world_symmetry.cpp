// States that differ by the names of like replicas alone.
//
// Replicas are alike that stand in every set of the configuration and that no membership step and
// no planted error names. To exchange two of them in a state gives a state whose schedules are the
// same ones with the names exchanged: the product's code treats replicas by their store ids as
// members of sets, and takes of several answers the one of the highest ballot, which no two values
// share. A signature therefore puts all that the state says of one replica together (its disk and
// memory, the requests under way to it, what each daemon heard from it) and sorts these rows.
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

// One whose disk was emptied is no member any more.
bool World::isInterchangeable(const State& state, std::size_t machine) const {
  return !isDistinguished_[machine] &&
         machines_[state.machines[machine]].replica().store() == StoreId{machine + 1};
}

template <class Daemon>
const World::Parts& World::partsOf(PartId id, const Daemon& daemon,
                                   std::unordered_map<PartId, Parts>* known) {
  const auto found = known->find(id);
  if (found != known->end()) return found->second;
  Parts parts;
  parts.shared = internText(daemon.sharedBytes());
  for (const StoreId& store : stores_)
    parts.heard.push_back(internText(daemon.bytesHeardFrom(store)));
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
  Request nameless = requests_[request];
  if (auto* prepare = std::get_if<Prepare>(&nameless.body)) prepare->store = {};
  if (auto* accept = std::get_if<Accept>(&nameless.body)) accept->store = {};
  return requestContents_[request] = internText(nameless.stateBytes());
}

// All that the state says of one machine, but for the ids of its stores.
std::string World::bytesOfMachine(const State& state, std::size_t machine) {
  std::string bytes;
  append(&bytes, contentOfMachine(state.machines[machine]));
  for (std::size_t store = 2 * machine; store < 2 * machine + 2; ++store) {
    for (std::size_t i = 0; i < configuration_->calls.size(); ++i) {
      const PartId id = state.callers[i];
      append(&bytes, partsOf(id, callers_[id], &callerParts_).heard[store]);
    }
    for (std::size_t i = 0; i < configuration_->reconfigurers; ++i) {
      const PartId id = state.reconfigurers[i];
      append(&bytes, partsOf(id, reconfigurers_[id], &reconfigurerParts_).heard[store]);
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
    shared.callers[i] = partsOf(id, callers_[id], &callerParts_).shared;
  }
  for (std::size_t i = 0; i < configuration_->reconfigurers; ++i) {
    const PartId id = state.reconfigurers[i];
    shared.reconfigurers[i] = partsOf(id, reconfigurers_[id], &reconfigurerParts_).shared;
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
