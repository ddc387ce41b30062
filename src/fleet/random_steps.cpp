// Random steps for chaos runs.
#include <random>

#include "fleet/steps.h"

namespace quayrill::fleet {

namespace {
// Excludes repeat-piece, an injected defect that the checker must find, and the steps that would
// too often leave the fleet with fewer servers for good. The other excluded steps have runs of
// their own; drawing one more step would also change the run of every seed.
bool isDrawnAtRandom(const std::string& type) {
  return type != "repeat-piece" && type != "vanish-server" && type != "leave-server" &&
         type != "withdraw" && type != "ways" && type != "flood" && type != "wipe-cores" &&
         type != "refound" && type != "hup-edge";
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

}  // namespace quayrill::fleet
