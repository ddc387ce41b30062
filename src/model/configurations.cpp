// The named configurations of the model check.
#include <algorithm>

#include "model/configuration.h"

namespace quayrill::model {

namespace {
using Step = MembershipStep;

MembershipStep join(std::size_t machine) { return {Step::Kind::Join, machine}; }
MembershipStep leave(std::size_t machine) { return {Step::Kind::Leave, machine}; }

Configuration raceConfiguration() {
  Configuration race;
  race.name = "race";
  race.description = "3 replicas, two operators change the same number, faults of the network";
  race.changes = {{"a", 0}, {"b", 0}};
  race.calls = {{0}, {1}};
  race.budgets.lostAnswers = 1;
  race.budgets.phases = 1;
  race.budgets.duplicates = 1;
  return race;
}

Configuration crashConfiguration() {
  Configuration crash = raceConfiguration();
  crash.name = "crash";
  crash.description = "as race, with a replica that restarts on its disk in place of a duplicate";
  crash.budgets.duplicates = 0;
  crash.budgets.restarts = 1;
  return crash;
}

Configuration resendConfiguration() {
  Configuration resend;
  resend.name = "resend";
  resend.description =
      "3 replicas, three changes of two operators, one sent again by another daemon";
  resend.changes = {{"a", 0}, {"b", 0}, {"c", 1}};
  resend.calls = {{0, 2}, {1, 0}};
  resend.budgets.lostAnswers = 1;
  resend.budgets.deadlines = 1;
  resend.budgets.daemonDeaths = 1;
  return resend;
}

Configuration joinConfiguration() {
  Configuration joining;
  joining.name = "join";
  joining.description = "3 replicas and one that joins, a change meanwhile";
  joining.machines = 4;
  joining.changes = {{"a", 0}};
  joining.calls = {{0}};
  joining.reconfigurers = 1;
  joining.steps = {{join(3)}};
  joining.budgets.phases = 1;
  return joining;
}

Configuration leaveConfiguration() {
  Configuration leaving = joinConfiguration();
  leaving.name = "leave";
  leaving.description = "4 replicas and one that leaves, a change meanwhile";
  leaving.members = 4;
  leaving.steps = {{leave(3)}};
  return leaving;
}

Configuration replaceConfiguration() {
  Configuration replacing = joinConfiguration();
  replacing.name = "replace";
  replacing.description =
      "3 replicas, the fourth joins and then the first leaves, a change meanwhile";
  replacing.steps = {{join(3)}, {leave(0)}};
  replacing.budgets.phases = 0;
  return replacing;
}

Configuration emptiedConfiguration() {
  Configuration emptied = joinConfiguration();
  emptied.name = "emptied";
  emptied.description = "3 replicas, one is emptied, joins as a new store, the lost one leaves";
  emptied.machines = 3;
  emptied.steps = {{join(0)}, {leave(0)}};
  emptied.budgets.phases = 0;
  emptied.budgets.emptied = 1;
  return emptied;
}

Configuration rivalsConfiguration() {
  Configuration rivals = joinConfiguration();
  rivals.name = "rivals";
  rivals.description = "4 replicas, two daemons take different next steps of the set, no change";
  rivals.members = 4;
  rivals.changes = {};
  rivals.calls = {};
  rivals.reconfigurers = 2;
  rivals.steps = {{leave(3), leave(2)}};
  return rivals;
}
}  // namespace

const std::vector<Configuration>& configurations() {
  static const std::vector<Configuration> kAll{
      raceConfiguration(),  crashConfiguration(),   resendConfiguration(),  joinConfiguration(),
      leaveConfiguration(), replaceConfiguration(), emptiedConfiguration(), rivalsConfiguration()};
  return kAll;
}

std::optional<Configuration> configurationByName(const std::string& name) {
  const auto& all = configurations();
  const auto found = std::find_if(all.begin(), all.end(), [&](const Configuration& configuration) {
    return configuration.name == name;
  });
  if (found == all.end()) return std::nullopt;
  return *found;
}

std::optional<Defect> defectByName(const std::string& name) {
  if (name == "none") return Defect::None;
  if (name == "unsynced-promise") return Defect::UnsyncedPromise;
  if (name == "unsettled-epoch") return Defect::UnsettledEpoch;
  if (name == "minority-read") return Defect::MinorityRead;
  if (name == "resend-as-new") return Defect::ResendAsNew;
  return std::nullopt;
}

}  // namespace quayrill::model
