// The effects of events on the model's daemons.
#include <algorithm>

#include "model/world.h"

namespace quayrill::model {

namespace {
// The fields of a reconfigurer's argument: whether keys were listed and the configuration's key is
// among them, the chosen membership step, and the store that its machine has now.
constexpr std::uint32_t kKeysListed = 1, kConfigurationListed = 2;
constexpr unsigned kChoiceShift = 4, kStoreShift = 8;
}  // namespace

const World::DaemonStep& World::stepDaemon(const Event& event, PartId daemon,
                                           std::uint32_t argument, const History& history) {
  const bool isCaller = event.actor < kMaxCallers;
  const std::uint32_t eventCode =
      static_cast<std::uint32_t>(event.kind) * 16 + event.choice * 2u + (isCaller ? 1u : 0u);
  const StepKey key{eventCode, daemon, argument, history.acknowledged()};
  const auto found = daemonSteps_.find(key);
  if (found != daemonSteps_.end()) return found->second;
  DaemonStep daemonStep;
  StepEffects effects;
  if (isCaller) {
    Caller caller = callers_[daemon];
    stepCaller(event, argument, history, &caller, &effects);
    daemonStep.daemon = callers_.idOf(std::move(caller));
  } else {
    Reconfigurer reconfigurer = reconfigurers_[daemon];
    stepReconfigurer(event, argument, history, &reconfigurer, &effects);
    daemonStep.daemon = reconfigurers_.idOf(std::move(reconfigurer));
  }
  for (auto& [member, message] : effects.sends)
    daemonStep.requests.push_back(requests_.idOf({member.store, std::move(message)}));
  daemonStep.observations = std::move(effects.observations);
  return daemonSteps_[key] = std::move(daemonStep);
}

void World::stepCaller(const Event& event, std::uint32_t argument, const History& history,
                       Caller* caller, StepEffects* effects) const {
  const ChangeSet acknowledged = history.acknowledged();
  switch (event.kind) {
    case Event::Kind::Deliver:
      return caller->answer(answers_[argument].body, acknowledged, effects);
    case Event::Kind::Start:
      return caller->start(acknowledged, effects);
    case Event::Kind::PhaseTimeout:
      return caller->expirePhase(acknowledged, effects);
    case Event::Kind::OperationTimeout:
      return caller->expireDeadline(acknowledged, effects);
    case Event::Kind::DaemonCrash:
      return caller->crash();
    case Event::Kind::DaemonLearns:
      return caller->learn(history.replicaSets().back());
    default:
      throw std::logic_error("model check: not an event of a caller");
  }
}

void World::stepReconfigurer(const Event& event, std::uint32_t argument, const History& history,
                             Reconfigurer* reconfigurer, StepEffects* effects) const {
  switch (event.kind) {
    case Event::Kind::Deliver:
      return reconfigurer->answer(answers_[argument].body, effects);
    case Event::Kind::ReconfigurerSteps: {
      std::optional<std::vector<RegisterKey>> listed;
      if ((argument & kKeysListed) != 0) listed.emplace({kReplicaSetKey});
      if ((argument & kConfigurationListed) != 0) listed->push_back(kConfigurationKey);
      return reconfigurer->step(listed, nextReplicaSet(reconfigurer->replicas(), argument),
                                effects);
    }
    case Event::Kind::PhaseTimeout:
      return reconfigurer->expirePhase(event.choice, effects);
    case Event::Kind::OperationTimeout:
      return reconfigurer->expireDeadline(event.choice, effects);
    case Event::Kind::DaemonCrash:
      return reconfigurer->crash();
    case Event::Kind::DaemonLearns:
      return reconfigurer->learn(history.replicaSets().back());
    default:
      throw std::logic_error("model check: not an event of a reconfigurer");
  }
}

std::uint32_t World::reconfigurerArgument(const State& state, const Event& event) const {
  std::uint32_t argument = static_cast<std::uint32_t>(event.choice) << kChoiceShift;
  const ReplicaSet& replicas =
      reconfigurers_[state.reconfigurers[event.actor - kMaxCallers]].replicas();
  const std::size_t index = replicas.epoch.value - 1;
  if (index < configuration_->steps.size()) {
    const auto& options = configuration_->steps[index];
    const MembershipStep& step = options[event.choice < options.size() ? event.choice : 0];
    const StoreId store = machines_[state.machines[step.machine]].replica().store();
    argument |= static_cast<std::uint32_t>(store.value) << kStoreShift;
  }
  if (event.quorum == 0) return argument;
  argument |= kKeysListed;
  for (std::size_t i = 0; i < configuration_->machines; ++i) {
    if (((event.quorum >> i) & 1) == 0) continue;
    const auto keys = machines_[state.machines[i]].keys();
    if (std::find(keys.begin(), keys.end(), kConfigurationKey) != keys.end())
      argument |= kConfigurationListed;
  }
  return argument;
}

std::optional<ReplicaSet> World::nextReplicaSet(const ReplicaSet& replicas,
                                                std::uint32_t argument) const {
  const std::size_t index = replicas.epoch.value - 1;
  if (index >= configuration_->steps.size()) return std::nullopt;
  const auto& options = configuration_->steps[index];
  const std::uint32_t choice = (argument >> kChoiceShift) & 0xf;
  if (choice >= options.size()) return std::nullopt;
  const MembershipStep& step = options[choice];
  const Address address{"m" + std::to_string(step.machine + 1)};
  ReplicaSet next = replicas;
  next.epoch = Epoch{replicas.epoch.value + 1};
  next.settled = false;
  if (step.kind == MembershipStep::Kind::Join) {
    const ReplicaMember joining{StoreId{argument >> kStoreShift}, address};
    if (std::find(next.members.begin(), next.members.end(), joining) != next.members.end())
      return std::nullopt;
    next.members.push_back(joining);
    std::sort(next.members.begin(), next.members.end());
    return next;
  }
  const auto leaving = std::find_if(
      next.members.begin(), next.members.end(),
      [&](const ReplicaMember& member) { return member.store == StoreId{step.machine + 1}; });
  if (leaving == next.members.end()) return std::nullopt;
  next.members.erase(leaving);
  return next;
}

}  // namespace quayrill::model
