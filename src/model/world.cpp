#include "model/world.h"

#include <algorithm>

#include "model/invariants.h"

namespace quayrill::model {

namespace {
constexpr std::uint64_t kFounderId = 1;  // of the proposer that founds the set; below all others
// A machine whose disk was emptied has the store with this id plus that of its first store.
constexpr std::uint64_t kEmptiedStoreBase = 100;

StoreId firstStoreOf(std::size_t machine) { return StoreId{machine + 1}; }
StoreId emptiedStoreOf(std::size_t machine) { return StoreId{kEmptiedStoreBase + machine + 1}; }
Address addressOf(std::size_t machine) { return Address{"m" + std::to_string(machine + 1)}; }

ReplicaSet firstSet(std::size_t members) {
  ReplicaSet replicas;
  replicas.epoch = Epoch{1};
  replicas.fleet = 1;
  replicas.settled = true;
  for (std::size_t i = 0; i < members; ++i)
    replicas.members.push_back({firstStoreOf(i), addressOf(i)});
  return replicas;
}

const Ballot& ballotOf(const Message& request) {
  if (const auto* prepare = std::get_if<Prepare>(&request)) return prepare->ballot;
  return std::get<Accept>(request).ballot;
}

OperationId operationOf(const Message& request) {
  if (const auto* prepare = std::get_if<Prepare>(&request)) return prepare->operation;
  return std::get<Accept>(request).operation;
}
}  // namespace

std::string World::Request::stateBytes() const {
  if (const auto* prepare = std::get_if<Prepare>(&body)) return "p" + encodeValue(*prepare);
  return "a" + encodeValue(std::get<Accept>(body));
}

World::World(Configuration configuration)
    : configuration_(std::make_unique<Configuration>(std::move(configuration))) {
  const ReplicaSet replicas = firstSet(configuration_->members);
  std::vector<Machine> machines;
  for (std::size_t i = 0; i < configuration_->machines; ++i)
    machines.emplace_back(firstStoreOf(i), configuration_->defect == Defect::UnsyncedPromise);
  for (std::size_t i = 0; i < configuration_->machines; ++i) {
    stores_.push_back(firstStoreOf(i));
    stores_.push_back(emptiedStoreOf(i));
  }
  markDistinguished();
  const ChosenValue foundedValue = foundReplicaSet(&machines, replicas);
  for (std::size_t i = 0; i < machines.size(); ++i)
    initial_.machines[i] = machines_.idOf(machines[i]);
  for (std::size_t i = 0; i < configuration_->calls.size(); ++i)
    initial_.callers[i] = callers_.idOf(Caller(configuration_.get(), i, foundedValue));
  for (std::size_t i = 0; i < configuration_->reconfigurers; ++i)
    initial_.reconfigurers[i] =
        reconfigurers_.idOf(Reconfigurer(configuration_.get(), i, foundedValue));
  initial_.history = histories_.idOf(History(replicas));
  initial_.budgets = configuration_->budgets;
}

ChosenValue World::foundReplicaSet(std::vector<Machine>* machines,
                                   const ReplicaSet& replicas) const {
  TimedProposer founder{ProposerId{kFounderId}};
  ChangeRequest request;
  request.key = kReplicaSetKey;
  request.body = encodeValue(replicas);
  std::vector<ChangeOutcome> done;
  Sends sends = founder.begin(request, replicas);
  while (!sends.empty()) {
    Sends next;
    for (const auto& [member, message] : sends) {
      const auto answer = (*machines)[member.store.value - 1].handle(message);
      for (auto& send : founder.answer(*answer, &done)) next.push_back(std::move(send));
    }
    sends = std::move(next);
  }
  return {done.front().ballot, done.front().value};
}

std::vector<Successor> World::successors(const State& state) {
  std::vector<Successor> successors;
  for (const Event& event : events(state)) {
    if (auto next = apply(state, event)) successors.push_back(std::move(*next));
  }
  return successors;
}

std::optional<Successor> World::apply(const State& state, const Event& event) {
  Successor next{event, state, {}};
  switch (event.kind) {
    case Event::Kind::Deliver:
    case Event::Kind::DeliverAnswerLost:
    case Event::Kind::Duplicate:
      if (!applyDelivery(event, &next)) return std::nullopt;
      break;
    case Event::Kind::Restart:
    case Event::Kind::RestartEmpty:
    case Event::Kind::ReplicaLearns:
      applyMachine(event, &next);
      break;
    case Event::Kind::ReconfigurerSteps:
      applyDaemon(event, reconfigurerArgument(state, event), &next);
      break;
    default:
      applyDaemon(event, event.kind == Event::Kind::DaemonLearns ? state.history : event.choice,
                  &next);
  }
  if (next.violation.empty()) pruneRequests(&next.state);
  if (next.violation.empty() && next.state.equalsIgnoringBudgets(state)) return std::nullopt;
  if (next.violation.empty()) next.violation = findViolationIn(next.state);
  return next;
}

bool World::applyDelivery(const Event& event, Successor* next) {
  State& state = next->state;
  const Message& body = requests_[event.request].body;
  const auto machine = machineOf(state, requests_[event.request].store);
  if (!machine) return false;
  const ReplicaStep& replicaStep = handle(state.machines[*machine], event.request);
  const bool isAnswerAwaited = replicaStep.answer && isAwaited(state, body);
  state.machines[*machine] = replicaStep.machine;
  if (event.kind == Event::Kind::Duplicate) {
    --state.budgets.duplicates;
  } else {
    state.requests.erase(std::find(state.requests.begin(), state.requests.end(), event.request));
  }
  if (event.kind == Event::Kind::DeliverAnswerLost) {
    --state.budgets.lostAnswers;
    return isAnswerAwaited;
  }
  if (!isAnswerAwaited) return true;
  Event delivery = event;
  delivery.kind = Event::Kind::Deliver;
  delivery.actor = daemonOf(state, proposerIdOf(operationOf(body))).first;
  applyDaemon(delivery, *replicaStep.answer, next);
  return true;
}

void World::applyMachine(const Event& event, Successor* next) {
  State& state = next->state;
  PartId& id = state.machines[event.actor];
  if (event.kind == Event::Kind::Restart) {
    --state.budgets.restarts;
    id = restarted(id);
    return;
  }
  Machine machine = machines_[id];
  if (event.kind == Event::Kind::RestartEmpty) {
    --state.budgets.emptied;
    machine.restartEmpty(emptiedStoreOf(event.actor));
  } else {
    --state.budgets.learns;
    machine.adopt(newestSet(state));
  }
  id = machines_.idOf(std::move(machine));
}

void World::applyDaemon(const Event& event, std::uint32_t argument, Successor* next) {
  State& state = next->state;
  if (event.kind == Event::Kind::PhaseTimeout) --state.budgets.phases;
  if (event.kind == Event::Kind::OperationTimeout) --state.budgets.deadlines;
  if (event.kind == Event::Kind::DaemonCrash) --state.budgets.daemonDeaths;
  if (event.kind == Event::Kind::DaemonLearns) --state.budgets.learns;
  PartId& daemon = event.actor < kMaxCallers ? state.callers[event.actor]
                                             : state.reconfigurers[event.actor - kMaxCallers];
  const DaemonStep& daemonStep = stepDaemon(event, daemon, argument, histories_[state.history]);
  daemon = daemonStep.daemon;
  state.requests.insert(state.requests.end(), daemonStep.requests.begin(),
                        daemonStep.requests.end());
  std::sort(state.requests.begin(), state.requests.end());
  state.requests.erase(std::unique(state.requests.begin(), state.requests.end()),
                       state.requests.end());
  if (daemonStep.observations.empty()) return;
  History history = histories_[state.history];
  for (const Observation& observation : daemonStep.observations) {
    next->violation = history.observe(observation, configuration_->changes);
    if (!next->violation.empty()) break;
  }
  state.history = histories_.idOf(std::move(history));
}

std::optional<std::size_t> World::machineOf(const State& state, StoreId store) const {
  for (std::size_t i = 0; i < configuration_->machines; ++i) {
    if (machines_[state.machines[i]].replica().store() == store) return i;
  }
  return std::nullopt;
}

std::pair<std::uint8_t, const TimedProposer*> World::daemonOf(const State& state,
                                                              std::uint64_t proposer) const {
  for (std::size_t i = 0; i < configuration_->calls.size(); ++i) {
    if (const auto* found = callers_[state.callers[i]].proposer(proposer))
      return {static_cast<std::uint8_t>(i), found};
  }
  for (std::size_t i = 0; i < configuration_->reconfigurers; ++i) {
    if (const auto* found = reconfigurers_[state.reconfigurers[i]].proposer(proposer))
      return {static_cast<std::uint8_t>(kMaxCallers + i), found};
  }
  return {0, nullptr};
}

bool World::isAwaited(const State& state, const Message& request) const {
  const auto* proposer = daemonOf(state, proposerIdOf(operationOf(request))).second;
  return proposer &&
         proposer->isAwaiting(ballotOf(request), std::holds_alternative<Accept>(request));
}

void World::pruneRequests(State* state) {
  std::erase_if(state->requests, [&](PartId request) { return isRedundant(*state, request); });
}

// An Accept that does not change the replica now never will: either it was rejected, and promises
// and epochs only rise, or it was accepted before. The replica as it would be after a restart is
// tried too, since an injected defect may have kept a promise off the disk.
bool World::isRedundant(const State& state, PartId request) {
  const auto machine = machineOf(state, requests_[request].store);
  if (!machine) return true;
  if (isAwaited(state, requests_[request].body)) return false;
  if (std::holds_alternative<Prepare>(requests_[request].body)) return true;
  const PartId present = state.machines[*machine];
  const PartId afterRestart = restarted(present);
  return handle(present, request).machine == present &&
         handle(afterRestart, request).machine == afterRestart;
}

const World::ReplicaStep& World::handle(PartId machine, PartId request) {
  const std::uint64_t key = (std::uint64_t{machine} << 32) | request;
  const auto found = replicaSteps_.find(key);
  if (found != replicaSteps_.end()) return found->second;
  Machine changed = machines_[machine];
  const auto answer = changed.handle(requests_[request].body);
  ReplicaStep replicaStep;
  replicaStep.machine = machines_.idOf(std::move(changed));
  if (answer) replicaStep.answer = answers_.idOf({*answer});
  return replicaSteps_[key] = replicaStep;
}

PartId World::restarted(PartId machine) {
  const auto found = restarted_.find(machine);
  if (found != restarted_.end()) return found->second;
  Machine changed = machines_[machine];
  if (!changed.restart())
    throw std::logic_error("model check: a replica can't restore the rows that it wrote");
  return restarted_[machine] = machines_.idOf(std::move(changed));
}

const std::string& World::findViolationIn(const State& state) {
  std::string key;
  for (const PartId id : state.machines) key += std::to_string(id) + ' ';
  key += std::to_string(state.history);
  const auto found = violations_.find(key);
  if (found != violations_.end()) return found->second;
  std::vector<const Machine*> machines;
  for (std::size_t i = 0; i < configuration_->machines; ++i)
    machines.push_back(&machines_[state.machines[i]]);
  return violations_[key] =
             findViolation(machines, histories_[state.history], configuration_->changes);
}

std::size_t World::partCount() const {
  return machines_.size() + callers_.size() + reconfigurers_.size() + histories_.size() +
         requests_.size() + answers_.size();
}

}  // namespace quayrill::model
