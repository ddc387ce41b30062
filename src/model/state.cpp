#include "model/state.h"

namespace quayrill::model {

namespace {
void append(std::string* bytes, PartId id) {
  bytes->append(reinterpret_cast<const char*>(&id), sizeof id);
}
}  // namespace

std::string State::bytes() const {
  std::string bytes;
  bytes.reserve(80 + 4 * requests.size());
  for (const PartId id : machines) append(&bytes, id);
  for (const PartId id : callers) append(&bytes, id);
  for (const PartId id : reconfigurers) append(&bytes, id);
  append(&bytes, history);
  for (const std::uint8_t remaining :
       {budgets.lostAnswers, budgets.duplicates, budgets.phases, budgets.deadlines,
        budgets.daemonDeaths, budgets.restarts, budgets.emptied, budgets.learns})
    bytes += static_cast<char>(remaining);
  for (const PartId id : requests) append(&bytes, id);
  return bytes;
}

bool State::equalsIgnoringBudgets(const State& other) const {
  return machines == other.machines && callers == other.callers &&
         reconfigurers == other.reconfigurers && history == other.history &&
         requests == other.requests;
}

}  // namespace quayrill::model
