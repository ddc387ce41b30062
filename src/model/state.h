#pragma once
// A state of the model, as the ids of its interned parts, and the events that lead to other states.
#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "model/configuration.h"

namespace quayrill::model {

// The id of an interned part of a state; see interned.h.
using PartId = std::uint32_t;

inline constexpr std::size_t kMaxReconfigurers = 2;

// A state of the whole system: machines, daemons, messages in flight, remaining fault budgets and
// what was observed so far.
struct State {
  std::array<PartId, kMaxMachines> machines{};
  std::array<PartId, kMaxCallers> callers{};
  std::array<PartId, kMaxReconfigurers> reconfigurers{};
  PartId history = 0;
  FaultBudgets budgets;
  std::vector<PartId> requests;  // in flight; sorted, without duplicates

  // States are equal if and only if their bytes are.
  std::string bytes() const;
  bool equalsIgnoringBudgets(const State& other) const;
};

// A transition of the model.
struct Event {
  enum class Kind : std::uint8_t {
    Deliver,            // a request reaches its replica, and the answer its proposer
    DeliverAnswerLost,  // a request reaches its replica, and the answer is lost
    Duplicate,          // as Deliver, and the request stays in flight
    Start,              // an operator starts its next call
    PhaseTimeout,       // a phase of a proposer's round times out
    OperationTimeout,   // the deadline of an operation passes
    DaemonCrash,        // a daemon ends, and a new one takes its place
    ReconfigurerSteps,  // a reconfigurer submits the next operations of its replica set change
    Restart,            // a replica's process restarts with its disk
    RestartEmpty,       // a replica's machine restarts with an empty disk
    ReplicaLearns,      // a replica learns the newest replica set
    DaemonLearns,       // a daemon learns the newest replica set
  };
  Kind kind = Kind::Deliver;
  std::uint8_t actor = 0;   // a machine, a caller, or kMaxCallers + a reconfigurer
  std::uint8_t choice = 0;  // of a reconfigurer: its proposer for timeouts, else the step to take
  std::uint8_t quorum = 0;  // of a reconfigurer: machines that listed their keys, as bits; 0: none
  PartId request = 0;
};

}  // namespace quayrill::model
