#pragma once
// One state of the model, as numbers of interned parts, and the events that lead out of it.
#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "model/configuration.h"

namespace quayrill::model {

using PartId = std::uint32_t;

inline constexpr std::size_t kMaxReconfigurers = 2;

struct State {
  std::array<PartId, kMaxMachines> machines{};
  std::array<PartId, kMaxCallers> callers{};
  std::array<PartId, kMaxReconfigurers> reconfigurers{};
  PartId history = 0;
  FaultBudgets budgets;
  std::vector<PartId> requests;  // sent and not delivered or lost for good; sorted, each once

  // Equal bytes: the same state.
  std::string bytes() const;
  bool equalsIgnoringBudgets(const State& other) const;
};

struct Event {
  enum class Kind : std::uint8_t {
    Deliver,            // a request to its replica, and the answer back
    DeliverAnswerLost,  // the answer is lost
    Duplicate,          // as Deliver, and the request stays under way
    Start,              // an operator's next call
    PhaseTimeout,       // a round's time passes
    OperationTimeout,   // an operation's time passes
    DaemonCrash,
    ReconfigurerSteps,
    Restart,
    Empty,
    ReplicaLearns,
    DaemonLearns,
  };
  Kind kind = Kind::Deliver;
  std::uint8_t actor = 0;   // machine, caller, or kMaxCallers + mover
  std::uint8_t choice = 0;  // mover: proposer for its time events, else index of the step
  std::uint8_t quorum = 0;  // mover: bits of the machines that told their keys; 0: none
  PartId request = 0;
};

}  // namespace quayrill::model
