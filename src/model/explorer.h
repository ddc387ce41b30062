#pragma once
// Breadth-first over all schedules of a configuration, each state once. The first broken invariant
// found lies at the least depth, so its schedule is a shortest one.
#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "model/configuration.h"

namespace quayrill::model {

// Where the search stops although states are left.
struct SearchBounds {
  std::size_t states = 2'000'000;
  std::size_t depth = 1000;
  std::chrono::seconds time{600};
  // Counts states that differ by the names of like replicas alone as one.
  bool mergesSymmetricStates = true;
};

struct SearchReport {
  std::size_t visited = 0;   // states reached, the same one again each time
  std::size_t distinct = 0;  // states
  std::size_t expanded = 0;  // states whose events were all tried
  std::size_t depth = 0;     // events on the longest of the shortest ways to a state reached
  std::size_t parts = 0;     // distinct states of single replicas, daemons, requests and histories
  std::chrono::duration<double> time{};
  bool isExhausted = false;  // no bound was reached and nothing is broken: all states were seen
  std::string violation;     // the invariant that broke, "" for none
  std::vector<std::string> schedule;  // a shortest one that breaks it
};

SearchReport explore(const Configuration& configuration, const SearchBounds& bounds);

}  // namespace quayrill::model
