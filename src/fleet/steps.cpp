// Parses, formats and dispatches the steps of a run.
#include "fleet/steps.h"

#include <sstream>

#include "fleet/local_deployment.h"

namespace quayrill::fleet {

using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {
bool isKnownStep(const std::string& name) {
#define QUAYRILL_KNOWN(step, target, help) \
  if (name == step) return true;
  QUAYRILL_STEPS(QUAYRILL_KNOWN)
#undef QUAYRILL_KNOWN
  return false;
}
}  // namespace

std::vector<Step> parseSteps(const std::string& text, std::string* error) {
  std::vector<Step> steps;
  std::istringstream items(text);
  for (std::string item; std::getline(items, item, ',');) {
    const auto colon = item.find(':');
    const auto at = item.find('@');
    if (colon == std::string::npos || at == std::string::npos || at < colon ||
        !isKnownStep(item.substr(0, colon))) {
      *error = "'" + item +
               "' is not a valid step; expected STEP:ARGUMENT@SECOND with one of these steps:";
#define QUAYRILL_LIST(step, target, help) *error += std::string("\n  ") + step + " (" + help + ")";
      QUAYRILL_STEPS(QUAYRILL_LIST)
#undef QUAYRILL_LIST
      return {};
    }
    steps.push_back({item.substr(0, colon), item.substr(colon + 1, at - colon - 1),
                     std::atof(item.c_str() + at + 1)});
  }
  return steps;
}

std::string formatSteps(const std::vector<Step>& steps) {
  std::ostringstream text;
  for (const Step& step : steps)
    text << (text.tellp() > 0 ? "," : "") << step.type << ':' << step.argument << '@'
         << step.atSecond;
  return text.str();
}

awaitable<void> LocalDeployment::perform(Step step) {
  co_await pauseFor(std::chrono::milliseconds(static_cast<long>(step.atSecond * 1000)));
  const auto number = static_cast<std::size_t>(std::atoi(step.argument.c_str()));
  StepTarget target = StepTarget::Operator;
#define QUAYRILL_TARGET(name, kind, help) \
  if (step.type == name) target = StepTarget::kind;
  QUAYRILL_STEPS(QUAYRILL_TARGET)
#undef QUAYRILL_TARGET
  switch (target) {
    case StepTarget::Core:
      if (number >= 1 && number <= settings_.plan.cores)
        co_await applyDaemonFault(step.type.substr(0, step.type.rfind('-')),
                                  daemonAt(number, true));
      break;
    case StepTarget::Edge:
      if (number >= 1 && number <= settings_.plan.edges)
        co_await applyDaemonFault(step.type.substr(0, step.type.rfind('-')),
                                  daemonAt(number, false));
      break;
    case StepTarget::Group:
      co_await applyGroupFault(step.type, number);
      break;
    case StepTarget::Server:
      if (number >= 1 && number <= servers_.size())
        co_await applyServerFault(step.type, *servers_[number - 1]);
      break;
    case StepTarget::External:
      co_await applyExternalFault(step.type, number);
      break;
    case StepTarget::Operator:
      co_await runOperatorStep(step.type, step.argument);
      break;
  }
  --openSteps_;
}

}  // namespace quayrill::fleet
