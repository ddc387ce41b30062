#include "configuration/schema.h"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace quayrill {

std::optional<SchemaError> schemaError(const char* schemaText, const nlohmann::json& document) {
  const auto schemaJson = nlohmann::json::parse(schemaText);
  valijson::Schema schema;
  valijson::SchemaParser parser;
  parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schemaJson), schema);
  valijson::Validator validator;
  valijson::ValidationResults results;
  if (validator.validate(schema, valijson::adapters::NlohmannJsonAdapter(document), &results))
    return std::nullopt;
  // The validator reports a violation at every level. The deepest report names the field itself.
  SchemaError deepestError;
  std::size_t maxDepth = 0;
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    if (!deepestError.what.empty() && error.context.size() < maxDepth) continue;
    maxDepth = error.context.size();
    deepestError.path.clear();
    for (const std::string& step : error.context) {
      if (step == "<root>") continue;
      const bool isIndex = step.size() > 2 && step.front() == '[';
      deepestError.path += "/" + (isIndex ? step.substr(1, step.size() - 2) : step);
    }
    if (deepestError.path.empty()) deepestError.path = "/";
    deepestError.what = error.description + " Correct or remove it.";
  }
  return deepestError;
}

}  // namespace quayrill
