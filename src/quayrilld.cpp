// quayrilld: the daemon that runs on every machine of a fleet.
#include <docopt/docopt.h>
#include <iostream>

#include "base/build_identity.h"
#include "daemon/daemon.h"
#include "daemon/startup.h"
#include "settings/settings.h"

namespace {
constexpr char kUsage[] = R"(quayrilld: one daemon of a quayrill fleet.

Usage:
  quayrilld [--settings=FILE] [--role=ROLE] [--cohort=ADDR] [--operators=ADDR] [--callers=ADDR]
            [--zone=ZONE] [--seeds=LIST] [--data-folder=DIR] [--platform=ADDR] [--store=ADDR]
            [--cohort-via=ADDR] [--disk-drag=FILE] [--placement=RULE] [--fetch=ON] [--without=NAMES]
            [--copies-wanted=N] [--block-tokens=N] [--traffic-threads=N] [--fresh-limit-ms=MS] [--grace-ms=MS] [--check]
  quayrilld --help | --version

Options:
  --settings=FILE      JSON settings; flags override it. Names are those below with '_' for '-'.
  --role=ROLE          proxy, agent (a pair on loopback) or both in one process.
  --cohort=ADDR        ip:port where other daemons connect.
  --operators=ADDR     ip:port of the operator API; a proxy reaches its agent here.
  --callers=ADDR       ip:port where callers' requests arrive.
  --zone=ZONE          The zone of this machine.
  --seeds=LIST         Three cohort addresses, separated by commas, the same on every machine.
  --data-folder=DIR    Keep a register replica in DIR.
  --platform=ADDR      ip:port of the platform's list of servers.
  --store=ADDR         ip:port of the store of cached prompt parts.
  --cohort-via=ADDR    Connect to other daemons through the TCP forwarder at this address.
  --disk-drag=FILE     Delay each disk sync by the milliseconds in FILE (to simulate slow disks).
  --placement=RULE     prefix, least-burden or round-robin (the last two for comparison).
  --fetch=ON           on or off: let servers pull missing prefixes.
  --without=NAMES      Mechanisms to switch off, separated by commas, to measure their effect.
  --copies-wanted=N    Register replicas to keep.
  --block-tokens=N     Tokens per cache block.
  --traffic-threads=N  Threads for traffic.
  --fresh-limit-ms=MS  Reject requests when the spec is unconfirmed for this long.
  --grace-ms=MS        Minimum time that SIGTERM lets streams finish; never less than the
                       longest due_ms of a contract.
  --check              Check the settings and exit.
  -h --help            Show this text.
  --version            Show the version.

Exit codes: 0 shut down as requested, 1 a failure while running, 2 bad settings.

Mechanisms that --without accepts, and what happens without each:
)";

std::string settingName(const std::string& flag) {
  std::string name = flag.substr(2);
  std::replace(name.begin(), name.end(), '-', '_');
  return name;
}
}  // namespace

int main(int argc, char** argv) {
  std::map<std::string, docopt::value> flags;
  try {
    flags = docopt::docopt_parse(kUsage, {argv + 1, argv + argc}, true, true);
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage << quayrill::mechanismsHelp();
    return 0;
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << "quayrilld " << quayrill::buildIdentity() << "\n";
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "quayrilld: " << error.what() << ": see --help\n";
    return 2;
  }
  quayrill::SettingsArguments commandLine;
  for (const auto& [flag, value] : flags) {
    if (!value || !value.isString()) continue;
    if (flag == "--settings")
      commandLine.settingsFile = value.asString();
    else
      commandLine.flags[settingName(flag)] = value.asString();
  }
  quayrill::SettingsSource source{commandLine.settingsFile, "{}",
                                  [commandLineFlags = commandLine.flags](const std::string& text) {
                                    return quayrill::readSettings(text, commandLineFlags);
                                  }};
  const bool isCheck = flags["--check"].asBool();
  const auto settings =
      isCheck ? quayrill::loadSettings(&source) : quayrill::loadSettingsAtStart(&source);
  if (!settings.ok()) {
    std::cerr << "quayrilld: " << settings.status().message() << "\n";
    return 2;
  }
  if (isCheck) return 0;

  return quayrill::runDaemon(*settings, quayrill::nativeDialect(), argv[0], std::move(source));
}
