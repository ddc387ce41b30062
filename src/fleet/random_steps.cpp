// Random steps for chaos runs.
#include <iterator>
#include <random>

#include "fleet/steps.h"

namespace quayrill::fleet {

namespace {
// Excludes repeat-piece, an injected defect that the checker must find, and the steps that would
// too often leave the fleet with fewer servers for good. The other excluded steps have runs of
// their own; drawing one more step would also change the run of every seed.
bool isDrawnAtRandom(const std::string& type) {
  return type != "repeat-piece" && type != "endless-server" && type != "vanish-server" &&
         type != "leave-server" && type != "withdraw" && type != "ways" && type != "flood" &&
         type != "wipe-cores" && type != "refound" && type != "hup-edge" &&
         !type.starts_with("overlap-") && !type.starts_with("hold-") &&
         !type.starts_with("succeed-");
}
}  // namespace

std::vector<Step> drawSteps(std::uint64_t seed, double seconds, std::size_t cores,
                            std::size_t edges, std::size_t servers) {
  struct Row {
    std::string type;
    StepTarget target;
  };
  std::vector<Row> rows;
#define QUAYRILL_ROW(name, kind, help) \
  if (isDrawnAtRandom(name)) rows.push_back({name, StepTarget::kind});
  QUAYRILL_STEPS(QUAYRILL_ROW)
#undef QUAYRILL_ROW
  std::mt19937_64 random(seed);
  std::vector<Step> steps;
  bool diskLost = false, released = false;
  std::size_t weights = 0;
  // No steps in the last quarter, so that every time limit can expire within the run.
  for (double at = 1; at < seconds * 0.75; at += 0.3 + static_cast<double>(random() % 300) / 100) {
    const Row& row = rows[random() % rows.size()];
    Step step{row.type, "", static_cast<double>(static_cast<int>(at * 10)) / 10};
    // At most one in a run: no second disk may be lost before the replica set has recovered, which
    // takes half a minute.
    if (step.type == "wipe-core") {
      if (diskLost) continue;
      diskLost = true;
    }
    if (step.type == "release-servers") {
      if (released) continue;
      released = true;
    }
    switch (row.target) {
      case StepTarget::Core:
        step.argument = std::to_string(1 + random() % cores);
        break;
      case StepTarget::Edge:
        step.argument = std::to_string(1 + random() % edges);
        break;
      case StepTarget::Server:
        step.argument = std::to_string(1 + random() % servers);
        break;
      case StepTarget::Group:
        step.argument = std::to_string(step.type.ends_with("zone") ? random() % 4 : random() % 3);
        break;
      case StepTarget::External:
        step.argument = step.type == "release-servers" ? "900" : std::to_string(random() % 5);
        break;
      case StepTarget::Operator:
        step.argument = step.type == "race"      ? std::to_string(2 + random() % 8)
                        : step.type == "weights" ? "w" + std::to_string(++weights)
                                                 : "added" + std::to_string(steps.size());
        break;
    }
    steps.push_back(step);
  }
  return steps;
}

namespace {
// The kinds of step that a soak repeats in series.
struct SoakSeries {
  const char* type;
  StepTarget target;
};
constexpr SoakSeries kSoakSeries[] = {
    {"restart-edge", StepTarget::Edge},   {"restart-edge", StepTarget::Edge},
    {"restart-core", StepTarget::Core},   {"hup-edge", StepTarget::Edge},
    {"overlap-edge", StepTarget::Edge},   {"overlap-core", StepTarget::Core},
    {"kill-edge", StepTarget::Edge},      {"kill-core", StepTarget::Core},
    {"freeze-edge", StepTarget::Edge},    {"cut-edge", StepTarget::Edge},
    {"slow-core", StepTarget::Core},      {"stall-core", StepTarget::Core},
    {"change", StepTarget::Operator},     {"change", StepTarget::Operator},
    {"race", StepTarget::Operator},       {"weights", StepTarget::Operator},
    {"crash-server", StepTarget::Server}, {"silent-server", StepTarget::Server},
    {"drop-stream", StepTarget::Server},  {"drop-first", StepTarget::Server},
};
// Starts beside processes that have the daemon's address, drawn one at a time.
constexpr SoakSeries kSoakStarts[] = {
    {"hold-edge", StepTarget::Edge},
    {"hold-core", StepTarget::Core},
    {"succeed-edge", StepTarget::Edge},
    {"succeed-core", StepTarget::Core},
};
// The longest of them.
constexpr double kStartStepSeconds = 15;
constexpr std::size_t kMinSeriesSteps = 3, kMaxSeriesSteps = 8;
// Short enough that a series never has more time limits open than the run has time left.
constexpr double kSoakStepsUntil = 0.7;  // of the run

// A time in seconds, rounded to what formatSteps prints.
double rounded(double seconds) { return static_cast<double>(static_cast<int>(seconds * 10)) / 10; }

std::vector<Step> drawSoakStarts(std::uint64_t seed, double until, const std::string& faultyCore,
                                 std::size_t edges) {
  std::mt19937_64 random(seed);
  std::vector<Step> steps;
  for (double at = 2; at < until; at += 3 + static_cast<double>(random() % 500) / 100) {
    const SoakSeries& start = kSoakStarts[random() % std::size(kSoakStarts)];
    const std::string edge = std::to_string(1 + random() % edges);
    steps.push_back(
        {start.type, start.target == StepTarget::Core ? faultyCore : edge, rounded(at)});
  }
  return steps;
}
}  // namespace

std::vector<Step> drawSoakSteps(std::uint64_t seed, double seconds, std::size_t cores,
                                std::size_t edges, std::size_t servers) {
  std::mt19937_64 random(seed);
  const auto drawSeconds = [&](double from, double to) {
    return from + (to - from) * static_cast<double>(random() % 1000) / 1000;
  };
  std::vector<Step> steps;
  std::size_t names = 0;
  // The loss of one core at a time is what a fleet with four of them bears.
  const std::string faultyCore = std::to_string(1 + random() % cores);
  for (double seriesAt = 1; seriesAt < seconds * kSoakStepsUntil; seriesAt += drawSeconds(0.3, 4)) {
    const SoakSeries& series = kSoakSeries[random() % std::size(kSoakSeries)];
    const std::size_t count = kMinSeriesSteps + random() % (kMaxSeriesSteps - kMinSeriesSteps + 1);
    const double gap = drawSeconds(0.1, 1.5);
    for (std::size_t i = 0; i < count; ++i) {
      Step step{series.type, "", rounded(seriesAt + gap * static_cast<double>(i))};
      if (step.atSecond >= seconds * kSoakStepsUntil) break;
      if (series.target == StepTarget::Core)
        step.argument = faultyCore;
      else if (series.target == StepTarget::Edge)
        step.argument = std::to_string(1 + random() % edges);
      else if (series.target == StepTarget::Server)
        step.argument = std::to_string(1 + random() % servers);
      else if (step.type == "race")
        step.argument = std::to_string(1 + random() % 4);
      else
        step.argument = (step.type == "weights" ? "w" : "added") + std::to_string(++names);
      steps.push_back(step);
    }
  }
  // From a generator of their own, so that the series of each seed are the same without them.
  const auto starts =
      drawSoakStarts(~seed, seconds * kSoakStepsUntil - kStartStepSeconds, faultyCore, edges);
  steps.insert(steps.end(), starts.begin(), starts.end());
  return steps;
}

}  // namespace quayrill::fleet
