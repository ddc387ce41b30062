#include "configuration/schema.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace quayrill {

namespace {
using Json = nlohmann::json;
using Adapter = valijson::adapters::NlohmannJsonAdapter;

// A schema, or a part of one, ready to judge values.
class CompiledSchema {
 public:
  // `part` may refer to the definitions of `root`.
  CompiledSchema(const Json& root, Json part) : text_(std::move(part)) {
    if (root.contains("definitions")) text_["definitions"] = root["definitions"];
    valijson::SchemaParser parser;
    parser.populateSchema(Adapter(text_), schema_);
  }

  // Stops at the first violation and collects nothing.
  bool accepts(const Json& value) const {
    valijson::Validator validator;
    return validator.validate(schema_, Adapter(value), nullptr);
  }

  // The description of a violation; "" if there is none. Collects all of them, so `value` must be
  // able to have few only.
  std::string violationIn(const Json& value) const {
    valijson::Validator validator;
    valijson::ValidationResults results;
    validator.validate(schema_, Adapter(value), &results);
    valijson::ValidationResults::Error error;
    while (results.popError(error)) {
    }
    return error.description;
  }

 private:
  Json text_;
  valijson::Schema schema_;
};

// The schema that `schema` refers to, or itself.
const Json& resolved(const Json& root, const Json& schema) {
  const auto reference = schema.find("$ref");
  if (reference == schema.end()) return schema;
  return root.at(Json::json_pointer(reference->get<std::string>().substr(1)));
}

// The schema of an object's member; null if all values are allowed, or none is.
const Json* memberSchema(const Json& schema, const std::string& member) {
  if (const auto known = schema.find("properties"); known != schema.end()) {
    if (const auto row = known->find(member); row != known->end()) return &*row;
  }
  const auto others = schema.find("additionalProperties");
  return others != schema.end() && others->is_object() ? &*others : nullptr;
}

// Whether a number in the value is above the largest signed one: the validator would take it for a
// negative one.
bool hasLargeNumber(const Json& value) {
  if (value.is_number_unsigned())
    return value.get<std::uint64_t>() > std::numeric_limits<std::int64_t>::max();
  return value.is_structured() && std::any_of(value.begin(), value.end(), hasLargeNumber);
}

// Replaces each such number by the nearest floating-point one.
void widenLargeNumbers(Json* value) {
  if (value->is_number_unsigned() && hasLargeNumber(*value))
    *value = static_cast<double>(value->get<std::uint64_t>());
  if (!value->is_structured()) return;
  for (Json& child : *value) widenLargeNumbers(&child);
}

// A value that violates `schema`, with its path.
struct Violation {
  const Json* schema;
  const Json* value;
  std::string path;
};

// The first item or member of the violating value that violates the schema itself.
std::optional<Violation> violatingChild(const Json& root, const Violation& parent) {
  const Json* compiledPart = nullptr;
  std::optional<CompiledSchema> compiled;
  const auto accepts = [&](const Json& part, const Json& child) {
    if (compiledPart != &part) {
      compiled.emplace(root, part);
      compiledPart = &part;
    }
    return compiled->accepts(child);
  };
  if (parent.value->is_array() && parent.schema->contains("items")) {
    const Json& part = (*parent.schema)["items"];
    for (std::size_t i = 0; i < parent.value->size(); ++i) {
      const Json& item = (*parent.value)[i];
      if (!accepts(part, item))
        return Violation{&resolved(root, part), &item, parent.path + "/" + std::to_string(i)};
    }
  }
  if (parent.value->is_object()) {
    for (const auto& [name, member] : parent.value->items()) {
      const Json* part = memberSchema(*parent.schema, name);
      if (part && !accepts(*part, member))
        return Violation{&resolved(root, *part), &member, parent.path + "/" + name};
    }
  }
  return std::nullopt;
}

// What the value violates of the schema apart from its items and members, which are valid. Of an
// object's unknown members one is judged for all: there may be any number of them.
std::string ownViolation(const Json& root, const Violation& violation) {
  Json schema = *violation.schema;
  schema.erase("items");
  if (!violation.value->is_object())
    return CompiledSchema(root, schema).violationIn(*violation.value);
  Json few = Json::object();
  bool hasUnknown = false;
  for (const auto& [name, member] : violation.value->items()) {
    const bool isKnown = schema.contains("properties") && schema["properties"].contains(name);
    if (!isKnown && std::exchange(hasUnknown, true)) continue;
    few[name] = member;
  }
  return CompiledSchema(root, schema).violationIn(few);
}
}  // namespace

std::optional<SchemaError> schemaError(const char* schemaText, const nlohmann::json& document) {
  if (hasLargeNumber(document)) {
    Json widened = document;
    widenLargeNumbers(&widened);
    return schemaError(schemaText, widened);
  }
  const Json root = Json::parse(schemaText);
  if (CompiledSchema(root, root).accepts(document)) return std::nullopt;
  Violation violation{&root, &document, ""};
  while (auto child = violatingChild(root, violation)) violation = *std::move(child);
  return SchemaError{violation.path.empty() ? "/" : violation.path,
                     ownViolation(root, violation) + " Correct or remove it."};
}

}  // namespace quayrill
