#include "base/counters.h"

namespace quayrill {

std::string renderCounters(const Counters& counters) {
  std::string text;
#define QUAYRILL_RENDER(field, name, help)                                         \
  text += "# HELP quayrill_" name " " help "\n# TYPE quayrill_" name " counter\n"; \
  text += "quayrill_" name " " + std::to_string(counters.field.load()) + "\n";
  QUAYRILL_COUNTERS(QUAYRILL_RENDER)
#undef QUAYRILL_RENDER
  return text;
}

}  // namespace quayrill
