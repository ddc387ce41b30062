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

absl::Status bad(const std::string& field, const std::string& remedy) {
  return absl::InvalidArgumentError("setting '" + field + "': " + remedy);
}

// Flags are text; the schema wants numbers and lists where fields files have them.
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

// A folder on a full disk passes: the process then serves without a voting copy until there is
// room.
absl::Status checkFolder(const std::string& folder) {
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  if (error || ::access(folder.c_str(), R_OK | W_OK | X_OK) != 0)
    return bad("data_folder", "'" + folder +
                                  "' can't be written: name a folder "
                                  "that this user may write");
  return absl::OkStatus();
}

// The number of register replicas and the losses that they must bear. Without a setting for the
// losses of machines the replicas bear as many as a majority of them allows.
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
    return bad("bear_zones", "name more than twice as many zones under region_of_zone");
  if (settings->losses.regions > 0 && regions.size() <= 2 * settings->losses.regions)
    return bad("bear_regions", "name more than twice as many regions under region_of_zone");
  if (!fields.contains("bear_machines") && settings->losses.zones + settings->losses.regions == 0)
    return absl::OkStatus();
  const std::size_t needed = replicasWanted(settings->losses, settings->topology);
  if (fields.contains("copies_wanted") && settings->replicasWanted < needed)
    return bad("copies_wanted", std::to_string(settings->replicasWanted) +
                                    " don't bear these losses: give at least " +
                                    std::to_string(needed) + " or leave the field out");
  settings->replicasWanted = std::max(settings->replicasWanted, needed);
  return absl::OkStatus();
}

absl::Status checkAddresses(const Settings& settings) {
  const bool agent = settings.role != "proxy";
  struct Row {
    const char* field;
    const Address& address;
    bool needed;
    bool own;
  };
  const Row rows[] = {{"cohort", settings.peerAddress, agent, agent},
                      {"operators", settings.operatorAddress, true, true},
                      {"callers", settings.callerAddress, true, true},
                      {"platform", settings.platformAddress, agent, false},
                      {"store", settings.storeAddress, false, false},
                      {"cohort_via", settings.peerRelay, false, false}};
  std::map<Address, std::string> taken;
  for (const Row& row : rows) {
    if (row.address.value.empty()) {
      if (row.needed) return bad(row.field, "missing: give it as ip:port");
      continue;
    }
    if (auto status = checkAddress(row.field, row.address.value); !status.ok()) return status;
    if (!row.own) continue;
    const auto [other, fresh] = taken.try_emplace(row.address, row.field);
    if (!fresh)
      return bad(row.field, "same ip and port as '" + other->second + "': give each its own port");
  }
  return absl::OkStatus();
}

}  // namespace

absl::Status checkAddress(const std::string& field, const std::string& text) {
  const auto colon = text.rfind(':');
  boost::system::error_code error;
  if (colon == std::string::npos) return bad(field, "'" + text + "' has no port: give ip:port");
  boost::asio::ip::make_address_v4(text.substr(0, colon), error);
  if (error)
    return bad(field,
               "'" + text + "' is no IPv4 number: host names are not looked up, give ip:port");
  const std::string port = text.substr(colon + 1);
  const bool digits = !port.empty() && port.size() <= 5 &&
                      port.find_first_not_of("0123456789") == std::string::npos;
  if (!digits || std::stoul(port) == 0 || std::stoul(port) > 65535)
    return bad(field, "'" + text + "' has a bad port: give one from 1 to 65535");
  return absl::OkStatus();
}

absl::StatusOr<Settings> loadSettings(const SettingsArguments& asked) {
  if (asked.settingsFile.empty()) return readSettings("{}", asked.flags);
  std::ifstream in(asked.settingsFile);
  if (!in) return bad("settings", "'" + asked.settingsFile + "' can't be read: name a JSON file");
  std::ostringstream text;
  text << in.rdbuf();
  return readSettings(text.str(), asked.flags);
}

absl::StatusOr<Settings> readSettings(const std::string& settingsText,
                                      const std::map<std::string, std::string>& flags) {
  Json fields = Json::parse(settingsText, nullptr, false);
  if (!fields.is_object()) return bad("settings", "the file is no JSON object: correct it");
  for (const auto& [name, flag] : flags) fields[name] = flagValue(name, flag);
  if (const auto error = schemaError(kSettingsSchema, fields)) return bad(error->path, error->what);
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
  if (!mechanisms.ok()) return bad("without", std::string(mechanisms.status().message()));
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
    return bad("seeds", "missing: name three peer addresses, the same on every machine");
  if (auto status = checkAddresses(settings); !status.ok()) return status;
  if (settings.role != "proxy" && !settings.dataFolder.empty()) {
    if (auto status = checkFolder(settings.dataFolder); !status.ok()) return status;
  }
  return settings;
}

}  // namespace quayrill
