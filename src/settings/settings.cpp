#include "settings/settings.h"

#include <unistd.h>

#include <boost/asio/ip/address_v4.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "configuration/schema.h"

namespace quayrill {

namespace {

using Json = nlohmann::json;

constexpr char kSettingsSchema[] = R"json({
  "type": "object", "additionalProperties": false,
  "properties": {
    "role": {"type": "string", "enum": ["proxy", "agent", "both"]},
    "cohort": {"type": "string"}, "operators": {"type": "string"}, "callers": {"type": "string"},
    "zone": {"type": "string", "minLength": 1}, "data_folder": {"type": "string"},
    "seeds": {"type": "array", "items": {"type": "string"}, "minItems": 1, "maxItems": 3},
    "platform": {"type": "string"}, "store": {"type": "string"}, "cohort_via": {"type": "string"},
    "disk_drag": {"type": "string"},
    "placement": {"type": "string", "enum": ["prefix", "least-burden", "round-robin"]},
    "fetch": {"type": "string", "enum": ["on", "off"]},
    "without": {"type": "string"},
    "copies_wanted": {"type": "integer", "minimum": 1, "maximum": 9},
    "bear_machines": {"type": "integer", "minimum": 0, "maximum": 4},
    "bear_zones": {"type": "integer", "minimum": 0, "maximum": 4},
    "bear_regions": {"type": "integer", "minimum": 0, "maximum": 4},
    "region_of_zone": {"type": "object", "additionalProperties": {"type": "string"}},
    "catch_up_ms": {"type": "integer", "minimum": 0, "maximum": 600000},
    "block_tokens": {"type": "integer", "minimum": 1, "maximum": 1024},
    "traffic_threads": {"type": "integer", "minimum": 1, "maximum": 64},
    "fresh_limit_ms": {"type": "integer", "minimum": 500, "maximum": 3000},
    "grace_ms": {"type": "integer", "minimum": 0, "maximum": 600000}
  }
})json";

// The error that the setting `field` is invalid.
absl::Status fieldError(const std::string& field, const std::string& remedy) {
  return absl::InvalidArgumentError("setting '" + field + "': " + remedy);
}

// The value of a flag in the type that the schema requires: numbers and lists instead of text.
Json flagValue(const std::string& name, const std::string& text) {
  if (name == "seeds") {
    Json list = Json::array();
    std::istringstream parts(text);
    for (std::string part; std::getline(parts, part, ',');) list.push_back(part);
    return list;
  }
  static const std::set<std::string> kNumbers = {
      "copies_wanted", "bear_machines",   "bear_zones",     "bear_regions", "catch_up_ms",
      "block_tokens",  "traffic_threads", "fresh_limit_ms", "grace_ms"};
  if (kNumbers.contains(name)) {
    Json number = Json::parse(text, nullptr, false);
    if (number.is_number_integer()) return number;
  }
  return text;
}

// Checks that the data folder is writable. A folder on a full disk passes: the process then runs
// without a voting replica until there is space.
absl::Status checkFolder(const std::string& folder) {
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  if (error || ::access(folder.c_str(), R_OK | W_OK | X_OK) != 0)
    return fieldError("data_folder", "'" + folder +
                                         "' is not writable: name a folder "
                                         "that this user may write to");
  return absl::OkStatus();
}

// Reads the number of register replicas and the losses that they must tolerate. Without a setting
// for losses of machines, they tolerate as many as leave a majority.
absl::Status readLosses(const Json& fields, Settings* settings) {
  settings->replicasWanted = fields.value("copies_wanted", settings->replicasWanted);
  settings->losses.machines = fields.value("bear_machines", (settings->replicasWanted - 1) / 2);
  settings->losses.zones = fields.value("bear_zones", settings->losses.zones);
  settings->losses.regions = fields.value("bear_regions", settings->losses.regions);
  std::set<std::string> regions;
  const Json zones = fields.value("region_of_zone", Json::object());
  for (auto row = zones.begin(); row != zones.end(); ++row) {
    const std::string region = row.value().get<std::string>();
    settings->topology.regionOfZone[row.key()] = region;
    regions.insert(region);
  }
  if (settings->losses.zones > 0 &&
      settings->topology.regionOfZone.size() <= 2 * settings->losses.zones)
    return fieldError("bear_zones", "name more than twice as many zones under region_of_zone");
  if (settings->losses.regions > 0 && regions.size() <= 2 * settings->losses.regions)
    return fieldError("bear_regions", "name more than twice as many regions under region_of_zone");
  if (!fields.contains("bear_machines") && settings->losses.zones + settings->losses.regions == 0)
    return absl::OkStatus();
  const std::size_t needed = replicasWanted(settings->losses, settings->topology);
  if (fields.contains("copies_wanted") && settings->replicasWanted < needed)
    return fieldError("copies_wanted", std::to_string(settings->replicasWanted) +
                                           " replicas don't bear these losses: give at least " +
                                           std::to_string(needed) + " or leave the field out");
  settings->replicasWanted = std::max(settings->replicasWanted, needed);
  return absl::OkStatus();
}

// Checks that required addresses are set, all are valid, and no two listeners share one.
absl::Status checkAddresses(const Settings& settings) {
  const bool isAgent = settings.role != "proxy";
  struct Row {
    const char* field;
    const Address& address;
    bool isRequired;
    bool isListener;  // this process listens there
  };
  const Row rows[] = {{"cohort", settings.peerAddress, isAgent, isAgent},
                      {"operators", settings.operatorAddress, true, true},
                      {"callers", settings.callerAddress, true, true},
                      {"platform", settings.platformAddress, isAgent, false},
                      {"store", settings.storeAddress, false, false},
                      {"cohort_via", settings.peerRelay, false, false}};
  std::map<Address, std::string> fieldByAddress;
  for (const Row& row : rows) {
    if (row.address.value.empty()) {
      if (row.isRequired) return fieldError(row.field, "missing: give it as ip:port");
      continue;
    }
    if (auto status = checkAddress(row.field, row.address.value); !status.ok()) return status;
    if (!row.isListener) continue;
    const auto [other, isNew] = fieldByAddress.try_emplace(row.address, row.field);
    if (!isNew)
      return fieldError(row.field,
                        "same ip and port as '" + other->second + "': give each its own port");
  }
  return absl::OkStatus();
}

}  // namespace

absl::Status checkAddress(const std::string& field, const std::string& text) {
  const auto colon = text.rfind(':');
  boost::system::error_code error;
  if (colon == std::string::npos)
    return fieldError(field, "'" + text + "' has no port: give ip:port");
  boost::asio::ip::make_address_v4(text.substr(0, colon), error);
  if (error)
    return fieldError(
        field,
        "'" + text + "' has no numeric IPv4 address: host names are not resolved, give ip:port");
  const std::string port = text.substr(colon + 1);
  const bool isNumber = !port.empty() && port.size() <= 5 &&
                        port.find_first_not_of("0123456789") == std::string::npos;
  if (!isNumber || std::stoul(port) == 0 || std::stoul(port) > 65535)
    return fieldError(field, "'" + text + "' has a bad port: give one from 1 to 65535");
  return absl::OkStatus();
}

absl::StatusOr<Settings> loadSettings(const SettingsArguments& arguments) {
  if (arguments.settingsFile.empty()) return readSettings("{}", arguments.flags);
  std::ifstream in(arguments.settingsFile);
  if (!in)
    return fieldError("settings",
                      "'" + arguments.settingsFile + "' can't be read: name a readable JSON file");
  std::ostringstream text;
  text << in.rdbuf();
  return readSettings(text.str(), arguments.flags);
}

absl::StatusOr<Settings> readSettings(const std::string& settingsText,
                                      const std::map<std::string, std::string>& flags) {
  Json fields = Json::parse(settingsText, nullptr, false);
  if (!fields.is_object())
    return fieldError("settings", "the file is not a JSON object: correct it");
  for (const auto& [name, flag] : flags) fields[name] = flagValue(name, flag);
  if (const auto error = schemaError(kSettingsSchema, fields))
    return fieldError(error->path, error->what);
  Settings settings;
  const auto text = [&](const char* name) { return fields.value(name, std::string{}); };
  settings.role = fields.value("role", settings.role);
  settings.peerAddress = Address{text("cohort")};
  settings.operatorAddress = Address{text("operators")};
  settings.callerAddress = Address{text("callers")};
  settings.zone = fields.value("zone", "zone");
  settings.dataFolder = text("data_folder");
  settings.syncDelayFile = text("disk_drag");
  settings.platformAddress = Address{text("platform")};
  settings.storeAddress = Address{text("store")};
  settings.peerRelay = Address{text("cohort_via")};
  settings.placement = fields.value("placement", settings.placement);
  settings.fetch = fields.value("fetch", "on") == "on";
  const auto mechanisms = parseDisabledMechanisms(text("without"));
  if (!mechanisms.ok()) return fieldError("without", std::string(mechanisms.status().message()));
  settings.mechanisms = *mechanisms;
  if (auto status = readLosses(fields, &settings); !status.ok()) return status;
  settings.catchUp =
      std::chrono::milliseconds(fields.value("catch_up_ms", settings.catchUp.count()));
  settings.blockTokens = fields.value("block_tokens", settings.blockTokens);
  settings.trafficThreads = fields.value("traffic_threads", settings.trafficThreads);
  settings.stalenessLimit =
      std::chrono::milliseconds(fields.value("fresh_limit_ms", settings.stalenessLimit.count()));
  settings.shutdownGrace =
      std::chrono::milliseconds(fields.value("grace_ms", settings.shutdownGrace.count()));
  for (const auto& seed : fields.value("seeds", Json::array())) {
    const std::string address = seed.get<std::string>();
    if (auto status = checkAddress("seeds", address); !status.ok()) return status;
    settings.seeds.push_back(Address{address});
  }
  if (settings.role != "proxy" && settings.seeds.empty())
    return fieldError("seeds",
                      "missing: name three peer addresses, the same ones on every machine");
  if (auto status = checkAddresses(settings); !status.ok()) return status;
  if (settings.role != "proxy" && !settings.dataFolder.empty()) {
    if (auto status = checkFolder(settings.dataFolder); !status.ok()) return status;
  }
  return settings;
}

std::size_t memoryLimitOf(const Settings& settings) {
  if (settings.memoryLimit > 0) return settings.memoryLimit;
  const long pages = ::sysconf(_SC_PHYS_PAGES), pageSize = ::sysconf(_SC_PAGESIZE);
  constexpr std::size_t kSmallMachine = 256 << 20;  // bytes; where the machine does not tell
  if (pages <= 0 || pageSize <= 0) return kSmallMachine;
  return static_cast<std::size_t>(pages) * static_cast<std::size_t>(pageSize) / 2;
}

}  // namespace quayrill
