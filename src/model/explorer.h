#pragma once
// Breadth-first search over the state space of a configuration. The first violation found is at the
// least depth, so its schedule is a shortest one.
#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "model/configuration.h"

namespace quayrill::model {

// Limits at which the search stops before it has seen all states.
struct SearchBounds {
  std::size_t states = 2'000'000;  // distinct ones
  std::size_t depth = 1000;        // events on a schedule
  std::chrono::seconds time{600};
  // Counts states that differ only by a permutation of interchangeable replicas as one.
  bool mergesSymmetricStates = true;
};

// The outcome of a search.
struct SearchReport {
  std::size_t visited = 0;   // states reached, counted each time
  std::size_t distinct = 0;  // different states reached
  std::size_t expanded = 0;  // states whose events were all tried
  std::size_t depth = 0;     // greatest number of events needed to reach a state
  std::size_t parts = 0;     // distinct interned parts: machines, daemons, messages and histories
  std::chrono::duration<double> time{};
  bool isExhausted = false;           // all states were seen, without a violation
  std::string violation;              // the violated invariant; "" for none
  std::vector<std::string> schedule;  // a shortest one that violates it
};

SearchReport explore(const Configuration& configuration, const SearchBounds& bounds);

}  // namespace quayrill::model
