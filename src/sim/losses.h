#pragma once
// A simulated run that injects machine losses as densely as the configured tolerance permits, while
// an operator changes the configuration. Every acknowledged change must survive, and the register
// must accept changes again soon after each loss.
#include <map>
#include <vector>

#include "sim/world.h"

namespace quayrill::sim {

// How a machine with a disk is lost.
enum class LossKind {
  Killed,     // permanently; an empty machine at another address starts 1 s later
  Wiped,      // its disk is wiped; it restarts soon at the same address
  PowerOff,   // restarts after a few seconds with its synced data
  Restarted,  // the process ends and restarts within a second with its disk
  CutOff,     // isolated from all other machines, in one or both directions, for 5.5 s
  Frozen,     // paused for a few seconds
  Replaced,   // planned: an empty machine joins, then this one leaves permanently
};
inline constexpr LossKind kAllLossKinds[] = {
    LossKind::Killed, LossKind::Wiped,  LossKind::PowerOff, LossKind::Restarted,
    LossKind::CutOff, LossKind::Frozen, LossKind::Replaced};
const char* nameOf(LossKind kind);

// Parameters of one run.
struct LossesSettings {
  std::uint64_t seed = 1;
  std::size_t diskMachines = 4;
  std::size_t tolerate = 1;  // simultaneous losses that the fleet must survive
  Duration catchUpSpan = std::chrono::seconds(4);  // from a machine's return until its loss is over
  std::size_t losses = 5;                          // total of the run
  std::vector<LossKind> kinds{};                   // to draw from; empty: all
};

// How the replica set recovered from one loss.
struct LossOutcome {
  LossKind kind{};
  // From the loss until the replica set is settled, has the wanted size and all its members are
  // reachable. For a planned replacement: from the announcement of the end until such a set exists
  // without the old machine. Empty if the next loss was permitted before.
  std::optional<Duration> repairedAfter;
  // From the same start until the next loss was permitted.
  Duration nextLossAllowedAfter{};
  std::uint64_t epochs = 0;  // changes of the replica set until the next loss was permitted
};

// What one run observed.
struct LossesResult {
  bool founded = false;
  std::vector<LossOutcome> outcomes;  // in order of the losses
  std::size_t acknowledged = 0;       // changes
  Duration longestGap{};              // between two acknowledged changes
  bool majorityAtEnd = false;         // a read at the end succeeded
  bool newestChangeKept = false;  // that read found the newest acknowledged version or a later one
  std::vector<Violation> violations;
};

// Founds a fleet, injects the losses and checks the recorded history.
LossesResult runLosses(const LossesSettings& settings);

}  // namespace quayrill::sim
