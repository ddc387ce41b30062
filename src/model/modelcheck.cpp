// quayrill-modelcheck: explores every schedule of a small system that runs the production register
// code.
#include <docopt/docopt.h>

#include <iostream>
#include <limits>

#include "base/build_identity.h"
#include "model/explorer.h"

namespace {
constexpr char kUsage[] =
    R"(quayrill-modelcheck: explores every schedule of a small replicated register.

Usage:
  quayrill-modelcheck [--configuration=NAME] [--plant=ERROR] [--states=N] [--depth=N]
                      [--seconds=S] [--lost-answers=N] [--duplicates=N] [--phases=N]
                      [--deadlines=N] [--daemon-deaths=N] [--restarts=N] [--emptied=N]
                      [--learns=N]
  quayrill-modelcheck --list | --help | --version

Options:
  --configuration=NAME  What to explore, of those that --list names [default: race].
  --plant=ERROR         Inject a defect that must be found: unsynced-promise, unsettled-epoch,
                        minority-read or resend-as-new [default: none].
  --states=N            Stop after this many distinct states [default: 5000000].
  --depth=N             Stop at schedules of this many events [default: 1000].
  --seconds=S           Stop after this many seconds [default: 600].
  --lost-answers=N      How often an answer may be lost on one schedule. This and the following
                        budgets default to those of the configuration.
  --duplicates=N        How often a request may be delivered a second time.
  --phases=N            How often a phase of a round may time out.
  --deadlines=N         How often the deadline of an operation may pass.
  --daemon-deaths=N     How often a daemon may end.
  --restarts=N          How often a replica may restart with its disk.
  --emptied=N           How often a replica may restart with an empty disk.
  --learns=N            How often a replica or daemon may learn a newer replica set from elsewhere.
  --list                List the configurations.
  -h --help             Show this text.
  --version             Show the version.

Exit codes: 0 all states were seen and no invariant was violated, 1 an invariant was violated (the
schedule is shown), 2 invalid usage, 3 a bound was reached before all states were seen, without a
violation so far.
)";

using Flags = std::map<std::string, docopt::value>;
using quayrill::model::Configuration;
using quayrill::model::FaultBudgets;

// Overrides a fault budget by the flag of this name, if it is given.
void applyBudgetFlag(const Flags& flags, const std::string& name, std::uint8_t* budget) {
  const docopt::value& flag = flags.at("--" + name);
  if (!flag) return;
  const long value = flag.asLong();
  if (value < 0 || value > std::numeric_limits<std::uint8_t>::max())
    throw std::invalid_argument("--" + name + " must be between 0 and 255");
  *budget = static_cast<std::uint8_t>(value);
}

void applyBudgetFlags(const Flags& flags, FaultBudgets* budgets) {
  applyBudgetFlag(flags, "lost-answers", &budgets->lostAnswers);
  applyBudgetFlag(flags, "duplicates", &budgets->duplicates);
  applyBudgetFlag(flags, "phases", &budgets->phases);
  applyBudgetFlag(flags, "deadlines", &budgets->deadlines);
  applyBudgetFlag(flags, "daemon-deaths", &budgets->daemonDeaths);
  applyBudgetFlag(flags, "restarts", &budgets->restarts);
  applyBudgetFlag(flags, "emptied", &budgets->emptied);
  applyBudgetFlag(flags, "learns", &budgets->learns);
}

Configuration configurationFrom(const Flags& flags) {
  const std::string name = flags.at("--configuration").asString();
  auto configuration = quayrill::model::configurationByName(name);
  if (!configuration)
    throw std::invalid_argument("unknown configuration '" + name + "': see --list");
  const std::string defectName = flags.at("--plant").asString();
  const auto defect = quayrill::model::defectByName(defectName);
  if (!defect)
    throw std::invalid_argument("--plant: unknown defect '" + defectName + "': see --help");
  configuration->defect = *defect;
  applyBudgetFlags(flags, &configuration->budgets);
  return *configuration;
}

quayrill::model::SearchBounds boundsFrom(const Flags& flags) {
  quayrill::model::SearchBounds bounds;
  const auto positive = [&](const std::string& name) {
    const long value = flags.at(name).asLong();
    if (value <= 0) throw std::invalid_argument(name + " must be greater than 0");
    return value;
  };
  bounds.states = static_cast<std::size_t>(positive("--states"));
  bounds.depth = static_cast<std::size_t>(positive("--depth"));
  bounds.time = std::chrono::seconds(positive("--seconds"));
  return bounds;
}

// Prints the outcome of a search and returns the exit code.
int printReport(const Configuration& configuration, const quayrill::model::SearchReport& report) {
  const FaultBudgets& budgets = configuration.budgets;
  std::cout << configuration.name << ": " << configuration.description << "\n"
            << "budgets: lost answers " << +budgets.lostAnswers << ", duplicates "
            << +budgets.duplicates << ", phases " << +budgets.phases << ", deadlines "
            << +budgets.deadlines << ", daemon deaths " << +budgets.daemonDeaths << ", restarts "
            << +budgets.restarts << ", emptied " << +budgets.emptied << ", learns "
            << +budgets.learns << "\n"
            << "states visited " << report.visited << ", distinct " << report.distinct
            << ", expanded " << report.expanded << ", depth " << report.depth << ", parts "
            << report.parts << ", seconds " << report.time.count() << "\n";
  if (!report.violation.empty()) {
    std::cout << "BROKEN: " << report.violation << "\nshortest schedule:\n";
    for (std::size_t i = 0; i < report.schedule.size(); ++i)
      std::cout << "  " << i + 1 << ". " << report.schedule[i] << "\n";
    return 1;
  }
  std::cout << (report.isExhausted ? "all states were seen, no invariant broke\n"
                                   : "a bound was reached: states are left unseen\n");
  return report.isExhausted ? 0 : 3;
}
}  // namespace

int main(int argc, char** argv) {
  const Flags flags = docopt::docopt(kUsage, {argv + 1, argv + argc}, true,
                                     "quayrill-modelcheck " + quayrill::buildIdentity());
  if (flags.at("--list").asBool()) {
    for (const Configuration& configuration : quayrill::model::configurations())
      std::cout << configuration.name << ": " << configuration.description << "\n";
    return 0;
  }
  try {
    const Configuration configuration = configurationFrom(flags);
    return printReport(configuration, quayrill::model::explore(configuration, boundsFrom(flags)));
  } catch (const std::exception& error) {
    std::cerr << "quayrill-modelcheck: " << error.what() << "\n";
    return 2;
  }
}
