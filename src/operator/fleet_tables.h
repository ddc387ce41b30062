#pragma once
// SQL over the state of a fleet: answers of the operator API, loaded into in-memory SQLite tables.
#include <absl/status/statusor.h>

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace quayrill {

// Result of a query.
struct QueryResult {
  std::vector<std::string> columns;
  std::vector<nlohmann::json> rows;  // each an array with one value per column
};

// Fetches a path of the operator API and returns its JSON.
using PathReader = std::function<absl::StatusOr<nlohmann::json>(const std::string& path)>;
// Runs one SELECT. Fetches only the tables that the query names; statements that write are
// rejected. An error names the remedy.
absl::StatusOr<QueryResult> queryFleet(const std::string& sql, const PathReader& read);

}  // namespace quayrill
