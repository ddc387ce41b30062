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

// The first violation in `document`, by the field that violates the schema itself and not only
// through its items or members; nullopt if the document is valid. Time and memory are in proportion
// to the document, however many violations it has. `schema` is a JSON text and must itself be a
// valid schema.
std::optional<SchemaError> schemaError(const char* schema, const nlohmann::json& document);

}  // namespace quayrill
