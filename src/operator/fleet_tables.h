#pragma once
// What a fleet says of itself, as tables in memory that SQL can be asked of.
#include <absl/status/statusor.h>

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace quayrill {

struct QueryResult {
  std::vector<std::string> columns;
  std::vector<nlohmann::json> rows;  // each an array, one value a column
};

// `read` answers a path of the operator API with its JSON; a table is read only where the query
// names it. Nothing but reading is allowed; a error names the remedy.
using PathReader = std::function<absl::StatusOr<nlohmann::json>(const std::string& path)>;
absl::StatusOr<QueryResult> queryFleet(const std::string& sql, const PathReader& read);

}  // namespace quayrill
