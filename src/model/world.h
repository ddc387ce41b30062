#pragma once
// The model's transition system: which events may come in a state, and what each leads to.
//
// Reductions, and why each is sound (docs/model-check.md has the arguments at length):
// - Requests are a set, each delivered at any later time or never: loss and reordering need no
// event
//   of their own. A duplicate is a delivery that leaves the request in the set.
// - An answer arrives at once or is lost. A proposer only adds answers up, and is moved by nothing
//   but its own events; an answer that comes late is one that came at once where it still counts,
//   and one that was lost where it counts no more.
// - A request whose proposer has gone on is dropped where it can't change its replica (the ballot
//   was passed, the store is gone), and a Prepare always: all that a promise without a listener
//   does is turn others away, which is a loss of theirs.
// - States that differ by the names of like replicas alone count as one.
// - An event that changes nothing but a budget is left out: what follows is possible without it.
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

struct Successor {
  Event event;
  State state;
  std::string violation;  // the invariant that breaks on the way or in the state; "" for none
};

class World {
 public:
  explicit World(Configuration configuration);

  const State& initial() const { return initial_; }
  std::vector<Successor> successors(const State& state);
  // Nothing where the event changes nothing but a budget.
  std::optional<Successor> apply(const State& state, const Event& event);
  // One line for a reader of a counterexample: what comes, and what it makes of whom.
  std::string describe(const State& before, const Event& event, const State& after) const;
  std::size_t partCount() const;
  // Bytes that are equal for states that differ by the names of like replicas alone.
  std::string signature(const State& state);

 private:
  struct Request {
    StoreId store;
    Message body;
    std::string stateBytes() const;
  };
  struct Answer {
    ReplicaAnswer body;
    std::string stateBytes() const { return encodeValue(body); }
  };
  struct Text {
    std::string bytes;
    const std::string& stateBytes() const { return bytes; }
  };
  // A daemon's state as a signature needs it: apart from the replicas, and by store.
  struct Parts {
    PartId shared = 0;
    std::vector<PartId> heard;  // in the order of stores_
  };
  struct ReplicaStep {
    PartId machine = 0;
    std::optional<PartId> answer;
  };
  struct DaemonStep {
    PartId daemon = 0;
    std::vector<PartId> requests;
    std::vector<Observation> observations;
  };
  // (kind and choice of the event and kind of daemon, daemon, argument, acknowledged orders)
  using StepKey = std::array<std::uint32_t, 4>;

  // Founds the first set by one proposer that reaches all of its members.
  ChosenValue found(std::vector<Machine>* machines, const ReplicaSet& replicas) const;

  // Which events may come; some of them may turn out to change nothing.
  std::vector<Event> events(const State& state) const;
  void addDeliveries(const State& state, std::vector<Event>* events) const;
  void addDaemonEvents(const State& state, std::vector<Event>* events) const;
  void addTimeoutEvents(const State& state, std::uint8_t actor, std::uint8_t proposer,
                        std::vector<Event>* events) const;
  void addReconfigurerSteps(const State& state, std::size_t reconfigurer,
                            std::vector<Event>* events) const;
  void addMachineEvents(const State& state, std::vector<Event>* events) const;
  bool mayStart(const State& state, const Caller& caller) const;

  // False where the event would be another one at a higher price.
  bool applyDelivery(const Event& event, Successor* next);
  void applyMachine(const Event& event, Successor* next);
  void applyDaemon(const Event& event, std::uint32_t argument, Successor* next);

  const DaemonStep& step(const Event& event, PartId daemon, std::uint32_t argument,
                         const History& history);
  void stepCaller(const Event& event, std::uint32_t argument, const History& history,
                  Caller* caller, StepEffects* effects) const;
  void stepReconfigurer(const Event& event, std::uint32_t argument, const History& history,
                        Reconfigurer* reconfigurer, StepEffects* effects) const;
  // What a mover's step builds on, as a number: the keys that were listed, and the set to follow.
  std::uint32_t reconfigurerArgument(const State& state, const Event& event) const;
  std::optional<ReplicaSet> nextReplicaSet(const ReplicaSet& replicas,
                                           std::uint32_t argument) const;

  const ReplicaStep& handle(PartId machine, PartId request);
  PartId restarted(PartId machine);
  void pruneRequests(State* state);
  bool isRedundant(const State& state, PartId request);
  const std::string& findViolationIn(const State& state);

  void markDistinguished();
  bool isInterchangeable(const State& state, std::size_t machine) const;
  PartId internText(std::string bytes) { return texts_.idOf({std::move(bytes)}); }
  template <class Daemon>
  const Parts& partsOf(PartId id, const Daemon& daemon, std::unordered_map<PartId, Parts>* known);
  PartId contentOfMachine(PartId machine);
  PartId contentOfRequest(PartId request);
  std::string bytesOfMachine(const State& state, std::size_t machine);

  std::optional<std::size_t> machineOf(const State& state, StoreId store) const;
  // The daemon that has this proposer, as an event names it, and the proposer.
  std::pair<std::uint8_t, const TimedProposer*> daemonOf(const State& state,
                                                         std::uint64_t proposer) const;
  bool isAwaited(const State& state, const Message& request) const;
  const ReplicaSet& newestSet(const State& state) const {
    return histories_[state.history].replicaSets().back();
  }
  std::string describeRequest(PartId request) const;
  std::string describeChanges(const State& before, const State& after) const;

  std::unique_ptr<Configuration> configuration_;  // daemons point to it
  State initial_;
  Interned<Machine> machines_;
  Interned<Caller> callers_;
  Interned<Reconfigurer> reconfigurers_;
  Interned<History> histories_;
  Interned<Request> requests_;
  Interned<Answer> answers_;
  Interned<Text> texts_;
  std::vector<StoreId> stores_;        // all that there may ever be
  std::vector<bool> isDistinguished_;  // by machine: a step or planted error means it and no other
  std::unordered_map<PartId, Parts> callerParts_, reconfigurerParts_;
  std::unordered_map<PartId, PartId> machineContents_, requestContents_;
  std::unordered_map<std::uint64_t, ReplicaStep> replicaSteps_;  // by machine and request
  std::unordered_map<PartId, PartId> restarted_;
  std::map<StepKey, DaemonStep> daemonSteps_;
  std::unordered_map<std::string, std::string> violations_;  // by machines and history
};

}  // namespace quayrill::model
