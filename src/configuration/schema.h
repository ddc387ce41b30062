#pragma once
// Validation of JSON documents against a JSON schema.
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace quayrill {

// A violation of a schema.
struct SchemaError {
  std::string path;  // of the offending field
  std::string what;  // what is wrong with it, and the remedy
};

// The violation that names a field of `document` most precisely; nullopt if the document is valid.
// `schema` is a JSON text and must itself be a valid schema.
std::optional<SchemaError> schemaError(const char* schema, const nlohmann::json& document);

}  // namespace quayrill
