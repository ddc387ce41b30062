// quayrillctl: command line tool for operators.
#include <docopt/docopt.h>

#include <fstream>
#include <iostream>

#include "base/build_identity.h"
#include "base/digest.h"
#include "net/http.h"
#include "operator/fleet_tables.h"
#include "settings/settings.h"

namespace {
using namespace quayrill;
using namespace std::chrono_literals;
using Json = nlohmann::json;

constexpr char kUsage[] = R"(quayrillctl: operates a quayrill fleet through any one of its daemons.

Usage:
  quayrillctl [--daemon=ADDR] [--json] spec get
  quayrillctl [--daemon=ADDR] [--json] spec put FILE --expect=VERSION
  quayrillctl [--daemon=ADDR] [--json] spec patch FILE [--expect=VERSION]
  quayrillctl [--daemon=ADDR] [--json] key add TENANT SECRET
  quayrillctl [--daemon=ADDR] [--json] key withdraw TENANT SECRET
  quayrillctl [--daemon=ADDR] [--json] weights name MODEL VERSION
  quayrillctl [--daemon=ADDR] [--json] members
  quayrillctl [--daemon=ADDR] [--json] builds
  quayrillctl [--daemon=ADDR] [--json] query SQL
  quayrillctl [--daemon=ADDR] [--json] refound [--spec=FILE] [--confirm=FLEET]
  quayrillctl [--daemon=ADDR] [--json] decisions [--from=POSITION] [--callers=ADDR] [--follow]
  quayrillctl [--json] explain REQUEST
  quayrillctl --help | --version

Options:
  --daemon=ADDR      Operator address of a daemon [default: 127.0.0.1:7101].
  --expect=VERSION   The version you read; the change is rejected if another one came in between.
  --spec=FILE        A spec saved with 'spec get', for the new register.
  --confirm=FLEET    The fleet to give up; without it, refound only reports what would be lost.
  --from=POSITION    Read decisions from this position on [default: 0].
  --callers=ADDR     Read the decisions of the proxy at this callers' address, not the agent's.
  --follow           Keep reading as decisions are made.
  --json             Bare JSON on stdout, one object per line.
  -h --help          Show this text.
  --version          Show the version.

SQL is one SELECT over members, copies, builds, servers, tenants, contracts, ways and decisions, as
the daemon knows them now. refound is the last resort when a majority of the register's disks is lost:
it founds a new register on the disk of the called daemon.

FILE may be - for standard input. A request's id is in its answer's Quayrill-Request-Id.

Exit codes: 0 done, 1 rejected or not found, 2 bad usage, 3 unknown whether it was done,
            4 the daemon can't be reached.
)";

// Exit codes, as documented in kUsage.
enum Exit { kDone = 0, kRejected = 1, kUsageExit = 2, kUnknownExit = 3, kUnreachable = 4 };

// Result of a call to a daemon. `response` is set unless the call failed before an answer came.
struct CallResult {
  int exit = kDone;
  HttpResponse response;
};

// Calls a daemon; prints an error to stderr, if any.
CallResult call(const Address& to, http::verb verb, const std::string& target,
                std::string body = {}) {
  asio::io_context io;
  absl::StatusOr<HttpResponse> response = absl::UnknownError("no answer");
  HttpCall request;
  request.to = to;
  request.verb = verb;
  request.target = target;
  request.body = std::move(body);
  request.timeout = 8s;
  asio::co_spawn(
      io, [&]() -> awaitable<void> { response = co_await httpCall(request); }, asio::detached);
  io.run();
  if (!response.ok()) {
    const bool sent = response.status().code() != absl::StatusCode::kUnavailable;
    const bool changes = verb != http::verb::get;
    std::cerr << "quayrillctl: " << to.value << ": " << response.status().message() << ": "
              << (sent && changes ? "read the configuration to see whether the change was made"
                                  : "name another daemon with --daemon")
              << "\n";
    return {sent && changes ? kUnknownExit : kUnreachable, {}};
  }
  if (response->result_int() == 200) return {kDone, *response};
  const Json json = Json::parse(response->body(), nullptr, false);
  std::cerr << "quayrillctl: "
            << (json.is_object() ? json.value("message", response->body()) : response->body())
            << "\n";
  return {response->result_int() == 504 ? kUnknownExit : kRejected, *response};
}

// A configuration with its version; `exit` tells whether it could be read.
struct VersionedConfiguration {
  int exit = kDone;
  std::uint64_t version = 0;
  Json configuration;
};

VersionedConfiguration readConfiguration(const Address& daemon) {
  const CallResult answer = call(daemon, http::verb::get, "/q/spec?settled=1");
  if (answer.exit != kDone) return {answer.exit, 0, {}};
  const Json json = Json::parse(answer.response.body());
  return {kDone, json["version"].get<std::uint64_t>(), json["spec"]};
}

int sendConfiguration(const Address& daemon, http::verb verb, std::uint64_t expect,
                      const std::string& body, bool json) {
  const CallResult answer = call(daemon, verb, "/q/spec?expect=" + std::to_string(expect), body);
  if (answer.exit != kDone) return answer.exit;
  if (json)
    std::cout << answer.response.body();
  else
    std::cout << "version " << Json::parse(answer.response.body())["version"] << " acknowledged\n";
  return kDone;
}

std::string readFile(const std::string& name) {
  if (name == "-")
    return {std::istreambuf_iterator<char>(std::cin), std::istreambuf_iterator<char>()};
  std::ifstream in(name);
  if (!in) throw std::invalid_argument("'" + name + "' can't be read: name a JSON file");
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

int changeKey(const Address& daemon, const std::string& tenant, const std::string& secret, bool add,
              bool json) {
  const VersionedConfiguration current = readConfiguration(daemon);
  if (current.exit != kDone) return current.exit;
  if (!current.configuration["tenants"].contains(tenant)) {
    std::cerr << "quayrillctl: no tenant '" << tenant << "': add it with 'spec patch' first\n";
    return kRejected;
  }
  const std::string digest = keyDigest(secret);
  Json keys = Json::array();
  bool found = false;
  for (const auto& key : current.configuration["tenants"][tenant].value("keys", Json::array())) {
    found = found || key == digest;
    if (add || key != digest) keys.push_back(key);
  }
  if (!add && !found) {
    std::cerr << "quayrillctl: tenant '" << tenant << "' has no such key: nothing was withdrawn\n";
    return kRejected;
  }
  if (add && !found) keys.push_back(digest);
  const Json patch{{"tenants", {{tenant, {{"keys", keys}}}}}};
  return sendConfiguration(daemon, http::verb::patch, current.version, patch.dump(), json);
}

int showMembers(const Address& daemon, bool json) {
  const CallResult answer = call(daemon, http::verb::get, "/q/members");
  if (answer.exit != kDone) return answer.exit;
  if (json) {
    std::cout << answer.response.body();
    return kDone;
  }
  const Json all = Json::parse(answer.response.body());
  for (const auto& row : all["members"])
    std::cout << row["cohort"].get<std::string>() << "  " << row["zone"].get<std::string>()
              << "  configuration " << row["spec_in_force"]
              << (row["leaving"] == true ? "  leaving" : "") << (row["store"] != 0 ? "  disk" : "")
              << "\n";
  const Json& replicas = all["copies"];
  std::cout << "fleet " << replicas["fleet"] << ", register replicas, epoch " << replicas["epoch"]
            << (replicas["settled"] == true ? "" : ", being settled") << ":";
  for (const auto& row : replicas["members"]) std::cout << " " << row["cohort"].get<std::string>();
  std::cout << "\n";
  return kDone;
}

// Says for each live daemon which build it is, and at last whether they differ.
int showBuilds(const Address& daemon, bool json) {
  const CallResult answer = call(daemon, http::verb::get, "/q/builds");
  if (answer.exit != kDone) return answer.exit;
  if (json) {
    std::cout << answer.response.body();
    return kDone;
  }
  const Json all = Json::parse(answer.response.body());
  for (const auto& row : all["builds"])
    std::cout << row["cohort"].get<std::string>() << "  "
              << (row["build"].is_string() ? row["build"].get<std::string>() : "no answer") << "\n";
  if (all["mixed"] == true)
    std::cout << "the daemons differ: restart those of the older build, and look at silent ones\n";
  return kDone;
}

int showDecisions(const Address& daemon, std::uint64_t from, bool follow) {
  for (;;) {
    const CallResult answer =
        call(daemon, http::verb::get, "/q/decisions?from=" + std::to_string(from));
    if (answer.exit != kDone) return answer.exit;
    const Json page = Json::parse(answer.response.body());
    const auto first = page["first"].get<std::uint64_t>();
    if (first > from && from > 0)
      std::cout << Json{{"gap", {{"from", from}, {"to", first}}}}.dump() << "\n";
    std::uint64_t position = first;
    for (const auto& line : page["lines"]) {
      Json row = Json::parse(line.get<std::string>());
      row["position"] = position++;
      std::cout << row.dump() << "\n";
    }
    std::cout.flush();
    from = page["next"].get<std::uint64_t>();
    if (!page["lines"].empty()) continue;
    if (!follow) return kDone;
    ::usleep(200000);
  }
}

int query(const Address& daemon, const std::string& sql, bool json) {
  int readExit = kDone;
  const auto table = queryFleet(sql, [&](const std::string& path) -> absl::StatusOr<Json> {
    const CallResult answer = call(daemon, http::verb::get, path);
    readExit = answer.exit;
    if (answer.exit != kDone) return absl::UnavailableError("");
    return Json::parse(answer.response.body());
  });
  if (readExit != kDone) return readExit;
  if (!table.ok()) {
    std::cerr << "quayrillctl: " << table.status().message() << "\n";
    return kUsageExit;
  }
  for (std::size_t i = 0; !json && i < table->columns.size(); ++i)
    std::cout << (i ? "\t" : "") << table->columns[i]
              << (i + 1 < table->columns.size() ? "" : "\n");
  for (const Json& row : table->rows) {
    Json rowObject = Json::object();
    for (std::size_t i = 0; i < row.size(); ++i) {
      if (json)
        rowObject[table->columns[i]] = row[i];
      else
        std::cout << (i ? "\t" : "")
                  << (row[i].is_string() ? row[i].get<std::string>() : row[i].dump());
    }
    std::cout << (json ? rowObject.dump() : "") << "\n";
  }
  return kDone;
}

// Returns the newest configuration that any live daemon has in force, to lose as few changes as
// possible.
Json newestConfiguration(const Json& members, const Address& daemon) {
  Json newest;
  std::vector<std::string> addresses{daemon.value};
  for (const auto& row : members["members"]) {
    const std::string peer = row["cohort"].get<std::string>();
    const std::string port = daemon.value.substr(daemon.value.rfind(':'));
    addresses.push_back(peer.substr(0, peer.rfind(':')) + port);
  }
  for (const std::string& address : addresses) {
    const CallResult answer = call(Address{address}, http::verb::get, "/q/spec");
    if (answer.exit != kDone) continue;
    const Json reply = Json::parse(answer.response.body());
    if (reply["version"] > 0 && (newest.is_null() || reply["version"] > newest["version"]))
      newest = reply;
  }
  return newest;
}

int recover(const Address& daemon, const std::string& file, const std::string& confirm, bool json) {
  const CallResult membersResult = call(daemon, http::verb::get, "/q/members");
  if (membersResult.exit != kDone) return membersResult.exit;
  const Json all = Json::parse(membersResult.response.body());
  const std::string fleet = all["copies"]["fleet"].dump();
  const Json configuration =
      file.empty() ? newestConfiguration(all, daemon) : Json::parse(readFile(file), nullptr, false);
  if (!configuration.is_object() || !configuration.contains("version") ||
      !configuration.contains("spec")) {
    std::cerr << "quayrillctl: no live daemon has a configuration in force, or FILE was not "
                 "written by 'spec get': "
                 "name a saved one with --spec\n";
    return kUsageExit;
  }
  if (confirm != fleet) {
    std::cerr << "quayrillctl: this gives up fleet " << fleet << " and founds a new one on "
              << daemon.value << " with configuration version " << configuration["version"]
              << ". Changes acknowledged after that version are lost permanently, and disks of the "
                 "old fleet never vote again: empty them before they join. Use it only if a "
                 "majority of the register's disks can't be recovered, with --confirm="
              << fleet << "\n";
    return confirm.empty() ? kRejected : kUsageExit;
  }
  const CallResult founded =
      call(daemon, http::verb::post, "/q/refound?confirm=" + fleet, configuration.dump());
  if (founded.exit != kDone) return founded.exit;
  const Json reply = Json::parse(founded.response.body());
  if (json)
    std::cout << founded.response.body();
  else
    std::cout << "fleet " << reply["fleet"] << " founded, configuration version "
              << reply["version"] << "\n";
  return kDone;
}

void printAttempt(const Json& attempt, std::size_t number) {
  std::cout << "try " << number << ": " << attempt["server"].get<std::string>() << " under weights "
            << attempt["weights"].get<std::string>() << ", chosen by "
            << attempt["reason"].get<std::string>() << " (" << attempt["matched_tokens"] << " of "
            << attempt["prompt_tokens"]
            << " tokens held)\n  fetch: " << attempt["fetch"].get<std::string>()
            << "\n  end: " << attempt["end"].get<std::string>();
  const std::string detail = attempt["detail"].get<std::string>();
  std::cout << (detail.empty() ? "" : " (" + detail + ")") << ", " << attempt["pieces"]
            << " pieces, first after " << attempt["first_piece_us"] << " us\n";
  for (const auto& candidate : attempt["candidates"])
    std::cout << "    " << candidate["server"].get<std::string>() << "  held "
              << candidate["matched_tokens"] << "  load " << candidate["burden"]
              << (candidate["capped"] == true ? "  over the cap: its match did not count" : "")
              << "\n";
}

int explain(const std::string& id, bool json) {
  const Address daemon{id.substr(0, id.find('/'))};
  if (const auto status = checkAddress("REQUEST", daemon.value); !status.ok()) {
    std::cerr << "quayrillctl: '" << id
              << "' is not a request id: use the value of the answer's Quayrill-Request-Id\n";
    return kUsageExit;
  }
  const CallResult answer = call(daemon, http::verb::get, "/q/explain?id=" + id);
  if (answer.exit != kDone) return answer.exit;
  if (json) {
    std::cout << answer.response.body();
    return kDone;
  }
  const Json row = Json::parse(answer.response.body());
  std::cout << "request " << id << " of " << row["tenant"].get<std::string>() << " under "
            << row["contract"].get<std::string>()
            << (row["repeatable"] == true ? " (repeatable)" : " (not repeatable)") << ": "
            << row["outcome"].get<std::string>() << " after " << row["took_us"] << " us\n";
  std::size_t number = 0;
  for (const auto& attempt : row["tries"]) printAttempt(attempt, ++number);
  if (number == 0) std::cout << "no server was tried\n";
  return kDone;
}
}  // namespace

int main(int argc, char** argv) {
  std::map<std::string, docopt::value> flags;
  try {
    flags = docopt::docopt_parse(kUsage, {argv + 1, argv + argc}, true, true);
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    return kDone;
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << "quayrillctl " << buildIdentity() << "\n";
    return kDone;
  } catch (const std::exception&) {
    std::cerr << "quayrillctl: unknown command or option: see --help\n";
    return kUsageExit;
  }
  const auto text = [&](const char* name) {
    return flags[name] ? flags[name].asString() : std::string{};
  };
  const auto is = [&](const char* name) { return flags[name].asBool(); };
  const Address daemon{text("--daemon")};
  const bool json = is("--json");
  try {
    if (const auto status = checkAddress("--daemon", daemon.value); !status.ok())
      throw std::invalid_argument(std::string(status.message()));
    if (is("spec") && is("get")) {
      const VersionedConfiguration current = readConfiguration(daemon);
      if (current.exit == kDone)
        std::cout << Json{{"version", current.version}, {"spec", current.configuration}}.dump(
                         json ? -1 : 2)
                  << "\n";
      return current.exit;
    }
    if (is("spec")) {
      const bool put = is("put");
      std::uint64_t expect = 0;
      if (!text("--expect").empty()) {
        expect = std::stoull(text("--expect"));
      } else {
        const VersionedConfiguration current = readConfiguration(daemon);
        if (current.exit != kDone) return current.exit;
        expect = current.version;
      }
      return sendConfiguration(daemon, put ? http::verb::put : http::verb::patch, expect,
                               readFile(text("FILE")), json);
    }
    if (is("key")) return changeKey(daemon, text("TENANT"), text("SECRET"), is("add"), json);
    if (is("weights")) {
      const VersionedConfiguration current = readConfiguration(daemon);
      if (current.exit != kDone) return current.exit;
      const Json patch{{"models", {{text("MODEL"), {{"weights", text("VERSION")}}}}}};
      return sendConfiguration(daemon, http::verb::patch, current.version, patch.dump(), json);
    }
    if (is("query")) return query(daemon, text("SQL"), json);
    if (is("refound")) return recover(daemon, text("--spec"), text("--confirm"), json);
    if (is("members")) return showMembers(daemon, json);
    if (is("builds")) return showBuilds(daemon, json);
    if (is("decisions")) {
      const Address source = text("--callers").empty() ? daemon : Address{text("--callers")};
      return showDecisions(source, std::stoull(text("--from")), is("--follow"));
    }
    return explain(text("REQUEST"), json);
  } catch (const std::exception& error) {
    std::cerr << "quayrillctl: " << error.what() << "\n";
    return kUsageExit;
  }
}
