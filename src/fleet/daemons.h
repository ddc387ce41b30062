#pragma once
// The quayrilld processes of a run: started, killed, frozen and ended by id.
#include <sys/types.h>

#include <string>
#include <vector>

#include "base/types.h"

namespace quayrill::fleet {

struct Daemon {
  std::string name;
  Address peer, operators, callers;
  std::string dataFolder;     // "" on edge machines
  std::string syncDelayFile;  // how long each sync of its disk lasts in addition
  std::string settingsFile, logFile;
  std::vector<Address> seeds;
  std::vector<std::string> arguments;
  bool splitRoles = false;  // agent and proxy as two processes
  pid_t pid = 0;            // 0: not running
  pid_t proxyPid = 0;       // of a pair's proxy
};

struct FleetPlan {
  std::string program;
  std::string workFolder;
  int net = 40;  // all addresses are 127.<net>.x.y
  std::size_t cores = 4, edges = 9;
  bool splitRoles = false;
  std::string placement = "prefix", fetch = "on";
  Address platform, store, relay;
};

std::vector<Daemon> planDaemons(const FleetPlan& plan);
// The settings file with these seeds; all other settings are flags.
void writeSettings(const Daemon& daemon, const std::vector<Address>& seeds);
bool startDaemon(Daemon* daemon, const FleetPlan& plan);
void signalDaemon(const Daemon& daemon, int signal);
// Waits for the end for at most that long; the exit status, or -1 where it did not end, or -2 where
// a signal ended it.
int waitDaemon(Daemon* daemon, int milliseconds);

}  // namespace quayrill::fleet
