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
  // The deepest report names the field itself; the ones above only say that something below failed.
  SchemaError found;
  std::size_t deepest = 0;
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    if (!found.what.empty() && error.context.size() < deepest) continue;
    deepest = error.context.size();
    found.path.clear();
    for (const std::string& step : error.context) {
      if (step == "<root>") continue;
      const bool bracketed = step.size() > 2 && step.front() == '[';
      found.path += "/" + (bracketed ? step.substr(1, step.size() - 2) : step);
    }
    if (found.path.empty()) found.path = "/";
    found.what = error.description + " Correct or remove it.";
  }
  return found;
}

}  // namespace quayrill
