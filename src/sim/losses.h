#pragma once
// Losses queued as closely as the losses to bear allow, while operators change the configuration:
// every acknowledged change must survive, and changes be taken again soon.
#include <map>
#include <vector>

#include "sim/world.h"

namespace quayrill::sim {

enum class LossKind {
  Killed,     // for good; an empty machine at another address starts 1 s later
  Wiped,      // its disk is emptied; it is back soon at its address
  PowerOff,   // back after some seconds with what it had synced
  Restarted,  // killed, and back within a second with its disk
  CutOff,     // from all others, one way or both, for 5.5 s
  Frozen,     // for some seconds
  Replaced,   // planned: an empty machine starts, then this one is told to end, for good
};
inline constexpr LossKind kAllLossKinds[] = {
    LossKind::Killed, LossKind::Wiped,  LossKind::PowerOff, LossKind::Restarted,
    LossKind::CutOff, LossKind::Frozen, LossKind::Replaced};
const char* nameOf(LossKind kind);

struct LossesSettings {
  std::uint64_t seed = 1;
  std::size_t diskMachines = 4;
  std::size_t tolerate = 1;
  Span catchUpSpan = std::chrono::seconds(4);
  std::size_t losses = 5;
  std::vector<LossKind> kinds{};  // to draw from; empty: all
};

struct LossOutcome {
  LossKind kind{};
  // From the loss until the replica set is settled and of the wanted number, all of them in touch.
  // Of one replaced as planned: from when it was told to end until such a set stands without it.
  // Nothing where that took until after the next loss.
  std::optional<Span> repairedAfter;
  // From that same moment until the next loss might come.
  Span nextLossAllowedAfter{};
  std::uint64_t epochs = 0;  // steps of the replica set until the next loss
};

struct LossesResult {
  bool founded = false;
  std::vector<LossOutcome> seen;
  std::size_t acknowledged = 0;
  Span longestGap{};  // between two acknowledged changes
  bool majorityAtEnd = false;
  bool newestChangeKept =
      false;  // a read at the end finds the newest acknowledged change or a later one
  std::vector<Violation> violations;
};
LossesResult runLosses(const LossesSettings& settings);

}  // namespace quayrill::sim
