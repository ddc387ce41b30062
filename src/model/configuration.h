#pragma once
// The system that one model check explores: its machines, the operators' calls, the changes of the
// replica set, and how many faults of each kind may occur.
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/operator_changes.h"

namespace quayrill::model {

inline constexpr std::size_t kMaxMachines = 4;
inline constexpr std::size_t kMaxCallers = 3;

// A change of the replica set: a machine joins with the store that it has at that time, or its
// first store leaves.
struct MembershipStep {
  enum class Kind { Join, Leave };
  Kind kind = Kind::Join;
  std::size_t machine = 0;
};

// How often each fault may occur on one schedule. A lost request needs no budget: it is a request
// that is never delivered.
struct FaultBudgets {
  std::uint8_t lostAnswers = 0;
  std::uint8_t duplicates = 0;    // a request is delivered a second time
  std::uint8_t phases = 0;        // a phase of a round times out and the next round begins
  std::uint8_t deadlines = 0;     // the deadline of an operation passes
  std::uint8_t daemonDeaths = 0;  // a daemon ends, and its operator gets no answer
  std::uint8_t restarts = 0;      // a replica's process restarts with its disk
  std::uint8_t emptied = 0;       // a replica's machine restarts with an empty disk
  std::uint8_t learns = 0;        // a replica or daemon learns a newer replica set from elsewhere
};

// Defects injected around the production classes. The model check must detect each of them.
enum class Defect {
  None,
  UnsyncedPromise,  // a replica answers a Prepare without writing its promise to the disk
  UnsettledEpoch,   // a replica set is replaced by the next before it is settled
  MinorityRead,     // a read asks a single replica
  ResendAsNew,      // a change that was applied before is treated as a new one
};

// The initial state, the possible steps and the fault budgets of one model.
struct Configuration {
  std::string name;
  std::string description;
  std::size_t members = 3;   // machines 0 to members - 1 form the first replica set
  std::size_t machines = 3;  // the others may join later
  std::vector<OperatorChange> changes;
  // For each caller the indices of the changes that it submits, one after another. A change that
  // occurs several times is sent again, by the same daemon or by another.
  std::vector<std::vector<std::size_t>> calls;
  std::size_t reconfigurers = 0;  // daemons that change the replica set
  // The steps that lead from epoch n + 1 to epoch n + 2 are at index n; any of them may be taken.
  std::vector<std::vector<MembershipStep>> steps;
  FaultBudgets budgets;
  Defect defect = Defect::None;
};

// The named configurations. Each is small enough to be explored exhaustively.
const std::vector<Configuration>& configurations();
// Lookups by the names used on the command line; empty if there is none of that name.
std::optional<Configuration> configurationByName(const std::string& name);
std::optional<Defect> defectByName(const std::string& name);

}  // namespace quayrill::model
