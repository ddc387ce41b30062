// Descriptions of transitions, for printed schedules.
#include <algorithm>

#include "model/world.h"

namespace quayrill::model {

namespace {
std::string describeBallot(const Ballot& ballot) {
  return "(" + std::to_string(ballot.epoch.value) + "," + std::to_string(ballot.round) + "," +
         std::to_string(ballot.proposer.value) + ")";
}

std::string daemonName(std::uint8_t actor) {
  if (actor < kMaxCallers) return "caller " + std::to_string(actor + 1);
  return "mover " + std::to_string(actor - kMaxCallers + 1);
}

std::string machineName(std::size_t index) { return "replica " + std::to_string(index + 1); }

std::string describeReplicaSet(const ReplicaSet& replicas) {
  std::string text = "epoch " + std::to_string(replicas.epoch.value) + " {";
  for (const ReplicaMember& member : replicas.members)
    text += (text.back() == '{' ? "" : " ") + std::to_string(member.store.value);
  return text + (replicas.settled ? "} settled" : "}");
}

// The names of the changes in a set, separated by blanks.
std::string changeNames(ChangeSet set, const std::vector<OperatorChange>& changes) {
  std::string text;
  for (std::size_t i = 0; i < changes.size(); ++i) {
    if ((set & bitOf(i)) != 0) text += (text.empty() ? "" : " ") + changes[i].name;
  }
  return text.empty() ? "none" : text;
}
}  // namespace

std::string World::describeRequest(PartId id) const {
  const Request& request = requests_[id];
  const std::string store = " to store " + std::to_string(request.store.value);
  if (const auto* prepare = std::get_if<Prepare>(&request.body))
    return "Prepare " + describeBallot(prepare->ballot) + " '" + prepare->key.value + "'" + store;
  const auto& accept = std::get<Accept>(request.body);
  std::string text = "Accept " + describeBallot(accept.ballot) + " '" + accept.key.value +
                     "' version " + std::to_string(accept.value.version);
  ReplicaSet replicas;
  if (accept.key == kConfigurationKey)
    text += " with " + changeNames(changesIn(accept.value.body, configuration_->changes),
                                   configuration_->changes);
  else if (decodeValue(accept.value.body, &replicas))
    text += " " + describeReplicaSet(replicas);
  return text + store;
}

std::string World::describeChanges(const State& before, const State& after) const {
  const History& oldHistory = histories_[before.history];
  const History& newHistory = histories_[after.history];
  std::string text;
  if (newHistory.acknowledged() != oldHistory.acknowledged())
    text +=
        "; acknowledged now: " + changeNames(newHistory.acknowledged(), configuration_->changes);
  if (newHistory.refused() != oldHistory.refused())
    text += "; refused now: " + changeNames(newHistory.refused(), configuration_->changes);
  if (newHistory.replicaSets() != oldHistory.replicaSets())
    text += "; known as chosen now: " + describeReplicaSet(newHistory.replicaSets().back());
  std::vector<PartId> sent;
  std::set_difference(after.requests.begin(), after.requests.end(), before.requests.begin(),
                      before.requests.end(), std::back_inserter(sent));
  for (const PartId request : sent) text += "\n      sends " + describeRequest(request);
  return text;
}

std::string World::describe(const State& before, const Event& event, const State& after) const {
  std::string text;
  switch (event.kind) {
    case Event::Kind::Deliver:
      text = "delivered: " + describeRequest(event.request);
      break;
    case Event::Kind::DeliverAnswerLost:
      text = "delivered, its answer lost: " + describeRequest(event.request);
      break;
    case Event::Kind::Duplicate:
      text = "delivered, and a duplicate stays under way: " + describeRequest(event.request);
      break;
    case Event::Kind::Start: {
      const auto change = callers_[before.callers[event.actor]].nextChange();
      text = daemonName(event.actor) + " is sent order " + configuration_->changes[*change].name;
      break;
    }
    case Event::Kind::PhaseTimeout:
      text = daemonName(event.actor) + ": the round's time passes";
      break;
    case Event::Kind::OperationTimeout:
      text = daemonName(event.actor) + ": the operation's time passes";
      break;
    case Event::Kind::DaemonCrash:
      text = daemonName(event.actor) + " ends, another daemon takes its place";
      break;
    case Event::Kind::ReconfigurerSteps:
      text = daemonName(event.actor) + " takes the replica set's next step";
      break;
    case Event::Kind::Restart:
      text = machineName(event.actor) + " restarts on its disk";
      break;
    case Event::Kind::RestartEmpty:
      text = machineName(event.actor) + " comes back with an empty disk";
      break;
    case Event::Kind::ReplicaLearns:
      text = machineName(event.actor) + " hears of the newest set";
      break;
    case Event::Kind::DaemonLearns:
      text = daemonName(event.actor) + " hears of the newest set";
      break;
  }
  return text + describeChanges(before, after);
}

}  // namespace quayrill::model
