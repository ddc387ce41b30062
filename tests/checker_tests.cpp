// Tests of the checker: each error injected into a ledger violates exactly its own rule.
#include <catch2/catch.hpp>
#include <set>

#include "fleet/ledger.h"
#include "fleet/steps.h"

using namespace quayrill;
using namespace quayrill::fleet;
using namespace std::chrono_literals;

namespace {
const Instant kStart{100s};

CallRow call(const std::string& nonce, int status = 200) {
  CallRow row;
  row.nonce = nonce;
  row.tenant = "north";
  row.daemon = "d";
  row.status = status;
  row.begun = kStart;
  row.ended = kStart + 10ms;
  row.accepted = true;
  row.complete = row.endMark = status == 200;
  row.hasRetryAfter = status == 429 || status == 503;
  return row;
}
RunRow run(const std::string& nonce, Instant at = kStart) {
  RunRow row;
  row.nonce = nonce;
  row.server = "s";
  row.at = at;
  return row;
}

void addCleanRun(Ledger& ledger) {
  for (int i = 0; i < 20; ++i) {
    const std::string nonce = "n" + std::to_string(i);
    ledger.calls.push_back(call(nonce));
    ledger.runs.push_back(run(nonce));
    ledger.arrivals.push_back({nonce, kStart + std::chrono::milliseconds(50 * i)});
  }
  // Low traffic in the rest of the run, so that the daemon and the path keep serving.
  ledger.trafficStart = kStart;
  ledger.daemons = {"d"};
  for (int second = 5; second < 60; second += 5) {
    const std::string nonce = "rest" + std::to_string(second);
    ledger.calls.push_back(call(nonce));
    ledger.calls.back().tenant = "rest";
    ledger.calls.back().begun = ledger.calls.back().ended = kStart + std::chrono::seconds(second);
    ledger.runs.push_back(run(nonce));
  }
}

std::string rulesBroken(const std::function<void(Ledger&)>& error) {
  Ledger ledger;
  addCleanRun(ledger);
  error(ledger);
  std::set<std::string> rules;
  for (const Finding& finding : checkLedger(ledger, kStart + 60s)) rules.insert(finding.rule);
  std::string text;
  for (const std::string& rule : rules) text += (text.empty() ? "" : " ") + rule;
  return text;
}
}  // namespace

TEST_CASE("checker: a clean ledger breaks nothing, each planted error its own rule") {
  CHECK(rulesBroken([](Ledger&) {}).empty());
  CHECK(rulesBroken([](Ledger& ledger) { ledger.runs.push_back(run("n3")); }) == "never-twice");
  CHECK(rulesBroken([](Ledger& ledger) {
          ledger.calls[3].repeatable = true;
          ledger.runs.push_back(run("n3"));
        }).empty());
  CHECK(rulesBroken([](Ledger& ledger) { ledger.calls[2] = call("n2", 503); }) ==
        "refused-never-ran");
  CHECK(rulesBroken([](Ledger& ledger) { ledger.calls[2] = call("n2", 401); }) ==
        "refused-never-ran");
  CHECK(rulesBroken([](Ledger& ledger) {
          ledger.calls.push_back(call("other", 503));
          ledger.calls.back().hasRetryAfter = false;
        }) == "retry-after");
  const auto unknown = [](bool repeatable, bool hasRetryAfter) {
    return rulesBroken([=](Ledger& ledger) {
      ledger.calls.push_back(call("other", 502));
      ledger.calls.back().repeatable = repeatable;
      ledger.calls.back().hasRetryAfter = hasRetryAfter;
    });
  };
  CHECK(unknown(false, true) == "retry-after");
  CHECK(unknown(true, false) == "retry-after");
  CHECK(unknown(false, false).empty());
  CHECK(unknown(true, true).empty());
  CHECK(rulesBroken([](Ledger& ledger) { ledger.calls[1].piecesValid = false; }) == "stream");
  CHECK(rulesBroken([](Ledger& ledger) { ledger.calls[1].endMark = false; }) ==
        "cut-looks-complete");
  CHECK(rulesBroken([](Ledger& ledger) { ledger.calls.push_back(call("ghost")); }) == "stream");
  CHECK(rulesBroken([](Ledger& ledger) { ledger.runs[5].foreignWeights = true; }) == "weights");
  CHECK(rulesBroken([](Ledger& ledger) { ledger.runs[5].foreignSalt = true; }) == "isolation");
}

TEST_CASE("checker: bounds in time are tripped just past them and not before") {
  const auto revoked = [](Duration before) {
    return rulesBroken([=](Ledger& ledger) { ledger.keyRevokedAt["north"] = kStart - before; });
  };
  CHECK(revoked(4900ms).empty());
  CHECK(revoked(5100ms) == "withdrawn-key");
  const auto leaving = [](Duration before) {
    return rulesBroken([=](Ledger& ledger) { ledger.leavingAt["s"] = kStart - before; });
  };
  CHECK(leaving(2900ms).empty());
  CHECK(leaving(3100ms) == "leaving-server");
  const auto weights = [](Duration after) {
    return rulesBroken([=](Ledger& ledger) {
      ledger.finalServers = {{"s", after > 0s ? "w1" : "w0"}};
      ledger.weightsConfiguredAt["w1"] = kStart;
      if (after > 0s) ledger.weightsLoadedAt["w1"]["s"] = kStart + after;
    });
  };
  CHECK(weights(24s).empty());
  CHECK(weights(26s) == "weights-bound");
  CHECK(weights(0s) == "weights-bound");  // never loaded
}

TEST_CASE("checker: each naming has its own bound, whatever is named within it") {
  const auto loadedAfter = [](Duration after, const std::string& finalWeights) {
    return rulesBroken([=](Ledger& ledger) {
      ledger.finalServers = {{"s", finalWeights}};
      ledger.weightsConfiguredAt = {{"w1", kStart}, {"w2", kStart + 10s}, {"w3", kStart + 20s}};
      ledger.weightsLoadedAt["w2"]["s"] = kStart + after;
      if (finalWeights == "w3") ledger.weightsLoadedAt["w3"]["s"] = kStart + 44s;
    });
  };
  CHECK(loadedAfter(24s, "w3").empty());  // w1 was skipped for w2
  CHECK(loadedAfter(26s, "w3") == "weights-bound");
  CHECK(loadedAfter(24s, "w2") == "weights-bound");  // w3 was never loaded
  const auto ran = [](const std::string& weights, Duration after) {
    return rulesBroken([=](Ledger& ledger) {
      ledger.weightsConfiguredAt = {{"w1", kStart}, {"w2", kStart + 10s}, {"w3", kStart + 20s}};
      for (RunRow& row : ledger.runs) row.weights = "w3";
      ledger.runs.back().weights = weights;
      ledger.runs.back().at = kStart + after;
    });
  };
  CHECK(ran("w0", 24s).empty());
  CHECK(ran("w0", 26s) == "superseded-weights");
  CHECK(ran("w1", 34s).empty());
  CHECK(ran("w1", 36s) == "superseded-weights");
  CHECK(ran("w2", 46s) == "superseded-weights");
  CHECK(ran("w3", 46s).empty());
}

TEST_CASE(
    "checker: one daemon or one way that never serves again is found, a hindered one is not") {
  const auto stoppedServing = [](auto error) {
    return rulesBroken([=](Ledger& ledger) {
      // Daemon e serves until second 20 and then stops, while others continue.
      ledger.daemons.insert("e");
      for (int second = 0; second <= 20; second += 5) {
        const std::string nonce = "e" + std::to_string(second);
        ledger.calls.push_back(call(nonce));
        ledger.calls.back().daemon = "e";
        ledger.calls.back().ended = kStart + std::chrono::seconds(second);
        ledger.runs.push_back(run(nonce));
      }
      error(ledger);
    });
  };
  CHECK(stoppedServing([](Ledger&) {}) == "recovery");
  CHECK(stoppedServing([](Ledger& ledger) {
          ledger.disruptions = {{"e", kStart + 25s, kStart + 50s}};
        }).empty());
  CHECK(stoppedServing([](Ledger& ledger) {
          ledger.disruptions = {{"", kStart + 25s, kStart + 50s}};
        }).empty());
  CHECK(stoppedServing([](Ledger& ledger) {
          ledger.disruptions = {{"d", kStart + 25s, kStart + 50s}};
        }) == "recovery");
  CHECK(stoppedServing([](Ledger& ledger) {
          ledger.disruptions = {{"e", kStart + 25s, kStart + 40s}};
        }) == "recovery");
  CHECK(rulesBroken([](Ledger& ledger) {
          ledger.calls[0].path = "audit";  // answered once and never again
        }) == "recovery");
}

TEST_CASE("checker: what operators were told is held against what stood and was served") {
  const auto reported = [](int status, bool tookEffect) {
    return rulesBroken([=](Ledger& ledger) {
      ledger.finalVersion = 9;
      if (tookEffect) ledger.finalPaths = {"added"};
      ledger.configurationChanges = {{"added", "d", status, 7, kStart, kStart + 1s}};
    });
  };
  CHECK(reported(200, true).empty());
  CHECK(reported(200, false) == "acknowledged-lost");
  for (const int status : {409, 413, 422, 503}) {
    CHECK(reported(status, false).empty());
    CHECK(reported(status, true) == "refused-change");
  }
  for (const int status : {0, 504}) {
    CHECK(reported(status, true).empty());
    CHECK(reported(status, false).empty());
  }
  CHECK(rulesBroken([](Ledger& ledger) {
          ledger.finalVersion = 9;
          ledger.finalPaths = {"a", "b"};
          ledger.configurationChanges = {{"a", "d", 200, 7, kStart, kStart},
                                         {"b", "d", 200, 7, kStart, kStart}};
        }) == "acknowledged-lost");
  CHECK(rulesBroken([](Ledger& ledger) {
          ledger.finalVersion = 9;
          ledger.acknowledged = {{kStart, 10}};
        }) == "slipped-back");
  const auto served = [](std::uint64_t version, Duration after) {
    return rulesBroken([=](Ledger& ledger) {
      ledger.acknowledged = {{kStart, 5}};
      ledger.servedVersions = {{"d", version, kStart + after}};
    });
  };
  CHECK(served(4, 1900ms).empty());
  CHECK(served(4, 2100ms) == "in-force");
  CHECK(served(5, 2100ms).empty());
  CHECK(rulesBroken([](Ledger& ledger) {
          ledger.servedVersions = {{"d", 5, kStart}, {"e", 4, kStart}, {"d", 4, kStart + 1s}};
        }) == "slipped-back");
}

TEST_CASE("checker: old fences, too many tries and dropped requests are found") {
  CHECK(rulesBroken([](Ledger& ledger) {
          ledger.orders = {{"s", "w1", 4, true, kStart, kStart},
                           {"s", "w1", 3, true, kStart + 1s, kStart + 1s}};
        }) == "one-orderer");
  CHECK(rulesBroken([](Ledger& ledger) {
          ledger.orders = {{"s", "w1", 4, true, kStart, kStart},
                           {"s", "w1", 3, false, kStart + 1s, kStart + 1s}};
        }).empty());
  // Fences rise, but the older holder's order is still open when the newer one's arrives.
  const auto secondOrder = [](Duration firstOpenFor, std::uint64_t fence) {
    return rulesBroken([=](Ledger& ledger) {
      ledger.orders = {{"s", "w1", 3, true, kStart, kStart + firstOpenFor},
                       {"s", "w1", fence, true, kStart + 1s, kStart + 2s}};
    });
  };
  CHECK(secondOrder(1100ms, 4) == "one-orderer");
  CHECK(secondOrder(900ms, 4).empty());
  CHECK(secondOrder(1100ms, 3).empty());
  const auto extraTries = [](int count) {
    return rulesBroken([=](Ledger& ledger) {
      for (int i = 0; i < count; ++i) ledger.arrivals.push_back({"n0", kStart + 475ms});
    });
  };
  // There are ten first tries before the extra ones and ten after; either window must keep the
  // ratio.
  CHECK(extraTries(2).empty());
  CHECK(extraTries(3) == "extra-tries");
  // A window that starts at an extra try doesn't include the first tries before it; a window that
  // would end after the run is not checked.
  const auto extraTryAt = [](Duration at) {
    return rulesBroken([=](Ledger& ledger) { ledger.arrivals.push_back({"n1", kStart + at}); });
  };
  CHECK(extraTryAt(30s) == "extra-tries");
  CHECK(extraTryAt(55s).empty());
  const auto callDuringRestart = [](int status, bool accepted) {
    return rulesBroken([=](Ledger& ledger) {
      ledger.plannedRestarts = {{"d", kStart - 1s, kStart + 1s}};
      ledger.calls.push_back(call("dropped", status));
      ledger.calls.back().accepted = accepted;
      if (status == 200) {
        ledger.calls.back().complete = false;
        ledger.runs.push_back(run("dropped"));
      }
    });
  };
  CHECK(callDuringRestart(0, true) == "planned-restart");
  CHECK(callDuringRestart(200, true) == "planned-restart");
  CHECK(callDuringRestart(0, false).empty());
  CHECK(rulesBroken([](Ledger& ledger) {
          ledger.plannedRestarts = {{"d", kStart - 1s, kStart + 1s}};
          ledger.calls.push_back(call("dropped"));
          ledger.calls.back().complete = false;
          ledger.runs.push_back(run("dropped"));
          ledger.abortedByServer = {"dropped"};
        }).empty());
}

// Guards against: a daemon that does not leave while clients use it passes for one that does.
TEST_CASE("checker: a daemon leaves within its grace and breaks off no answer on the way") {
  const auto restartOf = [](Duration took, bool hasBegun, bool complete) {
    return rulesBroken([=](Ledger& ledger) {
      ledger.plannedRestarts = {{"d", kStart, kStart + took}};
      ledger.keptCalls = {{"d", kStart + 1s, kStart + 2s, hasBegun, complete}};
    });
  };
  CHECK(restartOf(10s, true, true).empty());
  CHECK(restartOf(10s, false, false).empty());
  CHECK(restartOf(10s, true, false) == "planned-restart");
  CHECK(restartOf(12s, true, true) == "leaves-in-time");
  // A broken answer of another daemon, or of one that was killed, is no fault of its leaving.
  CHECK(rulesBroken([](Ledger& ledger) {
          ledger.plannedRestarts = {{"d", kStart, kStart + 1s}};
          ledger.keptCalls = {{"e", kStart, kStart + 2s, true, false},
                              {"d", kStart + 3s, kStart + 4s, true, false}};
        }).empty());
}

TEST_CASE("soak: the same seed draws the same steps, and one core alone has faults") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    const auto steps = drawSoakSteps(seed, 60, 4, 9, 18);
    CHECK(formatSteps(steps) == formatSteps(drawSoakSteps(seed, 60, 4, 9, 18)));
    CHECK(steps.size() > 20);
    std::set<std::string> cores;
    for (const Step& step : steps) {
      if (step.type.ends_with("-core")) cores.insert(step.argument);
      CHECK(step.type != "wipe-core");
      CHECK(step.atSecond < 42);
    }
    CHECK(cores.size() <= 1);
    std::string error;
    CHECK(parseSteps(formatSteps(steps), &error).size() == steps.size());
    CHECK(error.empty());
  }
}
