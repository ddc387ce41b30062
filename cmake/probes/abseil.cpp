// Makes, formats and reads a status, as the whole tree does.
#include <absl/status/statusor.h>

int main() {
  const absl::StatusOr<int> refused = absl::InvalidArgumentError("probe");
  return refused.status().ToString().find("probe") == std::string::npos ? 1 : 0;
}
