#include "base/mechanisms.h"

#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <string_view>
#include <vector>

namespace quayrill {

namespace {
// One row of QUAYRILL_MECHANISMS.
struct Description {
  Mechanism mechanism;
  std::string_view name, fallback;
};

constexpr Description kDescriptions[] = {
#define QUAYRILL_DESCRIPTION(identifier, name, fallback) {Mechanism::identifier, name, fallback},
    QUAYRILL_MECHANISMS(QUAYRILL_DESCRIPTION)
#undef QUAYRILL_DESCRIPTION
};

constexpr std::size_t kNameWidth = 20;  // column of the names in the help text

std::string joined(const std::vector<std::string_view>& names) {
  return absl::StrJoin(names, ",",
                       [](std::string* out, std::string_view name) { out->append(name); });
}
}  // namespace

std::string Mechanisms::disabledNames() const {
  std::vector<std::string_view> names;
  for (const Description& row : kDescriptions) {
    if (!isEnabled(row.mechanism)) names.push_back(row.name);
  }
  return joined(names);
}

absl::StatusOr<Mechanisms> parseDisabledMechanisms(const std::string& list) {
  Mechanisms mechanisms;
  for (const absl::string_view part : absl::StrSplit(list, ',', absl::SkipEmpty())) {
    const std::string name(part);
    const auto* row = std::find_if(std::begin(kDescriptions), std::end(kDescriptions),
                                   [&](const Description& known) { return known.name == name; });
    if (row == std::end(kDescriptions)) {
      std::vector<std::string_view> names;
      for (const Description& known : kDescriptions) names.push_back(known.name);
      return absl::InvalidArgumentError("unknown mechanism '" + name + "': use one of " +
                                        joined(names));
    }
    mechanisms.disable(row->mechanism);
  }
  return mechanisms;
}

std::string mechanismsHelp() {
  std::string text;
  for (const Description& row : kDescriptions) {
    std::string name(row.name);
    name.resize(kNameWidth, ' ');
    text += "  " + name + std::string(row.fallback) + "\n";
  }
  return text;
}

}  // namespace quayrill
