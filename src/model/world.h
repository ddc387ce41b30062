#pragma once
// The model's transition system: the events that are possible in a state, and the states that they
// lead to.
//
// Reductions of the state space, and why each is sound (in detail in docs/model-check.md):
// - Requests in flight form a set, and each is delivered at any later time or never. Loss and
//   reordering therefore need no events of their own. A duplicate is a delivery that leaves the
//   request in the set.
// - An answer arrives immediately or is lost. A proposer only accumulates answers, and only its own
//   events change its round. A late answer therefore equals an immediate one if it still counts,
//   and a lost one if it does not.
// - A request whose proposer no longer waits for an answer is dropped if it can't change its
//   replica: a higher ballot was promised, or the store is gone. A Prepare is then always dropped,
//   since a promise that nobody receives can only make the replica reject other requests, which
//   equals their loss.
// - States that differ only by a permutation of interchangeable replicas count as one state.
// - An event that only spends a budget is omitted: whatever follows it is possible without it.
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "model/caller.h"
#include "model/history.h"
#include "model/interned.h"
#include "model/machine.h"
#include "model/reconfigurer.h"
#include "model/state.h"

namespace quayrill::model {

// A transition that was taken, and the state that it led to.
struct Successor {
  Event event;
  State state;
  std::string violation;  // the invariant that the event or the new state violates; "" for none
};

// The transition system of one configuration. It interns all parts of the states that it produces,
// and caches the steps of single daemons and replicas.
class World {
 public:
  explicit World(Configuration configuration);

  const State& initial() const { return initial_; }
  std::vector<Successor> successors(const State& state);
  // Empty if the event changes nothing except a budget.
  std::optional<Successor> apply(const State& state, const Event& event);
  // Describes a transition for a printed schedule: the event, and its effects on the lines below.
  std::string describe(const State& before, const Event& event, const State& after) const;
  std::size_t partCount() const;
  // Bytes that are equal for states that differ only by a permutation of interchangeable replicas.
  std::string signature(const State& state);

 private:
  // A request in flight to the replica with this store.
  struct Request {
    StoreId store;
    Message body;
    std::string stateBytes() const;
  };
  struct Answer {
    ReplicaResponse body;
    std::string stateBytes() const { return encodeValue(body); }
  };
  struct Text {
    std::string bytes;
    const std::string& stateBytes() const { return bytes; }
  };
  // A daemon's state, split for the signature of a state.
  struct SignatureParts {
    PartId shared = 0;            // what does not depend on single replicas
    std::vector<PartId> byStore;  // what each store answered, in the order of stores_
  };
  // The result of a replica's handling of a request.
  struct ReplicaStep {
    PartId machine = 0;
    std::optional<PartId> answer;
  };
  // The result of an event at a daemon.
  struct DaemonStep {
    PartId daemon = 0;
    std::vector<PartId> requests;
    std::vector<Observation> observations;
  };
  // (kind and choice of the event and kind of daemon, daemon, argument, acknowledged changes)
  using StepKey = std::array<std::uint32_t, 4>;

  // Has the first replica set chosen by a proposer that reaches all its members.
  ChosenValue foundReplicaSet(std::vector<Machine>* machines, const ReplicaSet& replicas) const;

  // The events that are possible in a state; some of them may turn out to change nothing.
  std::vector<Event> events(const State& state) const;
  void addDeliveries(const State& state, std::vector<Event>* events) const;
  void addDaemonEvents(const State& state, std::vector<Event>* events) const;
  void addTimeoutEvents(const State& state, std::uint8_t actor, std::uint8_t proposer,
                        std::vector<Event>* events) const;
  void addReconfigurerSteps(const State& state, std::size_t reconfigurer,
                            std::vector<Event>* events) const;
  void addMachineEvents(const State& state, std::vector<Event>* events) const;
  bool mayStart(const State& state, const Caller& caller) const;

  // False if the event has the same effect as another one that spends less of the budgets.
  bool applyDelivery(const Event& event, Successor* next);
  void applyMachine(const Event& event, Successor* next);
  // `argument`: what the step depends on besides the event, the daemon and the history. For a
  // delivery, the id of the answer; for ReconfigurerSteps, see reconfigurerArgument; for
  // DaemonLearns, the id of the history.
  void applyDaemon(const Event& event, std::uint32_t argument, Successor* next);

  const DaemonStep& stepDaemon(const Event& event, PartId daemon, std::uint32_t argument,
                               const History& history);
  void stepCaller(const Event& event, std::uint32_t argument, const History& history,
                  Caller* caller, StepEffects* effects) const;
  void stepReconfigurer(const Event& event, std::uint32_t argument, const History& history,
                        Reconfigurer* reconfigurer, StepEffects* effects) const;
  // The inputs of a reconfigurer's step, encoded as a number: the keys that were listed, and the
  // replica set to move to.
  std::uint32_t reconfigurerArgument(const State& state, const Event& event) const;
  // The replica set to move to, decoded from such a number; empty if there is none.
  std::optional<ReplicaSet> nextReplicaSet(const ReplicaSet& replicas,
                                           std::uint32_t argument) const;

  const ReplicaStep& handle(PartId machine, PartId request);
  PartId restarted(PartId machine);
  // Removes the redundant requests of a state.
  void pruneRequests(State* state);
  // True if a delivery of the request, now or later, has no effect that a loss would not have.
  bool isRedundant(const State& state, PartId request);
  const std::string& findViolationIn(const State& state);

  // Symmetry reduction; see world_symmetry.cpp.
  void markDistinguished();
  bool isInterchangeable(const State& state, std::size_t machine) const;
  PartId internText(std::string bytes) { return texts_.idOf({std::move(bytes)}); }
  template <class Daemon>
  const SignatureParts& signaturePartsOf(PartId id, const Daemon& daemon,
                                         std::unordered_map<PartId, SignatureParts>* known);
  // The state of a machine and a request, without store ids.
  PartId contentOfMachine(PartId machine);
  PartId contentOfRequest(PartId request);
  std::string bytesOfMachine(const State& state, std::size_t machine);

  // The machine that has this store now.
  std::optional<std::size_t> machineOf(const State& state, StoreId store) const;
  // The daemon that has this proposer, numbered as in Event::actor, and the proposer; null if it is
  // gone.
  std::pair<std::uint8_t, const TimedProposer*> daemonOf(const State& state,
                                                         std::uint64_t proposer) const;
  // True if the request's proposer still waits for its answer.
  bool isAwaited(const State& state, const Message& request) const;
  const ReplicaSet& newestSet(const State& state) const {
    return histories_[state.history].replicaSets().back();
  }
  std::string describeRequest(PartId request) const;
  std::string describeChanges(const State& before, const State& after) const;

  std::unique_ptr<Configuration> configuration_;  // on the heap, since daemons point to it
  State initial_;
  Interned<Machine> machines_;
  Interned<Caller> callers_;
  Interned<Reconfigurer> reconfigurers_;
  Interned<History> histories_;
  Interned<Request> requests_;
  Interned<Answer> answers_;
  Interned<Text> texts_;
  std::vector<StoreId> stores_;        // every store that any schedule can have
  std::vector<bool> isDistinguished_;  // by machine: a membership step or defect refers to it
  // Caches, by the ids of their inputs.
  std::unordered_map<PartId, SignatureParts> callerParts_, reconfigurerParts_;
  std::unordered_map<PartId, PartId> machineContents_, requestContents_;
  std::unordered_map<std::uint64_t, ReplicaStep> replicaSteps_;  // by machine and request
  std::unordered_map<PartId, PartId> restarted_;
  std::map<StepKey, DaemonStep> daemonSteps_;
  std::unordered_map<std::string, std::string> violations_;  // by machines and history
};

}  // namespace quayrill::model
