// The steps of a run: faults, and what operators and the platform do.
#include <csignal>
#include <filesystem>
#include <sstream>

#include "fleet/site.h"

namespace quayrill::fleet {

using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {
// step, what its argument is
#define QUAYRILL_STEPS(X)                                                         \
  X("kill-core", "core number: kill -9, back after 3 s")                          \
  X("kill-edge", "edge number: kill -9, back after 3 s")                          \
  X("kill-cores", "how many cores to kill -9 at once, back after 3 s")            \
  X("restart-edge", "edge number: SIGTERM, back when it ended")                   \
  X("restart-core", "core number: SIGTERM, back when it ended")                   \
  X("freeze-core", "core number: SIGSTOP for 6 s")                                \
  X("freeze-edge", "edge number: SIGSTOP for 6 s")                                \
  X("wipe-core", "core number: kill -9, its disk emptied, back after 1 s")        \
  X("cut-core", "core number: cut from all others for 8 s")                       \
  X("cut-edge", "edge number: cut from all others for 8 s")                       \
  X("oneway-core", "core number: what it sends is lost for 8 s")                  \
  X("crash-server", "server number: back empty after 3 s")                        \
  X("vanish-server", "server number: gone for good, its list row after 4 s")      \
  X("leave-server", "server number: shown as leaving")                            \
  X("silent-server", "server number: answers nothing for 6 s")                    \
  X("drop-stream", "server number: breaks its answers midway for 6 s")            \
  X("drop-first", "server number: runs and answers nothing for 6 s")              \
  X("repeat-piece", "server number: a planted defect that the checker must find") \
  X("store-down", "0: the store is down for 6 s and comes back empty")            \
  X("weights", "new weights' name")                                               \
  X("withdraw", "tenant whose key is withdrawn")                                  \
  X("change", "name of a way to add")

bool isKnown(const std::string& name) {
#define QUAYRILL_KNOWN(step, help) \
  if (name == step) return true;
  QUAYRILL_STEPS(QUAYRILL_KNOWN)
#undef QUAYRILL_KNOWN
  return false;
}
}  // namespace

std::vector<Step> parseSteps(const std::string& text, std::string* defect) {
  std::vector<Step> steps;
  std::istringstream items(text);
  for (std::string item; std::getline(items, item, ',');) {
    const auto colon = item.find(':');
    const auto at = item.find('@');
    if (colon == std::string::npos || at == std::string::npos || at < colon ||
        !isKnown(item.substr(0, colon))) {
      *defect = "'" + item + "' is no step: write STEP:ARGUMENT@SECOND, one of";
#define QUAYRILL_LIST(step, help) *defect += std::string("\n  ") + step + " (" + help + ")";
      QUAYRILL_STEPS(QUAYRILL_LIST)
#undef QUAYRILL_LIST
      return {};
    }
    steps.push_back({item.substr(0, colon), item.substr(colon + 1, at - colon - 1),
                     std::atof(item.c_str() + at + 1)});
  }
  return steps;
}

awaitable<void> Site::atDaemon(std::string what, std::size_t index, bool core) {
  Daemon& daemon = daemonAt(index, core);
  note(what + " " + daemon.name);
  const std::string ip = daemon.cohort.value.substr(0, daemon.cohort.value.rfind(':'));
  const auto cutAll = [&](bool inward, bool cut) {
    for (const Daemon& other : daemons_) {
      const std::string otherIp = other.cohort.value.substr(0, other.cohort.value.rfind(':'));
      if (otherIp == ip) continue;
      relay_->cut(ip, otherIp, cut);
      if (inward) relay_->cut(otherIp, ip, cut);
    }
  };
  if (what == "kill" || what == "wipe") {
    signalDaemon(daemon, SIGKILL);
    waitDaemon(&daemon, 2000);
    if (what == "wipe") std::filesystem::remove_all(daemon.dataFolder);
    co_await pauseFor(what == "wipe" ? 1s : 3s);
    startDaemon(&daemon, boot_.plan);
  } else if (what == "restart") {
    const Instant begun = BootClock::now();
    signalDaemon(daemon, SIGTERM);
    int status = -1;
    for (int i = 0; i < 1000 && status == -1; ++i) {
      status = waitDaemon(&daemon, 0);
      co_await pauseFor(10ms);
    }
    if (status != 0) ++plannedExitDefects_;
    ledger_.with([&](Ledger& ledger) {
      ledger.planned.push_back({daemon.callers.value, begun, BootClock::now()});
    });
    startDaemon(&daemon, boot_.plan);
  } else if (what == "freeze") {
    signalDaemon(daemon, SIGSTOP);
    co_await pauseFor(6s);
    signalDaemon(daemon, SIGCONT);
  } else {
    cutAll(what == "cut", true);
    co_await pauseFor(8s);
    cutAll(true, false);
  }
}

awaitable<void> Site::perform(Step step) {
  co_await pauseFor(std::chrono::milliseconds(static_cast<long>(step.atSecond * 1000)));
  const auto number = static_cast<std::size_t>(std::atoi(step.argument.c_str()));
  const auto dash = step.what.rfind('-');
  const std::string action = step.what.substr(0, dash);
  const std::string object = dash == std::string::npos ? "" : step.what.substr(dash + 1);
  if (object == "core" || object == "edge") {
    const bool core = object == "core";
    if (number >= 1 && number <= (core ? boot_.plan.cores : boot_.plan.edges))
      co_await atDaemon(action, number, core);
  } else if (step.what == "kill-cores") {
    for (std::size_t i = 1; i <= std::min(number, boot_.plan.cores); ++i) {
      ++stepsOpen_;
      asio::co_spawn(
          io_,
          [this, i]() -> awaitable<void> {
            co_await atDaemon("kill", i, true);
            --stepsOpen_;
          },
          asio::detached);
    }
  } else if (step.what == "weights") {
    note("weights " + step.argument + " named");
    const std::string patch = Json{{"models", {{"till", {{"weights", step.argument}}}}}}.dump();
    co_await change(patch, [this, &step](Instant at) {
      ledger_.with([&](Ledger& ledger) { ledger.weightsNamedAt[step.argument] = at; });
    });
  } else if (step.what == "withdraw") {
    note("key of " + step.argument + " withdrawn");
    const std::string patch =
        Json{{"tenants", {{step.argument, {{"keys", Json::array()}}}}}}.dump();
    co_await change(patch, [this, &step](Instant at) {
      ledger_.with([&](Ledger& ledger) { ledger.withdrawnAt[step.argument] = at; });
    });
  } else if (step.what == "change") {
    const std::string patch = Json{{"ways", {{step.argument, boot_.mix.ways.front().way}}}}.dump();
    co_await change(patch, [](Instant) {});
  } else if (step.what == "store-down") {
    note("store down");
    store_->setDown(true);
    co_await pauseFor(6s);
    store_->empty();
    store_->setDown(false);
  } else if (number >= 1 && number <= servers_.size()) {
    StandInServer& server = *servers_[number - 1];
    const std::string name = server.boot().address.value;
    note(step.what + " " + name);
    if (step.what == "crash-server") {
      server.crash();
      co_await pauseFor(3s);
      server.restart();
    } else if (step.what == "vanish-server") {
      server.crash();
      co_await pauseFor(4s);
      platform_->remove(name);
    } else if (step.what == "leave-server") {
      platform_->showLeaving(name);
      ledger_.with([&](Ledger& ledger) { ledger.leavingAt[name] = BootClock::now(); });
    } else {
      StandInFaults faults;
      faults.silent = step.what == "silent-server";
      faults.dropMidStream = step.what == "drop-stream";
      faults.dropBeforeFirst = step.what == "drop-first";
      faults.repeatPiece = step.what == "repeat-piece";
      server.setFaults(faults);
      co_await pauseFor(6s);
      server.setFaults({});
    }
  }
  --stepsOpen_;
}

}  // namespace quayrill::fleet
