#pragma once
// Starts, signals and awaits the quayrilld processes of a run, by process id.
#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "base/types.h"

namespace quayrill::fleet {

// A machine's daemon: its addresses, files and processes.
struct Daemon {
  std::string name;
  Address peer, operators, callers;
  std::string dataFolder;     // empty for edge machines, which have no disk
  std::string syncDelayFile;  // holds the extra duration of each disk sync in ms
  std::string settingsFile, logFile;
  std::vector<Address> seeds;
  std::vector<std::string> arguments;
  bool splitRoles = false;  // agent and proxy as two processes
  pid_t pid = 0;            // of the daemon, or of the agent if the roles are split; 0: not running
  pid_t proxyPid = 0;       // of the proxy if the roles are split
};

// The daemons to start and their common settings.
struct FleetPlan {
  std::string program;  // path of quayrilld
  std::string workFolder;
  int net = 40;  // all addresses are 127.<net>.x.y
  std::size_t cores = 4, edges = 9;
  bool splitRoles = false;
  std::string placement = "prefix", fetch = "on";
  Address platform, store, relay;
  std::size_t memoryMegabytes = 0;  // enforced on each process; 0: no limit
};

// The daemons with their addresses and arguments, cores first; starts nothing.
std::vector<Daemon> planDaemons(const FleetPlan& plan);
// Writes the settings file, which holds only the seeds; all other settings are flags.
void writeSettings(const Daemon& daemon, const std::vector<Address>& seeds);
// Writes the settings file and starts the processes. Returns false if a fork failed.
bool startDaemon(Daemon* daemon, const FleetPlan& plan);
// Sends a signal to all running processes of the daemon.
void signalDaemon(const Daemon& daemon, int signal);
// Whether all processes of the daemon that run handle SIGHUP. Before, while the dynamic linker
// still loads the program, no program can keep it from ending the process.
bool handlesHangup(const Daemon& daemon);
// How a process of the daemon that was running has ended, if one has: "exit 1", "signal 9". Its
// `pid` is then 0.
std::optional<std::string> endOfProcess(Daemon* daemon);
// The last line of the daemon's log; empty if there is none.
std::string lastLogLine(const Daemon& daemon);
// Waits at most `milliseconds` for each process to exit. Returns the exit status, -1 if a process
// is still running, or -2 if a signal ended it; of two processes, the proxy's status if it is not
// 0.
int waitDaemon(Daemon* daemon, int milliseconds);

}  // namespace quayrill::fleet
