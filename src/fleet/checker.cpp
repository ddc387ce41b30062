#include <algorithm>
#include <set>

#include "fleet/ledger.h"

namespace quayrill::fleet {

using namespace std::chrono_literals;

namespace {
constexpr Span kKeyBound = 5s;
constexpr Span kLeaveBound = 3s;
constexpr Span kWeightsBound = 25s;
constexpr Span kTryWindow = 10s;

std::string millis(Span span) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count()) +
         " ms";
}

void checkOutcomes(const Ledger& ledger, std::vector<Finding>* findings) {
  std::map<std::string, std::vector<const RunRow*>> runsOf;
  for (const RunRow& run : ledger.runs) runsOf[run.nonce].push_back(&run);
  for (const CallRow& call : ledger.calls) {
    const std::size_t runs = runsOf[call.nonce].size();
    if (!call.repeatable && runs > 1)
      findings->push_back({"never-twice", call.nonce + " ran " + std::to_string(runs) + " times"});
    const bool turnedAway = call.status == 429 || call.status == 503;
    const bool badInput = call.status >= 400 && call.status < 429;
    if ((turnedAway || badInput) && runs > 0)
      findings->push_back({"refused-never-ran", call.nonce + " was turned away with " +
                                                    std::to_string(call.status) + " and ran"});
    if (turnedAway && !call.hasRetryAfter)
      findings->push_back({"retry-after", call.nonce + " was turned away without Retry-After"});
    if ((call.status == 502 || call.status == 504) && call.hasRetryAfter)
      findings->push_back({"retry-after", call.nonce + " is unknown and has Retry-After"});
    if (call.status == 200 && !call.piecesRight)
      findings->push_back({"stream", call.nonce + ": " + call.defect});
    if (call.complete && call.status == 200 && !call.endMark)
      findings->push_back({"cut-looks-complete", call.nonce + " ended whole without an end mark"});
    if (call.complete && call.status == 200 && runs == 0)
      findings->push_back({"stream", call.nonce + " was answered and never ran"});
  }
}

void checkCache(const Ledger& ledger, std::vector<Finding>* findings) {
  for (const RunRow& run : ledger.runs) {
    if (run.foreignWeights)
      findings->push_back({"weights", run.nonce + " ran on cache of other weights"});
    if (run.foreignSalt)
      findings->push_back({"isolation", run.nonce + " ran on cache of another salt"});
  }
}

void checkBounds(const Ledger& ledger, Instant trafficEnd, std::vector<Finding>* findings) {
  for (const CallRow& call : ledger.calls) {
    const auto withdrawn = ledger.withdrawnAt.find(call.tenant);
    if (withdrawn == ledger.withdrawnAt.end() || call.status != 200) continue;
    if (call.begun > withdrawn->second + kKeyBound)
      findings->push_back({"withdrawn-key", call.nonce + " was served " +
                                                millis(call.begun - withdrawn->second) +
                                                " after its key was withdrawn"});
  }
  for (const RunRow& run : ledger.runs) {
    const auto leaving = ledger.leavingAt.find(run.server);
    if (leaving != ledger.leavingAt.end() && run.at > leaving->second + kLeaveBound)
      findings->push_back({"leaving-server", run.server + " got work " +
                                                 millis(run.at - leaving->second) +
                                                 " after it showed as leaving"});
  }
  for (const auto& [weights, named] : ledger.weightsNamedAt) {
    const bool superseded = std::any_of(
        ledger.weightsNamedAt.begin(), ledger.weightsNamedAt.end(), [&](const auto& other) {
          return other.second > named && other.second < named + kWeightsBound;
        });
    if (superseded || trafficEnd < named + kWeightsBound) continue;
    const auto row = ledger.weightsReachedAt.find(weights);
    for (const std::string& server : ledger.serversAtEnd) {
      const bool reached = row != ledger.weightsReachedAt.end() && row->second.contains(server);
      if (!reached || row->second.at(server) > named + kWeightsBound)
        findings->push_back({"weights-bound", server + " did not take " + weights + " within " +
                                                  millis(kWeightsBound)});
    }
  }
}

void checkOrders(const Ledger& ledger, std::vector<Finding>* findings) {
  std::map<std::string, std::uint64_t> highest;
  for (const OrderRow& order : ledger.orders) {
    std::uint64_t& top = highest[order.server];
    if (order.taken && order.fence < top)
      findings->push_back({"one-orderer", order.server + " took an order with an old fence"});
    if (order.taken) top = std::max(top, order.fence);
  }
}

// Every arrival of a nonce beyond its first is an extra try.
void checkTries(const Ledger& ledger, std::vector<Finding>* findings) {
  std::set<std::string> seen;
  std::vector<std::pair<Instant, bool>> sends;
  std::vector<ArrivalRow> ordered = ledger.arrivals;
  std::sort(ordered.begin(), ordered.end(),
            [](const ArrivalRow& a, const ArrivalRow& b) { return a.at < b.at; });
  for (const ArrivalRow& row : ordered) sends.emplace_back(row.at, !seen.insert(row.nonce).second);
  std::size_t from = 0, extras = 0;
  for (std::size_t to = 0; to < sends.size(); ++to) {
    if (sends[to].second) ++extras;
    while (sends[to].first - sends[from].first > kTryWindow) {
      if (sends[from].second) --extras;
      ++from;
    }
    const std::size_t firsts = to + 1 - from - extras;
    if (extras > 0 && extras * 5 > firsts) {
      findings->push_back({"extra-tries", std::to_string(extras) + " extra tries beside " +
                                              std::to_string(firsts) + " first ones in 10 s"});
      return;
    }
  }
}

// What a daemon had accepted when it was warned, or took until it stopped listening, must end well.
void checkPlanned(const Ledger& ledger, std::vector<Finding>* findings) {
  for (const PlannedRow& planned : ledger.planned) {
    for (const CallRow& call : ledger.calls) {
      if (call.daemon != planned.daemon || !call.accepted) continue;
      if (call.begun > planned.ended || call.ended < planned.begun) continue;
      if (call.status == 0 || (call.status == 200 && !call.complete))
        findings->push_back({"planned-restart", call.nonce + " was dropped by " + call.daemon});
    }
  }
}

double longestSilence(const Ledger& ledger) {
  std::vector<Instant> ends;
  for (const CallRow& call : ledger.calls) {
    if (call.status == 200 && call.complete) ends.push_back(call.ended);
  }
  std::sort(ends.begin(), ends.end());
  Span longest{};
  for (std::size_t i = 1; i < ends.size(); ++i) longest = std::max(longest, ends[i] - ends[i - 1]);
  return std::chrono::duration<double, std::milli>(longest).count();
}

void checkRecovery(const Ledger& ledger, std::vector<Finding>* findings) {
  const double silence = longestSilence(ledger);
  if (silence > 12000)
    findings->push_back({"recovery", "no answer finished for " +
                                         std::to_string(static_cast<long>(silence)) + " ms"});
}
}  // namespace

std::vector<Finding> checkLedger(const Ledger& ledger, Instant trafficEnd) {
  std::vector<Finding> findings;
  checkOutcomes(ledger, &findings);
  checkCache(ledger, &findings);
  checkBounds(ledger, trafficEnd, &findings);
  checkOrders(ledger, &findings);
  checkTries(ledger, &findings);
  checkPlanned(ledger, &findings);
  checkRecovery(ledger, &findings);
  return findings;
}

Figures figuresOf(const Ledger& ledger) {
  Figures figures;
  std::vector<double> firsts;
  for (const CallRow& call : ledger.calls) {
    ++figures.calls;
    if (call.status == 200 && call.complete) {
      ++figures.done;
      firsts.push_back(
          std::chrono::duration<double, std::milli>(call.firstPiece - call.begun).count());
    } else if (call.status == 200) {
      ++figures.cut;
    } else if (call.status == 429 || call.status == 503) {
      ++figures.turnedAway;
    } else if (call.status == 502 || call.status == 504) {
      ++figures.unknown;
    } else if (call.status == 0) {
      ++figures.noAnswer;
    } else {
      ++figures.bad;
    }
  }
  std::size_t prompt = 0, cached = 0;
  for (const RunRow& run : ledger.runs) {
    prompt += run.promptTokens;
    cached += run.cachedTokens;
  }
  figures.runs = ledger.runs.size();
  figures.longestSilenceMs = longestSilence(ledger);
  figures.cachedShare = prompt ? static_cast<double>(cached) / static_cast<double>(prompt) : 0;
  std::sort(firsts.begin(), firsts.end());
  if (!firsts.empty()) {
    figures.firstPieceMedianMs = firsts[firsts.size() / 2];
    figures.firstPieceP95Ms = firsts[firsts.size() * 95 / 100];
  }
  return figures;
}

}  // namespace quayrill::fleet
