// The events that are possible in a state of the model.
#include <bit>

#include "model/world.h"

namespace quayrill::model {

namespace {
bool isNewer(const ReplicaSet& replicas, const ReplicaSet& than) {
  return replicas.epoch > than.epoch ||
         (replicas.epoch == than.epoch && replicas.settled && !than.settled);
}

Event makeEvent(Event::Kind kind, std::size_t actor) {
  Event event;
  event.kind = kind;
  event.actor = static_cast<std::uint8_t>(actor);
  return event;
}
}  // namespace

std::vector<Event> World::events(const State& state) const {
  std::vector<Event> events;
  addDaemonEvents(state, &events);
  addDeliveries(state, &events);
  addMachineEvents(state, &events);
  return events;
}

void World::addDeliveries(const State& state, std::vector<Event>* events) const {
  for (const PartId request : state.requests) {
    Event event;
    event.request = request;
    event.kind = Event::Kind::Deliver;
    events->push_back(event);
    event.kind = Event::Kind::DeliverAnswerLost;
    if (state.budgets.lostAnswers > 0) events->push_back(event);
    event.kind = Event::Kind::Duplicate;
    if (state.budgets.duplicates > 0) events->push_back(event);
  }
}

// A call starts after the previous one has ended, and builds only on an acknowledged change: an
// operator can't build on a number that was never reported.
bool World::mayStart(const State& state, const Caller& caller) const {
  const auto change = caller.nextChange();
  if (!change) return false;
  const std::uint64_t basis = configuration_->changes[*change].basis;
  if (basis == 0) return true;
  const ChangeSet acknowledged = histories_[state.history].acknowledged();
  for (std::size_t i = 0; i < configuration_->changes.size(); ++i) {
    if ((acknowledged & bitOf(i)) != 0 && configuration_->changes[i].basis + 1 == basis)
      return true;
  }
  return false;
}

void World::addTimeoutEvents(const State& state, std::uint8_t actor, std::uint8_t proposer,
                             std::vector<Event>* events) const {
  Event event = makeEvent(Event::Kind::PhaseTimeout, actor);
  event.choice = proposer;
  if (state.budgets.phases > 0) events->push_back(event);
  event.kind = Event::Kind::OperationTimeout;
  if (state.budgets.deadlines > 0) events->push_back(event);
}

void World::addDaemonEvents(const State& state, std::vector<Event>* events) const {
  const ReplicaSet& newest = newestSet(state);
  const auto addFaults = [&](std::size_t actor, bool isBusy, const ReplicaSet& known) {
    if (isBusy && state.budgets.daemonDeaths > 0)
      events->push_back(makeEvent(Event::Kind::DaemonCrash, actor));
    if (state.budgets.learns > 0 && isNewer(newest, known))
      events->push_back(makeEvent(Event::Kind::DaemonLearns, actor));
  };
  for (std::size_t i = 0; i < configuration_->calls.size(); ++i) {
    const Caller& caller = callers_[state.callers[i]];
    if (mayStart(state, caller)) events->push_back(makeEvent(Event::Kind::Start, i));
    if (caller.isBusy()) addTimeoutEvents(state, static_cast<std::uint8_t>(i), 0, events);
    addFaults(i, caller.isBusy(), caller.replicas());
  }
  for (std::size_t i = 0; i < configuration_->reconfigurers; ++i) {
    const Reconfigurer& reconfigurer = reconfigurers_[state.reconfigurers[i]];
    const std::size_t actor = kMaxCallers + i;
    addReconfigurerSteps(state, i, events);
    for (std::uint8_t proposer = 0; proposer < Reconfigurer::kProposers; ++proposer) {
      if (reconfigurer.isBusy(proposer))
        addTimeoutEvents(state, static_cast<std::uint8_t>(actor), proposer, events);
    }
    addFaults(actor, reconfigurer.isBusy(0) || reconfigurer.isBusy(1), reconfigurer.replicas());
  }
}

// As in production, there is no step while an operation on the replica set's own key is in
// progress. The keys may be listed by any majority of members that have entered the epoch, all at
// one moment: a list taken later can only be longer, since a replica drops no key and leaves no
// epoch.
void World::addReconfigurerSteps(const State& state, std::size_t reconfigurer,
                                 std::vector<Event>* events) const {
  const Reconfigurer& daemon = reconfigurers_[state.reconfigurers[reconfigurer]];
  if (daemon.isBusy(0)) return;
  const ReplicaSet& replicas = daemon.replicas();
  Event event = makeEvent(Event::Kind::ReconfigurerSteps, kMaxCallers + reconfigurer);
  const bool mayChangeSet = replicas.settled || configuration_->defect == Defect::UnsettledEpoch;
  const std::size_t index = replicas.epoch.value - 1;
  if (mayChangeSet && index < configuration_->steps.size()) {
    for (std::size_t i = 0; i < configuration_->steps[index].size(); ++i) {
      event.choice = static_cast<std::uint8_t>(i);
      events->push_back(event);
    }
    return;
  }
  events->push_back(event);
  if (replicas.settled) return;
  std::uint8_t membersInEpoch = 0;
  for (std::size_t i = 0; i < configuration_->machines; ++i) {
    const RegisterReplica& replica = machines_[state.machines[i]].replica();
    if (replica.replicas().epoch == replicas.epoch && replica.isMember())
      membersInEpoch = static_cast<std::uint8_t>(membersInEpoch | (1u << i));
  }
  for (unsigned quorum = 1; quorum <= membersInEpoch; ++quorum) {
    const bool isSubset = (quorum & ~static_cast<unsigned>(membersInEpoch)) == 0;
    if (!isSubset || static_cast<std::size_t>(std::popcount(quorum)) != majorityOf(replicas))
      continue;
    event.quorum = static_cast<std::uint8_t>(quorum);
    events->push_back(event);
  }
}

void World::addMachineEvents(const State& state, std::vector<Event>* events) const {
  const ReplicaSet& newest = newestSet(state);
  for (std::size_t i = 0; i < configuration_->machines; ++i) {
    const RegisterReplica& replica = machines_[state.machines[i]].replica();
    if (state.budgets.restarts > 0) events->push_back(makeEvent(Event::Kind::Restart, i));
    if (state.budgets.emptied > 0) events->push_back(makeEvent(Event::Kind::RestartEmpty, i));
    if (state.budgets.learns > 0 && isNewer(newest, replica.replicas()))
      events->push_back(makeEvent(Event::Kind::ReplicaLearns, i));
  }
}

}  // namespace quayrill::model
