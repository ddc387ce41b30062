// Changes of the configuration, judged from outside: by what operators were told, what ready
// daemons served by, and what stood in the register in the end.
#include <algorithm>

#include "fleet/ledger.h"

namespace quayrill::fleet {

using namespace std::chrono_literals;

namespace {
constexpr Duration kInForceBound = 2s;

// Acknowledged versions in order of time, each the highest up to then.
std::vector<std::pair<Instant, std::uint64_t>> floorsOf(const Ledger& ledger) {
  auto floors = ledger.acknowledged;
  std::sort(floors.begin(), floors.end());
  std::uint64_t highest = 0;
  for (auto& [at, version] : floors) version = highest = std::max(highest, version);
  return floors;
}

// The first acknowledgement that a daemon which serves by `version` should have heard of.
std::optional<Instant> overtakenAt(const std::vector<std::pair<Instant, std::uint64_t>>& floors,
                                   std::uint64_t version) {
  for (const auto& [at, acknowledged] : floors) {
    if (acknowledged > version) return at;
  }
  return std::nullopt;
}
}  // namespace

Duration slowestInForce(const Ledger& ledger) {
  const auto floors = floorsOf(ledger);
  Duration slowest{};
  for (const ServedRow& row : ledger.served) {
    const auto overtaken = overtakenAt(floors, row.version);
    if (overtaken && row.at > *overtaken) slowest = std::max(slowest, row.at - *overtaken);
  }
  return slowest;
}

void checkOperators(const Ledger& ledger, std::vector<Finding>* findings) {
  const auto floors = floorsOf(ledger);
  std::map<std::string, std::uint64_t> highest;
  for (const ServedRow& row : ledger.served) {
    std::uint64_t& top = highest[row.daemon];
    if (row.version < top)
      findings->push_back({"slipped-back", row.daemon + " served by configuration " +
                                               std::to_string(row.version) + " after " +
                                               std::to_string(top)});
    top = std::max(top, row.version);
    const auto overtaken = overtakenAt(floors, row.version);
    if (overtaken && row.at > *overtaken + kInForceBound)
      findings->push_back({"in-force", row.daemon + " served by configuration " +
                                           std::to_string(row.version) +
                                           " over 2 s after a newer one was acknowledged"});
  }
  if (ledger.versionInEnd == 0) return;
  std::map<std::uint64_t, std::string> wayOfVersion;
  for (const OperatorRow& row : ledger.operators) {
    const bool stands = ledger.waysInEnd.contains(row.way);
    if (row.status == 200 && !stands)
      findings->push_back({"acknowledged-lost", row.way + " was acknowledged and is gone"});
    if (row.status == 200 && !wayOfVersion.try_emplace(row.version, row.way).second)
      findings->push_back({"acknowledged-lost", "two changes were acknowledged as version " +
                                                    std::to_string(row.version)});
    const bool certainNot =
        row.status == 409 || row.status == 422 || row.status == 413 || row.status == 503;
    if (certainNot && stands)
      findings->push_back({"refused-change", row.way + " was answered with " +
                                                 std::to_string(row.status) + " and took effect"});
  }
  for (const auto& [at, version] : ledger.acknowledged) {
    if (version > ledger.versionInEnd)
      findings->push_back({"slipped-back", "the register ended at configuration " +
                                               std::to_string(ledger.versionInEnd) + " after " +
                                               std::to_string(version) + " was acknowledged"});
  }
}

}  // namespace quayrill::fleet
