// Checks the observations of a run and computes its statistics.
#include <algorithm>
#include <set>

#include "fleet/ledger.h"

namespace quayrill::fleet {

using namespace std::chrono_literals;

namespace {
// Time limits of the guarantees, and the window in which the ratio of retries is checked.
constexpr Duration kKeyRevocationLimit = 5s;
constexpr Duration kLeavingLimit = 3s;
constexpr Duration kWeightsLimit = 25s;
constexpr Duration kRetryWindow = 10s;
constexpr Duration kRecoveryLimit = 12s;
// The default grace of a daemon, and a second to exit and be waited for.
constexpr Duration kLeaveLimit = 11s;

std::string millis(Duration span) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count()) +
         " ms";
}

// Checks each call's answer against the runs of its request.
void checkOutcomes(const Ledger& ledger, std::vector<Finding>* findings) {
  std::map<std::string, std::vector<const RunRow*>> runsOf;
  for (const RunRow& run : ledger.runs) runsOf[run.nonce].push_back(&run);
  for (const CallRow& call : ledger.calls) {
    const std::size_t runs = runsOf[call.nonce].size();
    if (!call.repeatable && runs > 1)
      findings->push_back({"never-twice", call.nonce + " ran " + std::to_string(runs) + " times"});
    const bool rejected = call.status == 429 || call.status == 503;
    const bool badInput = call.status >= 400 && call.status < 429;
    if ((rejected || badInput) && runs > 0)
      findings->push_back({"refused-never-ran", call.nonce + " was turned away with " +
                                                    std::to_string(call.status) + " and ran"});
    if (rejected && !call.hasRetryAfter)
      findings->push_back({"retry-after", call.nonce + " was turned away without Retry-After"});
    // Where the outcome is unknown, only repeatable requests get Retry-After: for others it would
    // invite a second run.
    if ((call.status == 502 || call.status == 504) && call.hasRetryAfter != call.repeatable)
      findings->push_back(
          {"retry-after", call.nonce + (call.repeatable ? " may be repeated and is not told when"
                                                        : " may not be and has Retry-After")});
    if (call.status == 200 && !call.piecesValid)
      findings->push_back({"stream", call.nonce + ": " + call.error});
    if (call.complete && call.status == 200 && !call.endMark)
      findings->push_back({"cut-looks-complete", call.nonce + " ended whole without an end mark"});
    if (call.complete && call.status == 200 && runs == 0)
      findings->push_back({"stream", call.nonce + " was answered and never ran"});
  }
}

// No run uses cached blocks of other weights or of another salt.
void checkCache(const Ledger& ledger, std::vector<Finding>* findings) {
  for (const RunRow& run : ledger.runs) {
    if (run.foreignWeights)
      findings->push_back({"weights", run.nonce + " ran on cache of other weights"});
    if (run.foreignSalt)
      findings->push_back({"isolation", run.nonce + " ran on cache of another salt"});
  }
}

// True if by `deadline` the server had weights that were configured at `since` or later.
bool hadWeightsSince(const Ledger& ledger, const std::string& server, Instant since,
                     Instant deadline) {
  const std::string& finalWeights = ledger.finalServers.at(server);
  for (const auto& [weights, configuredAt] : ledger.weightsConfiguredAt) {
    if (configuredAt < since) continue;
    const auto loaded = ledger.weightsLoadedAt.find(weights);
    const bool switched = loaded != ledger.weightsLoadedAt.end() && loaded->second.contains(server);
    // A server that had these weights all along never switched to them.
    if (switched ? loaded->second.at(server) <= deadline : finalWeights == weights) return true;
  }
  return false;
}

// Each change of weights has a time limit of its own, which later changes don't extend: by then
// every server has these or newer weights, and no run starts on older ones.
void checkWeights(const Ledger& ledger, Instant trafficEnd, std::vector<Finding>* findings) {
  for (const auto& [weights, configuredAt] : ledger.weightsConfiguredAt) {
    for (const auto& [server, finalWeights] : ledger.finalServers) {
      Instant deadline = configuredAt + kWeightsLimit;
      // A server that restarted since has the whole time from its restart.
      if (const auto restarted = ledger.restartedAt.find(server);
          restarted != ledger.restartedAt.end())
        deadline = std::max(deadline, restarted->second + kWeightsLimit);
      if (deadline > trafficEnd || hadWeightsSince(ledger, server, configuredAt, deadline))
        continue;
      findings->push_back({"weights-bound", server + " did not take " + weights + " within " +
                                                millis(kWeightsLimit)});
    }
    for (const RunRow& run : ledger.runs) {
      const auto own = ledger.weightsConfiguredAt.find(run.weights);
      const bool isOlder = own == ledger.weightsConfiguredAt.end() || own->second < configuredAt;
      if (isOlder && run.at > configuredAt + kWeightsLimit)
        findings->push_back({"superseded-weights", run.nonce + " ran on " + run.weights + " " +
                                                       millis(run.at - configuredAt) + " after " +
                                                       weights + " were named"});
    }
  }
}

// Checks the time limits after keys are revoked, servers start leaving and weights are configured.
void checkBounds(const Ledger& ledger, Instant trafficEnd, std::vector<Finding>* findings) {
  for (const CallRow& call : ledger.calls) {
    const auto revoked = ledger.keyRevokedAt.find(call.tenant);
    if (revoked == ledger.keyRevokedAt.end() || call.status != 200) continue;
    if (call.begun > revoked->second + kKeyRevocationLimit)
      findings->push_back({"withdrawn-key", call.nonce + " was served " +
                                                millis(call.begun - revoked->second) +
                                                " after its key was withdrawn"});
  }
  for (const RunRow& run : ledger.runs) {
    const auto leaving = ledger.leavingAt.find(run.server);
    if (leaving != ledger.leavingAt.end() && run.at > leaving->second + kLeavingLimit)
      findings->push_back({"leaving-server", run.server + " got work " +
                                                 millis(run.at - leaving->second) +
                                                 " after it showed as leaving"});
  }
  for (const DisruptionRow& left : ledger.leavingSpans) {
    for (const RunRow& run : ledger.runs) {
      if (run.server == left.daemon && run.at > left.begun + kLeavingLimit && run.at < left.ended)
        findings->push_back({"leaving-server", run.server + " got work " +
                                                   millis(run.at - left.begun) +
                                                   " after it showed as leaving"});
    }
  }
  checkWeights(ledger, trafficEnd, findings);
}

// A server accepts no order with a lower fence than before, and orders with different fences, thus
// of two lease holders, are never open at a server at the same time.
void checkOrders(const Ledger& ledger, std::vector<Finding>* findings) {
  std::map<std::string, std::vector<OrderRow>> byServer;
  for (const OrderRow& order : ledger.orders) byServer[order.server].push_back(order);
  for (auto& [server, orders] : byServer) {
    std::sort(orders.begin(), orders.end(),
              [](const OrderRow& a, const OrderRow& b) { return a.at < b.at; });
    std::uint64_t highestFence = 0;
    for (std::size_t i = 0; i < orders.size(); ++i) {
      if (orders[i].accepted && orders[i].fence < highestFence)
        findings->push_back({"one-orderer", server + " took an order with an old fence"});
      if (orders[i].accepted) highestFence = std::max(highestFence, orders[i].fence);
      for (std::size_t j = i + 1; j < orders.size() && orders[j].at < orders[i].ended; ++j) {
        if (orders[j].fence != orders[i].fence)
          findings->push_back({"one-orderer", server + " had orders of two holders open at once"});
      }
    }
  }
}

// Every arrival of a nonce after its first is an extra try. At most one extra try per five first
// ones is allowed in each window that ends at an arrival (truncated at the start of the run) and in
// each that starts at an arrival and lies within the run.
void checkRetries(const Ledger& ledger, Instant trafficEnd, std::vector<Finding>* findings) {
  std::set<std::string> seen;
  std::vector<std::pair<Instant, bool>> sends;
  std::vector<ArrivalRow> ordered = ledger.arrivals;
  std::sort(ordered.begin(), ordered.end(),
            [](const ArrivalRow& a, const ArrivalRow& b) { return a.at < b.at; });
  for (const ArrivalRow& row : ordered) sends.emplace_back(row.at, !seen.insert(row.nonce).second);
  std::size_t to = 0, extraTries = 0;
  for (std::size_t from = 0; from < sends.size(); ++from) {
    const Instant windowEnd = sends[from].first + kRetryWindow;
    for (; to < sends.size() && sends[to].first <= windowEnd; ++to) {
      extraTries += sends[to].second ? 1 : 0;
      // There are no first tries before the run, so the truncated window must keep the ratio too.
      const std::size_t firstTries = to + 1 - from - extraTries;
      if (from == 0 && extraTries > 0 && extraTries * 5 > firstTries) {
        findings->push_back({"extra-tries", std::to_string(extraTries) + " extra tries beside " +
                                                std::to_string(firstTries) +
                                                " first ones at the begin"});
        return;
      }
    }
    const std::size_t firstTries = to - from - extraTries;
    if (extraTries > 0 && extraTries * 5 > firstTries && windowEnd <= trafficEnd) {
      findings->push_back({"extra-tries", std::to_string(extraTries) + " extra tries beside " +
                                              std::to_string(firstTries) + " first ones in 10 s"});
      return;
    }
    extraTries -= sends[from].second ? 1 : 0;
  }
}

// A daemon must be gone within its grace, whatever its clients do, and no answer that it has begun
// may break off on the way.
void checkLeaving(const Ledger& ledger, std::vector<Finding>* findings) {
  for (const PlannedRestartRow& planned : ledger.plannedRestarts) {
    if (planned.ended - planned.begun > kLeaveLimit)
      findings->push_back({"leaves-in-time", planned.daemon + " was gone " +
                                                 millis(planned.ended - planned.begun) +
                                                 " after SIGTERM"});
    for (const KeptCallRow& call : ledger.keptCalls) {
      const bool isCrossing =
          call.daemon == planned.daemon && call.begun < planned.ended && call.ended > planned.begun;
      if (isCrossing && call.hasBegun && !call.complete)
        findings->push_back({"planned-restart", "an answer of " + call.daemon + " broke off"});
    }
  }
}

// Requests that a daemon had accepted at SIGTERM, or accepted before it stopped listening, must be
// answered completely.
void checkPlannedRestarts(const Ledger& ledger, std::vector<Finding>* findings) {
  for (const PlannedRestartRow& planned : ledger.plannedRestarts) {
    for (const CallRow& call : ledger.calls) {
      if (call.daemon != planned.daemon || !call.accepted) continue;
      if (ledger.abortedByServer.contains(call.nonce)) continue;  // no daemon can prevent this
      if (call.begun > planned.ended || call.ended < planned.begun) continue;
      if (call.status == 0 || (call.status == 200 && !call.complete))
        findings->push_back({"planned-restart", call.nonce + " was dropped by " + call.daemon});
    }
  }
}

// The longest time within [begin, end] without any of `ends` and outside the disruptions.
Duration longestGap(std::vector<Instant> ends, std::vector<DisruptionRow> disruptions,
                    Instant begin, Instant end) {
  for (const DisruptionRow& row : disruptions) ends.push_back(std::clamp(row.ended, begin, end));
  ends.push_back(end);
  std::sort(ends.begin(), ends.end());
  Duration longest{};
  Instant from = begin;
  for (const Instant& at : ends) {
    Instant to = std::clamp(at, begin, end);
    // A gap ends where a disruption begins; the next one is counted from the disruption's end.
    for (const DisruptionRow& row : disruptions) {
      if (row.begun < to && row.ended > from) to = std::max(from, row.begun);
    }
    longest = std::max(longest, to - from);
    from = std::max(from, std::clamp(at, begin, end));
  }
  return longest;
}

// The longest time for which a daemon completed no answer, outside its disruptions.
Duration silenceOf(const Ledger& ledger, const std::string& daemon, Instant trafficEnd) {
  std::vector<Instant> ends;
  for (const CallRow& call : ledger.calls) {
    if (call.daemon == daemon && call.status == 200 && call.complete) ends.push_back(call.ended);
  }
  std::vector<DisruptionRow> disruptions;
  for (const DisruptionRow& row : ledger.disruptions) {
    if (row.daemon == daemon || row.daemon.empty()) disruptions.push_back(row);
  }
  return longestGap(ends, disruptions, ledger.trafficStart, trafficEnd);
}

// The longest time between two completed answers of the fleet, in ms.
double longestSilence(const Ledger& ledger) {
  std::vector<Instant> ends;
  for (const CallRow& call : ledger.calls) {
    if (call.status == 200 && call.complete) ends.push_back(call.ended);
  }
  std::sort(ends.begin(), ends.end());
  Duration longest{};
  for (std::size_t i = 1; i < ends.size(); ++i) longest = std::max(longest, ends[i] - ends[i - 1]);
  return std::chrono::duration<double, std::milli>(longest).count();
}

// Each path, and each daemon outside its disruptions, must complete answers again in time.
void checkRecovery(const Ledger& ledger, Instant trafficEnd, std::vector<Finding>* findings) {
  std::vector<DisruptionRow> fleetDisruptions;
  for (const DisruptionRow& row : ledger.disruptions) {
    if (row.daemon.empty()) fleetDisruptions.push_back(row);
  }
  std::map<std::string, std::vector<Instant>> endsOfPath;
  for (const CallRow& call : ledger.calls) {
    std::vector<Instant>& ends = endsOfPath[call.path];
    if (call.status == 200 && call.complete) ends.push_back(call.ended);
  }
  for (const auto& [path, ends] : endsOfPath) {
    const Duration gap = longestGap(ends, fleetDisruptions, ledger.trafficStart, trafficEnd);
    if (gap > kRecoveryLimit)
      findings->push_back({"recovery", "no answer of '" + path + "' finished for " + millis(gap)});
  }
  for (const std::string& daemon : ledger.daemons) {
    const Duration gap = silenceOf(ledger, daemon, trafficEnd);
    if (gap > kRecoveryLimit)
      findings->push_back({"recovery", daemon + " finished no answer for " + millis(gap)});
  }
}
}  // namespace

std::vector<Finding> checkLedger(const Ledger& ledger, Instant trafficEnd) {
  std::vector<Finding> findings;
  checkOutcomes(ledger, &findings);
  checkCache(ledger, &findings);
  checkBounds(ledger, trafficEnd, &findings);
  checkOrders(ledger, &findings);
  checkRetries(ledger, trafficEnd, &findings);
  checkPlannedRestarts(ledger, &findings);
  checkLeaving(ledger, &findings);
  checkRecovery(ledger, trafficEnd, &findings);
  checkConfigurationChanges(ledger, &findings);
  return findings;
}

RunStatistics statisticsOf(const Ledger& ledger, Instant trafficEnd) {
  RunStatistics statistics;
  std::vector<double> firstPieceMs;
  for (const CallRow& call : ledger.calls) {
    ++statistics.calls;
    if (call.status == 200 && call.complete) {
      ++statistics.done;
      firstPieceMs.push_back(
          std::chrono::duration<double, std::milli>(call.firstPiece - call.begun).count());
    } else if (call.status == 200) {
      ++statistics.cut;
    } else if (call.status == 429 || call.status == 503) {
      ++statistics.rejected;
    } else if (call.status == 502 || call.status == 504) {
      ++statistics.unknown;
    } else if (call.status == 0) {
      ++statistics.noAnswer;
    } else {
      ++statistics.badRequests;
    }
  }
  std::size_t prompt = 0, cached = 0;
  for (const RunRow& run : ledger.runs) {
    prompt += run.promptTokens;
    cached += run.cachedTokens;
  }
  statistics.runs = ledger.runs.size();
  statistics.longestSilenceMs = longestSilence(ledger);
  using Millis = std::chrono::duration<double, std::milli>;
  for (const std::string& daemon : ledger.daemons)
    statistics.longestDaemonSilenceMs = std::max(
        statistics.longestDaemonSilenceMs, Millis(silenceOf(ledger, daemon, trafficEnd)).count());
  statistics.longestStaleServingMs = Millis(longestStaleServing(ledger)).count();
  statistics.cachedShare = prompt ? static_cast<double>(cached) / static_cast<double>(prompt) : 0;
  std::sort(firstPieceMs.begin(), firstPieceMs.end());
  if (!firstPieceMs.empty()) {
    statistics.firstPieceMedianMs = firstPieceMs[firstPieceMs.size() / 2];
    statistics.firstPiece95thMs = firstPieceMs[firstPieceMs.size() * 95 / 100];
  }
  return statistics;
}

}  // namespace quayrill::fleet
