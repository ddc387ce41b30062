#include "boot/boot.h"

#include <unistd.h>

#include <boost/asio/ip/address_v4.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "spec/schema.h"

namespace quayrill {

namespace {

using Json = nlohmann::json;

constexpr char kBootSchema[] = R"json({
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
    "copies_wanted": {"type": "integer", "minimum": 1, "maximum": 7},
    "block_tokens": {"type": "integer", "minimum": 1, "maximum": 1024},
    "traffic_threads": {"type": "integer", "minimum": 1, "maximum": 64},
    "fresh_limit_ms": {"type": "integer", "minimum": 500, "maximum": 3000},
    "grace_ms": {"type": "integer", "minimum": 0, "maximum": 600000}
  }
})json";

absl::Status bad(const std::string& field, const std::string& remedy) {
  return absl::InvalidArgumentError("setting '" + field + "': " + remedy);
}

// Flags are text; the schema wants numbers and lists where settings files have them.
Json flagValue(const std::string& name, const std::string& text) {
  if (name == "seeds") {
    Json list = Json::array();
    std::istringstream parts(text);
    for (std::string part; std::getline(parts, part, ',');) list.push_back(part);
    return list;
  }
  static const std::set<std::string> kNumbers = {"copies_wanted", "block_tokens", "traffic_threads",
                                                 "fresh_limit_ms", "grace_ms"};
  if (kNumbers.contains(name)) {
    Json number = Json::parse(text, nullptr, false);
    if (number.is_number_integer()) return number;
  }
  return text;
}

// A folder on a full disk passes: the process then serves without a voting copy until there is
// room.
absl::Status checkFolder(const std::string& folder) {
  std::error_code defect;
  std::filesystem::create_directories(folder, defect);
  if (defect || ::access(folder.c_str(), R_OK | W_OK | X_OK) != 0)
    return bad("data_folder", "'" + folder +
                                  "' can't be written: name a folder "
                                  "that this user may write");
  return absl::OkStatus();
}

absl::Status checkAddresses(const Boot& boot) {
  const bool agent = boot.role != "proxy";
  struct Row {
    const char* field;
    const Address& address;
    bool needed;
    bool own;
  };
  const Row rows[] = {
      {"cohort", boot.cohort, agent, agent}, {"operators", boot.operators, true, true},
      {"callers", boot.callers, true, true}, {"platform", boot.platform, agent, false},
      {"store", boot.store, false, false},   {"cohort_via", boot.cohortVia, false, false}};
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
  boost::system::error_code defect;
  if (colon == std::string::npos) return bad(field, "'" + text + "' has no port: give ip:port");
  boost::asio::ip::make_address_v4(text.substr(0, colon), defect);
  if (defect)
    return bad(field,
               "'" + text + "' is no IPv4 number: host names are not looked up, give ip:port");
  const std::string port = text.substr(colon + 1);
  const bool digits = !port.empty() && port.size() <= 5 &&
                      port.find_first_not_of("0123456789") == std::string::npos;
  if (!digits || std::stoul(port) == 0 || std::stoul(port) > 65535)
    return bad(field, "'" + text + "' has a bad port: give one from 1 to 65535");
  return absl::OkStatus();
}

absl::StatusOr<Boot> loadBoot(const BootAsked& asked) {
  if (asked.settingsFile.empty()) return readBoot("{}", asked.flags);
  std::ifstream in(asked.settingsFile);
  if (!in) return bad("settings", "'" + asked.settingsFile + "' can't be read: name a JSON file");
  std::ostringstream text;
  text << in.rdbuf();
  return readBoot(text.str(), asked.flags);
}

absl::StatusOr<Boot> readBoot(const std::string& settingsText,
                              const std::map<std::string, std::string>& flags) {
  Json settings = Json::parse(settingsText, nullptr, false);
  if (!settings.is_object()) return bad("settings", "the file is no JSON object: correct it");
  for (const auto& [name, flag] : flags) settings[name] = flagValue(name, flag);
  if (const auto defect = schemaDefect(kBootSchema, settings))
    return bad(defect->path, defect->what);
  Boot boot;
  const auto text = [&](const char* name) { return settings.value(name, std::string{}); };
  boot.role = settings.value("role", boot.role);
  boot.cohort = Address{text("cohort")};
  boot.operators = Address{text("operators")};
  boot.callers = Address{text("callers")};
  boot.zone = settings.value("zone", "zone");
  boot.dataFolder = text("data_folder");
  boot.diskDrag = text("disk_drag");
  boot.platform = Address{text("platform")};
  boot.store = Address{text("store")};
  boot.cohortVia = Address{text("cohort_via")};
  boot.placement = settings.value("placement", boot.placement);
  boot.fetch = settings.value("fetch", "on") == "on";
  boot.copiesWanted = settings.value("copies_wanted", boot.copiesWanted);
  boot.blockTokens = settings.value("block_tokens", boot.blockTokens);
  boot.trafficThreads = settings.value("traffic_threads", boot.trafficThreads);
  boot.freshLimit =
      std::chrono::milliseconds(settings.value("fresh_limit_ms", boot.freshLimit.count()));
  boot.grace = std::chrono::milliseconds(settings.value("grace_ms", boot.grace.count()));
  for (const auto& seed : settings.value("seeds", Json::array())) {
    const std::string address = seed.get<std::string>();
    if (auto status = checkAddress("seeds", address); !status.ok()) return status;
    boot.seeds.push_back(Address{address});
  }
  if (boot.role != "proxy" && boot.seeds.empty())
    return bad("seeds", "missing: name three cohort addresses, the same on every machine");
  if (auto status = checkAddresses(boot); !status.ok()) return status;
  if (boot.role != "proxy" && !boot.dataFolder.empty()) {
    if (auto status = checkFolder(boot.dataFolder); !status.ok()) return status;
  }
  return boot;
}

}  // namespace quayrill
