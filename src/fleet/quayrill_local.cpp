// quayrill-local: runs a whole deployment on one machine, with stand-ins for everything outside it.
#include <docopt/docopt.h>

#include <csignal>
#include <filesystem>
#include <iomanip>
#include <iostream>

#include "base/build_identity.h"
#include "fleet/local_deployment.h"

namespace {
constexpr char kUsage[] =
    R"(quayrill-local: runs a local fleet with all stand-ins and checks it from outside.

Usage:
  quayrill-local [--deployment=NAME] [--cores=N] [--edges=N] [--servers=N] [--seconds=S]
               [--rate=FACTOR] [--placement=RULE] [--fetch=ON] [--steps=LIST] [--net=N] [--seed=N] [--cache-tokens=N]
               [--chaos=SEED | --soak=SEED] [--use-connections] [--quayrilld=PROGRAM] [--work=DIR] [--pair] [--tenants] [--json] [--keep-open] [--memory-mb=N]
  quayrill-local --help | --version

Options:
  --deployment=NAME    hsinmei or tejo: whose mix of prompts [default: hsinmei].
  --cores=N            Machines with a disk [default: 4].
  --edges=N            Machines without [default: 9].
  --servers=N          Stand-in model servers [default: 18].
  --seconds=S          Seconds of traffic [default: 20].
  --rate=FACTOR        Of the mix's own rate [default: 1].
  --placement=RULE     prefix, least-burden or round-robin [default: prefix].
  --fetch=ON           on or off [default: on].
  --steps=LIST         Faults and operator steps, STEP:ARGUMENT@SECOND split by commas.
  --chaos=SEED         Draw the steps from SEED instead; they are printed for a replay.
  --soak=SEED          Draw overlapping series of steps from SEED, with clients as of --use-connections,
                       but one operator a core.
  --use-connections    Clients use open connections without a pause until a daemon closes them; four
                       of them are operators of each core.
  --net=N              All addresses are 127.N.x.y [default: 40].
  --cache-tokens=N     Cache of each model server [default: 16000].
  --seed=N             Seed of the traffic [default: 1].
  --quayrilld=PROGRAM  The daemon [default: beside this program].
  --work=DIR           Logs and data folders, emptied first [default: /tmp/quayrill-fleet].
  --tenants            Show how each tenant fared.
  --pair               Agent and proxy of each machine as two processes.
  --memory-mb=N        Limit on the memory of each daemon, enforced; 0 for none [default: 0].
  --json               One JSON object on stdout at the end.
  --keep-open          Go on serving until SIGINT after the traffic.
  -h --help            Show this text.
  --version            Show the version.

Exit codes: 0 nothing broken, 1 a rule was broken or the fleet did not found, 2 bad usage.
)";

int report(quayrill::fleet::LocalDeployment& deployment, bool asJson) {
  using namespace std::chrono_literals;
  std::vector<quayrill::fleet::Finding> findings;
  quayrill::fleet::RunStatistics statistics;
  deployment.ledger().withLock([&](quayrill::fleet::Ledger& ledger) {
    findings = quayrill::fleet::checkLedger(ledger, deployment.trafficEnd());
    statistics = quayrill::fleet::statisticsOf(ledger, deployment.trafficEnd());
  });
  quayrill::Duration slowestChange{};
  for (const auto& change : deployment.changes()) {
    if (!change.someNotServing) slowestChange = std::max(slowestChange, change.propagationTime);
    if (!change.inForceEverywhere)
      findings.push_back({"in-force", "configuration " + std::to_string(change.version) +
                                          " was served without 2 s after its acknowledgement"});
  }
  if (deployment.shutdownErrors() > 0)
    findings.push_back({"planned-restart", "a SIGTERM did not end well"});
  for (const std::string& end : deployment.unexpectedEnds()) findings.push_back({"ends", end});
  for (const std::string& error : deployment.settingsErrors())
    findings.push_back({"settings", error});
  std::cout << std::fixed << std::setprecision(3);
  std::cout << "calls " << statistics.calls << " done " << statistics.done << " turned-away "
            << statistics.rejected << " unknown " << statistics.unknown << " cut " << statistics.cut
            << " no-answer " << statistics.noAnswer << " bad-input " << statistics.badRequests
            << " runs " << statistics.runs << "\n"
            << "cached share of prompt tokens " << statistics.cachedShare << ", first piece median "
            << statistics.firstPieceMedianMs << " ms, p95 " << statistics.firstPiece95thMs
            << " ms\n"
            << "longest time with no answer finished " << statistics.longestSilenceMs << " ms\n"
            << "longest time a daemon that nothing hindered finished no answer "
            << statistics.longestDaemonSilenceMs << " ms\n"
            << "longest that a configuration was served after a newer one was acknowledged "
            << statistics.longestStaleServingMs << " ms\n"
            << "changes " << deployment.changes().size() << ", slowest everywhere after "
            << slowestChange / 1ms << " ms\n";
  for (std::size_t i = 0; i < std::min<std::size_t>(10, findings.size()); ++i)
    std::cout << "BROKEN " << findings[i].rule << ": " << findings[i].what << "\n";
  std::cout << "broken rules " << findings.size() << "\n";
  deployment.printFaultCosts();
  deployment.ledger().withLock([&](quayrill::fleet::Ledger& ledger) {
    for (const auto& [weights, configuredAt] : ledger.weightsConfiguredAt) {
      std::size_t loadedServers = 0;
      quayrill::Duration longest{};
      for (const auto& [server, at] : ledger.weightsLoadedAt[weights]) {
        loadedServers += ledger.finalServers.contains(server) ? 1 : 0;
        longest = std::max(longest, at - configuredAt);
      }
      std::cout << "weights " << weights << " taken by " << loadedServers << " of "
                << ledger.finalServers.size() << " servers, the last after " << longest / 1ms
                << " ms\n";
    }
  });
  std::map<std::string, int> errors;
  deployment.ledger().withLock([&](quayrill::fleet::Ledger& ledger) {
    for (const auto& call : ledger.calls) {
      if (!call.error.empty()) ++errors[std::to_string(call.status) + " " + call.error];
    }
  });
  std::size_t shown = 0;
  for (const auto& [error, count] : errors) {
    if (++shown <= 12) std::cout << count << " x " << error << (error.back() == '\n' ? "" : "\n");
  }
  if (asJson)
    std::cout << nlohmann::json{{"calls", statistics.calls},
                                {"done", statistics.done},
                                {"turned_away", statistics.rejected},
                                {"unknown", statistics.unknown},
                                {"cut", statistics.cut},
                                {"no_answer", statistics.noAnswer},
                                {"cached_share", statistics.cachedShare},
                                {"first_piece_median_ms", statistics.firstPieceMedianMs},
                                {"first_piece_p95_ms", statistics.firstPiece95thMs},
                                {"longest_silence_ms", statistics.longestSilenceMs},
                                {"slowest_change_ms", slowestChange / 1ms},
                                {"broken", findings.size()}}
                     .dump()
              << "\n";
  return findings.empty() ? 0 : 1;
}
}  // namespace

int main(int argc, char** argv) {
  using namespace quayrill;
  using namespace std::chrono_literals;
  auto flags = docopt::docopt(kUsage, {argv + 1, argv + argc}, true,
                              "quayrill-local " + quayrill::buildIdentity());
  std::signal(SIGPIPE, SIG_IGN);
  fleet::LocalDeploymentSettings settings;
  std::vector<fleet::Step> steps;
  std::chrono::milliseconds span{};
  try {
    settings.plan.cores = static_cast<std::size_t>(std::stoul(flags["--cores"].asString()));
    settings.plan.edges = static_cast<std::size_t>(std::stoul(flags["--edges"].asString()));
    settings.plan.splitRoles = flags["--pair"].asBool();
    settings.plan.net = std::stoi(flags["--net"].asString());
    settings.plan.placement = flags["--placement"].asString();
    settings.plan.fetch = flags["--fetch"].asString();
    settings.plan.workFolder = flags["--work"].asString();
    settings.plan.program = flags["--quayrilld"].asString();
    if (settings.plan.program == "beside this program")
      settings.plan.program =
          (std::filesystem::canonical("/proc/self/exe").parent_path() / "quayrilld").string();
    settings.plan.memoryMegabytes = std::stoul(flags["--memory-mb"].asString());
    settings.servers = static_cast<std::size_t>(std::stoul(flags["--servers"].asString()));
    settings.cacheTokens = std::stoul(flags["--cache-tokens"].asString());
    settings.mix = fleet::trafficMixOf(flags["--deployment"].asString());
    settings.rateFactor = std::stod(flags["--rate"].asString());
    settings.seed = std::stoull(flags["--seed"].asString());
    span = std::chrono::milliseconds(std::stol(flags["--seconds"].asString()) * 1000);
    std::string error;
    if (flags["--steps"]) steps = fleet::parseSteps(flags["--steps"].asString(), &error);
    if (!error.empty()) throw std::invalid_argument(error);
    if (flags["--chaos"]) {
      steps = fleet::drawSteps(std::stoull(flags["--chaos"].asString()),
                               std::chrono::duration<double>(span).count(), settings.plan.cores,
                               settings.plan.edges, settings.servers);
      std::cout << "--steps=" << fleet::formatSteps(steps) << std::endl;
    }
    settings.keepsConnections = flags["--use-connections"].asBool() || flags["--soak"];
    // Enough that a core has hardly a moment without an open call.
    if (flags["--use-connections"].asBool()) settings.operatorsPerCore = 4;
    if (flags["--soak"]) {
      steps = fleet::drawSoakSteps(std::stoull(flags["--soak"].asString()),
                                   std::chrono::duration<double>(span).count(), settings.plan.cores,
                                   settings.plan.edges, settings.servers);
      std::cout << "--steps=" << fleet::formatSteps(steps) << std::endl;
    }
  } catch (const std::exception& error) {
    std::cerr << "quayrill-local: " << error.what() << "\n";
    return 2;
  }
  std::filesystem::remove_all(settings.plan.workFolder);
  asio::io_context io(1);
  fleet::LocalDeployment deployment(io, settings);
  if (const auto status = deployment.start(); !status.ok()) {
    std::cerr << "quayrill-local: " << status.message() << "\n";
    deployment.shutDown();
    return 1;
  }
  bool founded = false;
  asio::co_spawn(
      io,
      [&]() -> awaitable<void> {
        const Instant begun = BootClock::now();
        founded = co_await deployment.waitUntilReady(60s);
        std::cout << (founded ? "founded after " : "NOT founded after ")
                  << (BootClock::now() - begun) / 1ms << " ms" << std::endl;
        if (founded) co_await deployment.runTraffic(span, steps);
        if (!flags["--keep-open"].asBool()) io.stop();
      },
      asio::detached);
  asio::signal_set interrupts(io, SIGINT, SIGTERM);
  interrupts.async_wait([&](const ErrorCode& code, int) {
    if (!code) io.stop();
  });
  io.run();
  deployment.shutDown();
  if (flags["--tenants"].asBool()) deployment.printTenants();
  const int result = report(deployment, flags["--json"].asBool());
  std::cout.flush();
  std::_Exit(founded ? result : 1);
}
