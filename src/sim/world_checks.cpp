// The invariant checkers of the simulated world. They compare what daemons act on with the
// operations that were acknowledged, and trust no daemon's view of its own state.
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
    const auto [row, isNew] =
        writeByVersion_.try_emplace(configuration.version, configuration.writeId);
    if (row->second != configuration.writeId)
      recordViolation("two configurations in force under one version");
  }
  if (configuration.version < machine.highestConfiguration)
    recordViolation("a configuration in force slipped back");
  machine.highestConfiguration = std::max(machine.highestConfiguration, configuration.version);
  const auto confirmedLocal = freshness.confirmedAt();
  if (!confirmedLocal && !settings_.injectStaleConfirm) return;
  const Instant confirmedAt =
      settings_.injectStaleConfirm
          ? now_
          : Instant((*confirmedLocal - machine.clockOffset).time_since_epoch() / machine.clockRate);
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
      // The lease of a frozen machine is checked by its own clock: the daemon could act on it as
      // soon as it resumes.
      const auto fence =
          machine.core->heldFence(RegisterKey{"hold/" + role}, Duration{}, localTime(machine));
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

// The register's history is a chain of versions, each written by one write. An acknowledged change
// must have written its version, a rejected change must not have written any, and an operation that
// started after another was acknowledged must not return an older version.
void World::checkHistory() {
  std::map<std::uint64_t, WriteId> chain = writeByVersion_;
  for (const RecordedOperation& operation : operations_) {
    if (!operation.done || operation.done->result != ChangeResult::Chosen) continue;
    const RegisterValue& value = operation.done->value;
    if (value.version == 0) continue;
    const auto [row, isNew] = chain.try_emplace(value.version, value.writeId);
    if (row->second != value.writeId)
      recordViolation("two changes were acknowledged as one version");
    for (std::size_t i = 0; i < value.priorWrites.size(); ++i) {
      if (value.priorWrites[i].value == 0 || value.version < i + 2) break;
      const auto [older, isNewOlder] =
          chain.try_emplace(value.version - i - 1, value.priorWrites[i]);
      if (older->second != value.priorWrites[i])
        recordViolation("a version's history was rewritten");
    }
  }
  std::set<std::uint64_t> written;
  for (const auto& [version, write] : chain) written.insert(write.value);
  // (completion time, highest version acknowledged by then)
  std::vector<std::pair<Instant, std::uint64_t>> minimumVersions;
  for (const RecordedOperation& operation : operations_) {
    if (!operation.done) continue;
    const bool tookEffect = written.contains(operation.change.writeId.value);
    const auto result = operation.done->result;
    if (!operation.change.isRead) {
      if (result == ChangeResult::Chosen && !tookEffect)
        recordViolation("an acknowledged change wrote no version");
      if ((result == ChangeResult::Conflict || result == ChangeResult::NotTried) && tookEffect)
        recordViolation("a turned-away change took effect");
    }
    if (result == ChangeResult::Chosen)
      minimumVersions.emplace_back(*operation.completedAt, operation.done->value.version);
  }
  std::sort(minimumVersions.begin(), minimumVersions.end());
  std::uint64_t highest = 0;
  for (auto& [completedAt, version] : minimumVersions)
    version = highest = std::max(highest, version);
  for (const RecordedOperation& operation : operations_) {
    if (!operation.done || operation.done->result != ChangeResult::Chosen) continue;
    const auto after = std::lower_bound(minimumVersions.begin(), minimumVersions.end(),
                                        std::make_pair(operation.startedAt, std::uint64_t{0}));
    if (after == minimumVersions.begin()) continue;
    if (operation.done->value.version < std::prev(after)->second)
      recordViolation("a result is older than what was acknowledged before it was asked");
  }
}

}  // namespace quayrill::sim
