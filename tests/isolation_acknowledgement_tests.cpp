// Tests of when changes of who is isolated are acknowledged, with the daemon as real processes.
#include "edge_processes.h"

using namespace quayrill::tests;

namespace {
// A change that names the stage's tenant, isolated or not.
nlohmann::json tenantChange(std::uint64_t version, bool isIsolated) {
  return {{"gen", version},
          {"upsert",
           {{"tenants",
             {{{"name", "t"}, {"apiKeys", {"key"}}, {"prio", 1}, {"isolated", isIsolated}}}}}}};
}
}  // namespace

// Guards against: a tenant is told to be isolated while requests of before still wait at servers,
// some of which run them although their connections are closed.
TEST_CASE("isolation: a change that isolates a tenant is acknowledged once what waited has ended") {
  EdgeProcesses processes(1);
  // Requests are ended that long after the change, which is within applyMs of it.
  constexpr std::chrono::milliseconds kEnded{1600}, kApplyMs{2000};
  const ClientAnswer isolated = processes.changeConfiguration("PATCH", tenantChange(6, true), 5);
  CHECK(isolated.status == 200);
  CHECK(isolated.took >= kEnded);
  CHECK(isolated.took < 2 * kApplyMs);
  const ClientAnswer again = processes.changeConfiguration("PATCH", tenantChange(6, true), 5);
  CHECK(again.status == 200);
  CHECK(again.took < kEnded);
  const ClientAnswer opened = processes.changeConfiguration("PATCH", tenantChange(7, false), 6);
  CHECK(opened.status == 200);
  CHECK(opened.took < kEnded);
}
