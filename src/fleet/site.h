#pragma once
// One deployment on one machine: daemons, stand-ins, gateway and the operator's steps.
#include <memory>

#include "fleet/callers.h"
#include "fleet/daemons.h"
#include "fleet/stand_in_site.h"

namespace quayrill::fleet {

// "kill-core:1@5": at second 5 of the traffic, kill core 1.
struct Step {
  std::string what;
  std::string argument;
  double atSecond = 0;
};
// Empty and *defect set when the text is no list of known steps.
std::vector<Step> parseSteps(const std::string& text, std::string* defect);

struct SiteBoot {
  FleetPlan plan;
  Mix mix;
  std::size_t servers = 18;
  std::size_t cacheTokens = 16000;  // of each model server
  double rateFactor = 1.0;
  std::uint64_t seed = 1;
};

struct ChangeSeen {
  std::uint64_t version = 0;
  Span everywhereAfter{};   // from the acknowledgement to the last reachable daemon
  bool everywhere = false;  // no daemon serves by an older spec
  bool closed = false;      // some daemon serves nobody
};

class Site {
 public:
  Site(asio::io_context& io, SiteBoot boot);
  absl::Status start();
  // Waits until every daemon is ready under a full copy set, having put the first spec.
  awaitable<bool> found(Span limit);
  awaitable<void> traffic(Span span, std::vector<Step> steps);
  void end();

  Ledger& ledger() { return ledger_; }
  const std::vector<ChangeSeen>& changes() const { return changes_; }
  Instant trafficEnd() const { return trafficEnd_; }
  int plannedExitDefects() const { return plannedExitDefects_; }

 private:
  awaitable<void> perform(Step step);
  awaitable<void> atDaemon(std::string what, std::size_t index, bool core);
  awaitable<std::optional<std::uint64_t>> inForceAt(Address callers);
  awaitable<void> change(std::string patch, std::function<void(Instant)> onAcknowledged);
  awaitable<absl::StatusOr<nlohmann::json>> ask(Address daemon, http::verb verb, std::string target,
                                                std::string body);
  void note(const std::string& text);
  Daemon& daemonAt(std::size_t index, bool core) {
    return daemons_.at(core ? index - 1 : boot_.plan.cores + index - 1);
  }

  asio::io_context& io_;
  SiteBoot boot_;
  Ledger ledger_;
  std::vector<Daemon> daemons_;
  std::vector<std::unique_ptr<StandInServer>> servers_;
  std::unique_ptr<StandInStore> store_;
  std::unique_ptr<StandInPlatform> platform_;
  std::unique_ptr<Relay> relay_;
  std::unique_ptr<Gateway> gateway_;
  std::vector<ChangeSeen> changes_;
  Instant trafficEnd_{};
  int plannedExitDefects_ = 0;
  std::size_t stepsOpen_ = 0;
};

}  // namespace quayrill::fleet
