// Each rule of the outside checker is tripped by a ledger with that one defect planted.
#include <catch2/catch.hpp>

#include "fleet/ledger.h"

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

void plant(Ledger& ledger) {
  for (int i = 0; i < 20; ++i) {
    const std::string nonce = "n" + std::to_string(i);
    ledger.calls.push_back(call(nonce));
    ledger.runs.push_back(run(nonce));
    ledger.arrivals.push_back({nonce, kStart});
  }
}

std::string rulesBroken(const std::function<void(Ledger&)>& defect) {
  Ledger ledger;
  plant(ledger);
  defect(ledger);
  std::set<std::string> rules;
  for (const Finding& finding : checkLedger(ledger, kStart + 60s)) rules.insert(finding.rule);
  std::string text;
  for (const std::string& rule : rules) text += (text.empty() ? "" : " ") + rule;
  return text;
}
}  // namespace

TEST_CASE("checker: a clean ledger breaks nothing, each planted defect its own rule") {
  CHECK(rulesBroken([](Ledger&) {}).empty());
  CHECK(rulesBroken([](Ledger& l) { l.runs.push_back(run("n3")); }) == "never-twice");
  CHECK(rulesBroken([](Ledger& l) {
          l.calls[3].repeatable = true;
          l.runs.push_back(run("n3"));
        }).empty());
  CHECK(rulesBroken([](Ledger& l) { l.calls[2] = call("n2", 503); }) == "refused-never-ran");
  CHECK(rulesBroken([](Ledger& l) { l.calls[2] = call("n2", 401); }) == "refused-never-ran");
  CHECK(rulesBroken([](Ledger& l) {
          l.calls.push_back(call("other", 503));
          l.calls.back().hasRetryAfter = false;
        }) == "retry-after");
  CHECK(rulesBroken([](Ledger& l) {
          l.calls.push_back(call("other", 502));
          l.calls.back().hasRetryAfter = true;
        }) == "retry-after");
  CHECK(rulesBroken([](Ledger& l) { l.calls[1].piecesRight = false; }) == "stream");
  CHECK(rulesBroken([](Ledger& l) { l.calls[1].endMark = false; }) == "cut-looks-complete");
  CHECK(rulesBroken([](Ledger& l) { l.calls.push_back(call("ghost")); }) == "stream");
  CHECK(rulesBroken([](Ledger& l) { l.runs[5].foreignWeights = true; }) == "weights");
  CHECK(rulesBroken([](Ledger& l) { l.runs[5].foreignSalt = true; }) == "isolation");
}

TEST_CASE("checker: bounds in time are tripped just past them and not before") {
  const auto withdrawn = [](Span before) {
    return rulesBroken([=](Ledger& l) { l.withdrawnAt["north"] = kStart - before; });
  };
  CHECK(withdrawn(4900ms).empty());
  CHECK(withdrawn(5100ms) == "withdrawn-key");
  const auto leaving = [](Span before) {
    return rulesBroken([=](Ledger& l) { l.leavingAt["s"] = kStart - before; });
  };
  CHECK(leaving(2900ms).empty());
  CHECK(leaving(3100ms) == "leaving-server");
  const auto weights = [](Span after) {
    return rulesBroken([=](Ledger& l) {
      l.serversAtEnd = {"s"};
      l.weightsNamedAt["w1"] = kStart;
      if (after > 0s) l.weightsReachedAt["w1"]["s"] = kStart + after;
    });
  };
  CHECK(weights(24s).empty());
  CHECK(weights(26s) == "weights-bound");
  CHECK(weights(0s) == "weights-bound");  // never
  CHECK(rulesBroken([](Ledger& l) {
          l.calls.push_back(call("late"));
          l.runs.push_back(run("late"));
          l.calls.back().ended = kStart + 13s;
        }) == "recovery");
}

TEST_CASE("checker: old fences, too many tries and dropped requests are found") {
  CHECK(rulesBroken([](Ledger& l) {
          l.orders = {{"s", "w1", 4, true, kStart}, {"s", "w1", 3, true, kStart + 1s}};
        }) == "one-orderer");
  CHECK(rulesBroken([](Ledger& l) {
          l.orders = {{"s", "w1", 4, true, kStart}, {"s", "w1", 3, false, kStart + 1s}};
        }).empty());
  const auto tries = [](int extras) {
    return rulesBroken([=](Ledger& l) {
      for (int i = 0; i < extras; ++i) l.arrivals.push_back({"n1", kStart + 1s});
    });
  };
  CHECK(tries(4).empty());
  CHECK(tries(5) == "extra-tries");
  const auto restart = [](int status, bool accepted) {
    return rulesBroken([=](Ledger& l) {
      l.planned = {{"d", kStart - 1s, kStart + 1s}};
      l.calls.push_back(call("dropped", status));
      l.calls.back().accepted = accepted;
      if (status == 200) {
        l.calls.back().complete = false;
        l.runs.push_back(run("dropped"));
      }
    });
  };
  CHECK(restart(0, true) == "planned-restart");
  CHECK(restart(200, true) == "planned-restart");
  CHECK(restart(0, false).empty());
}
