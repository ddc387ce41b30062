#pragma once
// What one model check explores: the machines, the operators' calls, the changes of the replica set
// and how many faults of each kind may come.
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/operator_changes.h"

namespace quayrill::model {

inline constexpr std::size_t kMaxMachines = 4;
inline constexpr std::size_t kMaxCallers = 3;

// A machine joins the set with the store that it has then, or its first store leaves the set.
struct MembershipStep {
  enum class Kind { Join, Leave };
  Kind kind = Kind::Join;
  std::size_t machine = 0;
};

// How often each fault may come on one schedule. A request that is lost costs nothing: it is one
// that is never delivered.
struct FaultBudgets {
  std::uint8_t lostAnswers = 0;
  std::uint8_t duplicates = 0;    // a request that is delivered once more
  std::uint8_t phases = 0;        // a round's time passes and the next round begins
  std::uint8_t deadlines = 0;     // an operation's time passes
  std::uint8_t daemonDeaths = 0;  // a proposer ends; its caller hears nothing
  std::uint8_t restarts = 0;      // a replica's process ends and comes back with its disk
  std::uint8_t emptied = 0;       // a replica's machine comes back with an empty disk
  std::uint8_t learns = 0;        // a replica or proposer hears of a newer set from elsewhere
};

// Errors built into the harness around the product's classes, each of which the check must find.
enum class Defect {
  None,
  UnsyncedPromise,  // a promise is answered but not on the disk
  UnsettledEpoch,   // a set that is not settled is followed by the next
  MinorityRead,     // a read asks one replica only
  ResendAsNew,      // a taken change that comes again is judged as a new one
};

struct Configuration {
  std::string name;
  std::string description;
  std::size_t members = 3;   // machines 0 to members - 1 are the first set
  std::size_t machines = 3;  // the rest wait to join
  std::vector<OperatorChange> changes;
  // For each caller the orders that it sends, one after the other's end. An order that stands in
  // several places is sent again, by the same daemon or by another.
  std::vector<std::vector<std::size_t>> calls;
  std::size_t reconfigurers = 0;  // daemons that take the replica set's steps
  // The steps from epoch n + 1 to n + 2 that may be chosen at index n.
  std::vector<std::vector<MembershipStep>> steps;
  FaultBudgets budgets;
  Defect defect = Defect::None;
};

// The named configurations, small enough to be exhausted.
const std::vector<Configuration>& configurations();
std::optional<Configuration> configurationByName(const std::string& name);
std::optional<Defect> defectByName(const std::string& name);

}  // namespace quayrill::model
