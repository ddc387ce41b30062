// The checkers of the simulated world. They judge by what was acknowledged and what is in force,
// never by what a daemon believes of itself.
#include <algorithm>

#include "sim/world.h"

namespace quayrill::sim {

using namespace std::chrono_literals;

void World::checkMachine(std::size_t index) {
  Machine& machine = machines_[index];
  if (!machine.core) return;
  const Freshness& freshness = machine.core->freshness();
  const RegisterValue& configuration = freshness.configuration().value;
  if (configuration.version > 0) {
    const auto [row, fresh] =
        writeByVersion_.try_emplace(configuration.version, configuration.writeId);
    if (row->second != configuration.writeId)
      recordViolation("two configurations in force under one version");
  }
  if (configuration.version < machine.highestConfiguration)
    recordViolation("a configuration in force slipped back");
  machine.highestConfiguration = std::max(machine.highestConfiguration, configuration.version);
  const auto confirmed = freshness.confirmedAt();
  if (!confirmed && !settings_.injectStaleConfirm) return;
  const Instant confirmedAt =
      settings_.injectStaleConfirm
          ? now_
          : Instant((*confirmed - machine.clockOffset).time_since_epoch() / machine.clockRate);
  for (auto change = acknowledged_.rbegin(); change != acknowledged_.rend(); ++change) {
    if (change->first >= confirmedAt) continue;
    if (configuration.version < change->second)
      recordViolation("machine " + std::to_string(index) + " vouches for configuration " +
                      std::to_string(configuration.version) + " though " +
                      std::to_string(change->second) + " was acknowledged before it asked");
    break;
  }
}

void World::checkLeases() {
  for (const std::string& role : leaderRoles_) {
    std::size_t holders = 0;
    for (std::size_t i = 0; i < machines_.size(); ++i) {
      Machine& machine = machines_[i];
      if (!machine.core) continue;
      // A frozen machine's hold is judged by its own clock: it could act the moment it wakes.
      const auto fence =
          machine.core->held(RegisterKey{"hold/" + role}, Span{}, localTime(machine));
      if (!fence) continue;
      ++holders;
      ++counters_.leaseObservations;
      auto& [highest, holder] = highestFence_[role];
      if (fence->value < highest || (fence->value == highest && holder != i))
        recordViolation("fence of " + role + " did not rise with its holder");
      highest = fence->value;
      holder = i;
    }
    if (holders > 1) recordViolation("two daemons hold " + role);
  }
}

// The register is a chain of versions, each written once. Against that chain: an acknowledged
// change must be the writer of its version, a turned-away one must write none, and nothing that
// began after an acknowledgement may end with an older version.
void World::checkHistory() {
  std::map<std::uint64_t, WriteId> chain = writeByVersion_;
  for (const RecordedOperation& asked : operations_) {
    if (!asked.done || asked.done->result != ChangeResult::Chosen) continue;
    const RegisterValue& value = asked.done->value;
    if (value.version == 0) continue;
    const auto [row, fresh] = chain.try_emplace(value.version, value.writeId);
    if (row->second != value.writeId)
      recordViolation("two changes were acknowledged as one version");
    for (std::size_t i = 0; i < value.priorWrites.size(); ++i) {
      if (value.priorWrites[i].value == 0 || value.version < i + 2) break;
      const auto [older, unseen] = chain.try_emplace(value.version - i - 1, value.priorWrites[i]);
      if (older->second != value.priorWrites[i])
        recordViolation("a version's history was rewritten");
    }
  }
  std::set<std::uint64_t> written;
  for (const auto& [version, write] : chain) written.insert(write.value);
  std::vector<std::pair<Instant, std::uint64_t>> floors;
  for (const RecordedOperation& asked : operations_) {
    if (!asked.done) continue;
    const bool took = written.contains(asked.change.writeId.value);
    const auto result = asked.done->result;
    if (!asked.change.isRead) {
      if (result == ChangeResult::Chosen && !took)
        recordViolation("an acknowledged change wrote no version");
      if ((result == ChangeResult::Conflict || result == ChangeResult::NotTried) && took)
        recordViolation("a turned-away change took effect");
    }
    if (result == ChangeResult::Chosen)
      floors.emplace_back(*asked.completedAt, asked.done->value.version);
  }
  std::sort(floors.begin(), floors.end());
  std::uint64_t highest = 0;
  for (auto& [at, version] : floors) version = highest = std::max(highest, version);
  for (const RecordedOperation& asked : operations_) {
    if (!asked.done || asked.done->result != ChangeResult::Chosen) continue;
    const auto after = std::lower_bound(floors.begin(), floors.end(),
                                        std::make_pair(asked.startedAt, std::uint64_t{0}));
    if (after == floors.begin()) continue;
    if (asked.done->value.version < std::prev(after)->second)
      recordViolation("a result is older than what was acknowledged before it was asked");
  }
}

}  // namespace quayrill::sim
