// Checks configuration changes from outside: by the answers to operators, the versions that ready
// daemons served, and the final content of the register.
#include <algorithm>

#include "fleet/ledger.h"

namespace quayrill::fleet {

using namespace std::chrono_literals;

namespace {
constexpr Duration kPropagationLimit = 2s;

// The times of the acknowledgements in order, each with the highest version acknowledged until
// then.
std::vector<std::pair<Instant, std::uint64_t>> acknowledgedFloors(const Ledger& ledger) {
  auto floors = ledger.acknowledged;
  std::sort(floors.begin(), floors.end());
  std::uint64_t highest = 0;
  for (auto& [at, version] : floors) version = highest = std::max(highest, version);
  return floors;
}

// The time at which a version newer than `version` was first acknowledged.
std::optional<Instant> supersededAt(const std::vector<std::pair<Instant, std::uint64_t>>& floors,
                                    std::uint64_t version) {
  for (const auto& [at, acknowledged] : floors) {
    if (acknowledged > version) return at;
  }
  return std::nullopt;
}
}  // namespace

Duration longestStaleServing(const Ledger& ledger) {
  const auto floors = acknowledgedFloors(ledger);
  Duration longest{};
  for (const ServedVersionRow& row : ledger.servedVersions) {
    const auto superseded = supersededAt(floors, row.version);
    if (superseded && row.at > *superseded) longest = std::max(longest, row.at - *superseded);
  }
  return longest;
}

void checkConfigurationChanges(const Ledger& ledger, std::vector<Finding>* findings) {
  const auto floors = acknowledgedFloors(ledger);
  std::map<std::string, std::uint64_t> highestByDaemon;
  for (const ServedVersionRow& row : ledger.servedVersions) {
    std::uint64_t& highest = highestByDaemon[row.daemon];
    if (row.version < highest)
      findings->push_back({"slipped-back", row.daemon + " served by configuration " +
                                               std::to_string(row.version) + " after " +
                                               std::to_string(highest)});
    highest = std::max(highest, row.version);
    const auto superseded = supersededAt(floors, row.version);
    if (superseded && row.at > *superseded + kPropagationLimit)
      findings->push_back({"in-force", row.daemon + " served by configuration " +
                                           std::to_string(row.version) +
                                           " over 2 s after a newer one was acknowledged"});
  }
  if (ledger.finalVersion == 0) return;
  std::map<std::uint64_t, std::string> pathOfVersion;
  for (const ConfigurationChangeRow& row : ledger.configurationChanges) {
    const bool tookEffect = ledger.finalPaths.contains(row.path);
    if (row.status == 200 && !tookEffect)
      findings->push_back({"acknowledged-lost", row.path + " was acknowledged and is gone"});
    if (row.status == 200 && !pathOfVersion.try_emplace(row.version, row.path).second)
      findings->push_back({"acknowledged-lost", "two changes were acknowledged as version " +
                                                    std::to_string(row.version)});
    const bool certainlyRejected =
        row.status == 409 || row.status == 422 || row.status == 413 || row.status == 503;
    if (certainlyRejected && tookEffect)
      findings->push_back({"refused-change", row.path + " was answered with " +
                                                 std::to_string(row.status) + " and took effect"});
  }
  for (const auto& [at, version] : ledger.acknowledged) {
    if (version > ledger.finalVersion)
      findings->push_back({"slipped-back", "the register ended at configuration " +
                                               std::to_string(ledger.finalVersion) + " after " +
                                               std::to_string(version) + " was acknowledged"});
  }
}

}  // namespace quayrill::fleet
