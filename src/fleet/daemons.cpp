#include "fleet/daemons.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

namespace quayrill::fleet {

std::vector<Daemon> planDaemons(const FleetPlan& plan) {
  std::vector<Daemon> daemons;
  const std::string networkPrefix = "127." + std::to_string(plan.net) + ".";
  std::vector<Address> seeds;
  for (std::size_t i = 0; i < std::min<std::size_t>(3, plan.cores); ++i)
    seeds.push_back(Address{networkPrefix + "1." + std::to_string(i + 1) + ":7100"});
  for (std::size_t i = 0; i < plan.cores + plan.edges; ++i) {
    const bool isCore = i < plan.cores;
    const std::size_t number = isCore ? i + 1 : i - plan.cores + 1;
    Daemon daemon;
    daemon.name = (isCore ? "core" : "edge") + std::to_string(number);
    const std::string ip = networkPrefix + (isCore ? "1." : "2.") + std::to_string(number);
    daemon.peer = Address{ip + ":7100"};
    daemon.operators = Address{ip + ":7101"};
    daemon.callers = Address{ip + ":7102"};
    if (isCore) daemon.dataFolder = plan.workFolder + "/" + daemon.name;
    daemon.settingsFile = plan.workFolder + "/" + daemon.name + ".json";
    daemon.logFile = plan.workFolder + "/" + daemon.name + ".log";
    daemon.seeds = seeds;
    daemon.arguments = {plan.program,
                        "--settings=" + daemon.settingsFile,
                        "--cohort=" + daemon.peer.value,
                        "--operators=" + daemon.operators.value,
                        "--callers=" + daemon.callers.value,
                        "--zone=zone" + std::to_string(i % 4),
                        "--platform=" + plan.platform.value,
                        "--store=" + plan.store.value,
                        "--cohort-via=" + plan.relay.value,
                        "--placement=" + plan.placement,
                        "--fetch=" + plan.fetch,
                        "--copies-wanted=" + std::to_string(plan.cores),
                        "--traffic-threads=1",
                        "--grace-ms=6000"};
    daemon.splitRoles = plan.splitRoles;
    if (isCore) {
      daemon.syncDelayFile = daemon.dataFolder + ".drag";
      daemon.arguments.push_back("--data-folder=" + daemon.dataFolder);
      daemon.arguments.push_back("--disk-drag=" + daemon.syncDelayFile);
    }
    daemons.push_back(std::move(daemon));
  }
  return daemons;
}

namespace {
pid_t startProcess(std::vector<std::string> commandLine, const std::string& logFile,
                   std::size_t memoryMegabytes) {
  std::vector<char*> arguments;
  for (std::string& text : commandLine) arguments.push_back(text.data());
  arguments.push_back(nullptr);
  const pid_t pid = ::fork();
  if (pid != 0) return pid;
  const int log = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  ::dup2(log, 1);
  ::dup2(log, 2);
  const rlim_t bytes = memoryMegabytes << 20;
  const rlimit limit{bytes, bytes};
  if (memoryMegabytes > 0) ::setrlimit(RLIMIT_DATA, &limit);
  for (int descriptor = 3; descriptor < 4096; ++descriptor) ::close(descriptor);
  ::execv(arguments[0], arguments.data());
  ::_exit(127);
}

int waitProcess(pid_t* pid, int milliseconds) {
  for (int waited = 0; waited <= milliseconds; waited += 10) {
    int status = 0;
    if (::waitpid(*pid, &status, WNOHANG) == *pid) {
      *pid = 0;
      return WIFEXITED(status) ? WEXITSTATUS(status) : -2;
    }
    if (waited < milliseconds) std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return -1;
}
}  // namespace

void writeSettings(const Daemon& daemon, const std::vector<Address>& seeds) {
  std::ofstream out(daemon.settingsFile, std::ios::trunc);
  out << "{\"seeds\": [";
  for (std::size_t i = 0; i < seeds.size(); ++i)
    out << (i ? ", " : "") << '"' << seeds[i].value << '"';
  out << "]}\n";
}

bool startDaemon(Daemon* daemon, const FleetPlan& plan) {
  std::filesystem::create_directories(plan.workFolder);
  writeSettings(*daemon, daemon->seeds);
  std::vector<std::string> arguments = daemon->arguments;
  if (daemon->splitRoles) arguments.push_back("--role=agent");
  daemon->pid = startProcess(arguments, daemon->logFile, plan.memoryMegabytes);
  if (!daemon->splitRoles) return daemon->pid > 0;
  arguments.back() = "--role=proxy";
  daemon->proxyPid = startProcess(arguments, daemon->logFile, plan.memoryMegabytes);
  return daemon->pid > 0 && daemon->proxyPid > 0;
}

void signalDaemon(const Daemon& daemon, int signal) {
  for (const pid_t pid : {daemon.pid, daemon.proxyPid}) {
    if (pid > 0) ::kill(pid, signal);
  }
}

bool handlesHangup(const Daemon& daemon) {
  for (const pid_t pid : {daemon.pid, daemon.proxyPid}) {
    if (pid <= 0) continue;
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(status, line) && !line.starts_with("SigBlk:")) {
    }
    const auto blocked = std::strtoull(line.c_str() + line.find_first_of("\t "), nullptr, 16);
    if (!line.starts_with("SigBlk:") || (blocked >> (SIGHUP - 1) & 1) == 0) return false;
  }
  return true;
}

std::optional<std::string> endOfProcess(Daemon* daemon) {
  for (pid_t* const pid : {&daemon->pid, &daemon->proxyPid}) {
    int status = 0;
    if (*pid <= 0 || ::waitpid(*pid, &status, WNOHANG) != *pid) continue;
    *pid = 0;
    return WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                               : "exit " + std::to_string(WEXITSTATUS(status));
  }
  return std::nullopt;
}

std::string lastLogLine(const Daemon& daemon) {
  std::ifstream log(daemon.logFile);
  std::string last;
  for (std::string line; std::getline(log, line);) last = line;
  return last;
}

int waitDaemon(Daemon* daemon, int milliseconds) {
  int failure = daemon->pid > 0 ? waitProcess(&daemon->pid, milliseconds) : 0;
  if (daemon->proxyPid > 0) {
    const int status = waitProcess(&daemon->proxyPid, milliseconds);
    if (status != 0) failure = status;
  }
  return failure;
}

}  // namespace quayrill::fleet
