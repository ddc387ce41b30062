#pragma once
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace quayrill {

struct SchemaError {
  std::string path;  // of the offending field
  std::string what;  // what is wrong there, and the remedy
};

// The first thing in `document` that `schema` does not allow, if any.
std::optional<SchemaError> schemaError(const char* schema, const nlohmann::json& document);

}  // namespace quayrill
