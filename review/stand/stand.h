// Stand-ins for the scripts of the review: the platform (list of servers, supervisor of processes),
// model servers, operators and clients, each as the users' pages describe a sound one. Blocking
// sockets and threads; loopback addresses only; all processes started here end with this one.
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace stand {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
inline constexpr int kBroken = 1, kHeld = 0, kCouldNotRun = 2;

inline Clock::time_point& startOfRun() {
  static Clock::time_point start = Clock::now();
  return start;
}
inline double now() {
  return std::chrono::duration<double>(Clock::now() - startOfRun()).count();
}
inline void sleepFor(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// record.txt: what was sent, answered and run, each line with the seconds since the start.
class Record {
 public:
  void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard lock(mutex_);
    va_list args;
    va_start(args, format);
    char text[4096];
    std::vsnprintf(text, sizeof text, format, args);
    va_end(args);
    if (!file_) return;
    std::fprintf(file_, "%8.3f  %s\n", now(), text);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  FILE* file_ = nullptr;
};
inline Record& record() {
  static Record one;
  return one;
}

// ---- sockets ----

inline sockaddr_in addressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline int listenOn(const std::string& ip, int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = addressOf(ip, port);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd, 256) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

inline int connectTo(const std::string& ip, int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = addressOf(ip, port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

// A connection with a buffer. Reads end at `deadline` (seconds of now()).
class Conn {
 public:
  explicit Conn(int fd) : fd_(fd) {}
  ~Conn() { close(); }
  Conn(const Conn&) = delete;
  Conn& operator=(const Conn&) = delete;
  bool isOpen() const { return fd_ >= 0; }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  void reset() {
    const linger now{1, 0};
    if (fd_ >= 0) ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
  }
  bool send(const std::string& bytes) {
    std::size_t sent = 0;
    while (fd_ >= 0 && sent < bytes.size()) {
      const ssize_t got = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (got <= 0) return false;
      sent += static_cast<std::size_t>(got);
    }
    return fd_ >= 0;
  }
  // More bytes into the buffer; false: ended, reset or the deadline passed (`why` tells which).
  bool more(double deadline) {
    pollfd wait{fd_, POLLIN, 0};
    const int left = static_cast<int>(std::max(0.0, (deadline - now()) * 1000));
    const int ready = ::poll(&wait, 1, left);
    if (ready <= 0) {
      why = "silence";
      return false;
    }
    char block[65536];
    const ssize_t got = ::recv(fd_, block, sizeof block, 0);
    if (got <= 0) {
      why = got == 0 ? "closed" : "reset";
      return false;
    }
    buffer.append(block, static_cast<std::size_t>(got));
    return true;
  }
  // True while the other end has neither closed nor reset.
  bool isThere() const {
    char byte;
    const ssize_t got = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got > 0 || (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
  }
  std::string buffer, why;

 private:
  int fd_;
};

inline std::string lower(std::string text) {
  for (char& letter : text) letter = static_cast<char>(std::tolower(letter));
  return text;
}

struct Message {
  std::string start;  // request line or status line
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  bool whole = false;
  std::string why;  // where it is not whole
  int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
  std::string header(const std::string& name) const {
    const auto row = headers.find(name);
    return row == headers.end() ? "" : row->second;
  }
  std::string target() const {
    const auto first = start.find(' '), last = start.rfind(' ');
    return first == last ? "" : start.substr(first + 1, last - first - 1);
  }
};

// One message off the connection. A response's chunked body is put together; `onBytes` sees body
// bytes as they come.
inline Message readMessage(Conn& conn, double deadline, bool isResponse,
                           const std::function<void(const std::string&)>& onBytes = nullptr) {
  Message message;
  std::size_t end;
  while ((end = conn.buffer.find("\r\n\r\n")) == std::string::npos) {
    if (conn.more(deadline)) continue;
    message.why = conn.why;
    return message;
  }
  std::istringstream head(conn.buffer.substr(0, end));
  conn.buffer.erase(0, end + 4);
  std::getline(head, message.start);
  if (!message.start.empty() && message.start.back() == '\r') message.start.pop_back();
  for (std::string line; std::getline(head, line);) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    auto value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    message.headers[lower(line.substr(0, colon))] = value;
  }
  const auto need = [&](std::size_t bytes) {
    while (conn.buffer.size() < bytes) {
      if (conn.more(deadline)) continue;
      message.why = conn.why;
      return false;
    }
    return true;
  };
  if (lower(message.header("transfer-encoding")).find("chunked") != std::string::npos) {
    for (;;) {
      std::size_t line;
      while ((line = conn.buffer.find("\r\n")) == std::string::npos) {
        if (conn.more(deadline)) continue;
        message.why = conn.why;
        return message;
      }
      const std::size_t size = std::strtoul(conn.buffer.c_str(), nullptr, 16);
      if (!need(line + 2 + size + 2)) return message;
      const std::string piece = conn.buffer.substr(line + 2, size);
      conn.buffer.erase(0, line + 2 + size + 2);
      message.body += piece;
      if (onBytes && size > 0) onBytes(piece);
      if (size == 0) break;
    }
  } else if (message.headers.contains("content-length")) {
    const std::size_t size = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
    if (!need(size)) return message;
    message.body = conn.buffer.substr(0, size);
    conn.buffer.erase(0, size);
  } else if (isResponse) {
    while (conn.more(deadline)) {
    }
    message.body = std::exchange(conn.buffer, "");
    if (conn.why != "closed") {
      message.why = conn.why;
      return message;
    }
  }
  message.whole = true;
  return message;
}

inline std::string responseText(const std::string& status, const std::string& headers,
                                const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline std::string chunk(const std::string& bytes) {
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

// Accepts on a thread of its own, one thread for each connection.
inline bool serve(const std::string& ip, int port, std::function<void(Conn&)> each) {
  const int fd = listenOn(ip, port);
  if (fd < 0) return false;
  std::thread([fd, each = std::move(each)] {
    for (;;) {
      const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) continue;
      const int on = 1;
      ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([accepted, each] {
        Conn conn(accepted);
        each(conn);
      }).detach();
    }
  }).detach();
  return true;
}

inline Message call(const std::string& ip, int port, const std::string& verb,
                    const std::string& target, const std::string& headers, const std::string& body,
                    double due) {
  Conn conn(connectTo(ip, port));
  Message none;
  none.why = "no connection";
  if (!conn.isOpen()) return none;
  conn.send(verb + " " + target + " HTTP/1.1\r\n" + headers +
            "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  return readMessage(conn, now() + due, true);
}

// ---- model servers ----

class ModelServer;
using Handler = std::function<bool(ModelServer&, const Message&, Conn&)>;  // false: close

class ModelServer {
 public:
  std::string ip, id, service, zone = "banqiao", state = "ready";
  int port = 0;
  std::atomic<std::uint64_t> weights{1};
  std::mutex mutex;
  bool start(Handler handler) {
    return serve(ip, port, [this, handler](Conn& conn) {
      for (;;) {
        const Message request = readMessage(conn, now() + 60, false);
        if (!request.whole) return;
        if (request.target().rfind("/kv-events", 0) == 0) {
          if (!conn.send(responseText("200 OK", "Content-Type: application/json\r\n",
                                      R"({"bootId":1,"nextToken":0,"dropped":false,"events":[]})")))
            return;
          continue;
        }
        if (request.target() == "/report") {
          const Json report{{"phase", "unified"},     {"models", models()}, {"saturated", false},
                            {"seq", 0},               {"queued", 0},        {"active", 0},
                            {"kvUsed", 0},            {"kvSize", 239003},   {"refs", 0}};
          if (!conn.send(responseText("200 OK", "Content-Type: application/json\r\n",
                                      report.dump())))
            return;
          continue;
        }
        const std::string wanted = request.header("quayrill-want-instance");
        if (!wanted.empty() && wanted != id) {
          if (!conn.send(responseText("421 Misdirected Request",
                                      "Quayrill-Instance: " + id + "\r\n", "")))
            return;
          continue;
        }
        if (!handler(*this, request, conn)) return;
      }
    });
  }
  Json models() const {
    return Json::array(
        {Json{{"name", "model-a"}, {"gen", weights.load()}, {"loras", Json::array()}}});
  }
  Json row() const {
    return {{"id", id},       {"backend", service}, {"addr", ip + ":" + std::to_string(port)},
            {"zone", zone},   {"gen", "v1"},        {"slots", 128},
            {"state", state}, {"warmupLeftMs", 0},  {"phase", "unified"},
            {"models", models()}};
  }
  // The head of a success, without the end of the headers.
  std::string head(const Message& request) const {
    return "HTTP/1.1 200 OK\r\nQuayrill-Request-Id: " + request.header("quayrill-request-id") +
           "\r\nQuayrill-Served-Seal: 3e1b.07.5a2\r\nQuayrill-Weight-Versions: " +
           std::to_string(weights.load()) + "\r\n";
  }
};

// ---- the deployment ----

struct Machine {
  std::string name, ip, zone, folder;
  bool isCore = false;
  pid_t pid = -1;
  int starts = 0;
  std::vector<std::string> ends;  // how its processes ended, each time that it was not asked to
  bool toldToEnd = false;
};

// Settings as `fleetbench wire` shows them for the small site hsinmei-tills; addresses and ports
// are drawn anew.
class Deployment {
 public:
  std::vector<std::unique_ptr<Machine>> machines;
  std::vector<std::unique_ptr<ModelServer>> servers;
  std::string net, program, root, folder;
  int http = 0, ready = 0, ctl = 0, peers = 0, platform = 0, serverPort = 0;
  std::map<std::string, std::string> bounds{{"graceS", "8"}};
  std::recursive_mutex mutex;

  bool prepare(const std::string& treeRoot, int cores, int edges, int modelServers) {
    root = treeRoot;
    program = commandOfDeployFile();
    char name[] = "/tmp/quayrill-review-XXXXXX";
    if (program.empty() || !::mkdtemp(name)) return false;
    folder = name;
    std::mt19937 random(std::random_device{}());
    static const char* kZones[] = {"banqiao", "neihu", "taoyuan", "keelung"};
    for (int attempt = 0; attempt < 50; ++attempt) {
      net = "127." + std::to_string(16 + random() % 200) + ".";
      const int base = 20000 + static_cast<int>(random() % 8000);
      http = base, ready = base + 1, ctl = base + 2, platform = base + 3, serverPort = base + 4;
      peers = base + 10;
      if (areFree(cores, edges, modelServers)) break;
      net.clear();
    }
    if (net.empty()) return false;
    for (int i = 0; i < cores + edges; ++i) {
      auto machine = std::make_unique<Machine>();
      machine->isCore = i < cores;
      const int at = machine->isCore ? i + 1 : i - cores + 1;
      machine->name = (machine->isCore ? "core-" : "edge-") + std::to_string(at);
      machine->ip = net + (machine->isCore ? "1." : "2.") + std::to_string(at);
      machine->zone = kZones[(at - 1) % 4];
      machine->folder = folder + "/" + machine->name;
      std::filesystem::create_directories(machine->folder + "/data");
      machines.push_back(std::move(machine));
    }
    for (int i = 0; i < modelServers; ++i) {
      auto server = std::make_unique<ModelServer>();
      server->ip = net + "5." + std::to_string(i + 1);
      server->port = serverPort;
      server->id = "i-" + std::to_string(i + 1) + "f3a91c2";
      server->service = "till-llm";
      server->zone = kZones[i % 4];
      servers.push_back(std::move(server));
    }
    return serve(net + "9.1", platform, [this](Conn& conn) {
      for (;;) {
        const Message request = readMessage(conn, now() + 30, false);
        if (!request.whole) return;
        Json rows = Json::array();
        for (const auto& server : servers) rows.push_back(server->row());
        if (!conn.send(responseText("200 OK", "Content-Type: application/json\r\n",
                                    Json{{"instances", rows}, {"nextToken", nullptr}}.dump())))
          return;
      }
    });
  }

  Machine& machine(const std::string& name) {
    for (auto& one : machines)
      if (one->name == name) return *one;
    std::abort();
  }

  // Writes the settings file as a platform does: whole, under its name at once.
  void writeSettings(const Machine& machine) const {
    std::ostringstream text;
    const bool isCore = machine.isCore;
    text << "node=" << machine.name << "\nrole=" << (isCore ? "core" : "edge")
         << "\nhwClass=" << (isCore ? "core" : "edge") << "\nserves=" << (isCore ? "ctl" : "edge")
         << "\nip=" << machine.ip << "\nzone=" << machine.zone << "\nregion=tw-north\n";
    for (const char* zone : {"banqiao", "neihu", "taoyuan", "keelung"})
      text << "zones." << zone << "=tw-north\n";
    if (isCore)
      text << "listen.ctl=" << machine.ip << ":" << ctl << "\ndataDir=" << machine.folder
           << "/data\n";
    else
      text << "listen.http=" << machine.ip << ":" << http << "\nlisten.readyz=" << machine.ip << ":"
           << ready << "\n";
    text << "portRange=" << peers << "," << peers + 15 << "\nseeds=";
    for (int i = 1; i <= 3; ++i) text << (i > 1 ? "," : "") << net << "1." << i << ":" << ctl;
    text << "\nbootstrap=" << (machine.starts == 0 ? "true" : "false")
         << "\nvoting=" << (isCore ? "true" : "false")
         << "\nlimits.cpuQuota=" << (isCore ? "0.3" : "0.25")
         << "\nlimits.cpus=1\nlimits.ramMb=" << (isCore ? "256" : "260")
         << "\nlimits.maxFds=4096\nlimits.netMbps=1000.0\nlimits.diskMb=" << (isCore ? 128 : 0)
         << "\ndiscovery=api\nentry=vip\nheartbeatMs=1200\n"
            "guarantees=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants\n"
            "tolerate.nodes=1\ntolerate.zones=0\ntolerate.regions=0\n";
    std::map<std::string, std::string> all{
        {"seedLagS", "3"},     {"reuseS", "2"},         {"contactMs", "3000"},
        {"ackMs", "4000"},     {"catchupS", "4"},       {"drainMs", "3000"},
        {"graceS", "8"},       {"lossSlackMs", "200"},  {"applyMs", "2000"},
        {"revertMs", "250"},   {"skewMs", "5000"},      {"hardRevoke", "true"},
        {"revokeMs", "5000"},  {"retryRatio", "0.2"},   {"retryWindowS", "10"},
        {"retrySlack", "58"},  {"recoveryS", "12"},     {"transitMs", "120"},
        {"fencing", "true"},   {"leaseMs", "3000"},     {"thawMs", "300"},
        {"rolloutMs", "15000"}};
    for (const auto& [bound, value] : bounds) all[bound] = value;
    for (const auto& [bound, value] : all) text << "bounds." << bound << "=" << value << "\n";
    text << "provider.addr=" << net << "9.1:" << platform
         << "\nprovider.ratePerS=47.0\nprovider.duties=\nprovider.maxLagMs=800\n";
    const std::string path = machine.folder + "/settings.conf";
    std::ofstream(path + ".new") << text.str();
    std::filesystem::rename(path + ".new", path);
  }

  void start(Machine& machine) {
    std::lock_guard lock(mutex);
    writeSettings(machine);
    const std::string settings = "QUAYRILL_CONFIG=" + machine.folder + "/settings.conf";
    const std::string log = machine.folder + "/log";
    ++machine.starts;
    const pid_t parent = ::getpid();
    const pid_t pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent) ::_exit(3);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      if (::chdir(root.c_str()) != 0) ::_exit(3);
      const std::string path = std::string("PATH=") + std::getenv("PATH");
      std::vector<std::string> words;
      std::istringstream split(program);
      for (std::string word; split >> word;) words.push_back(word);
      std::vector<char*> argv;
      for (auto& word : words) argv.push_back(word.data());
      argv.push_back(nullptr);
      char* env[] = {const_cast<char*>(settings.c_str()), const_cast<char*>(path.c_str()), nullptr};
      ::execve(argv[0], argv.data(), env);
      ::_exit(3);
    }
    machine.pid = pid;
    machine.toldToEnd = false;
    record().line("platform: starts %s (%s), start %d", machine.name.c_str(), program.c_str(),
                  machine.starts);
  }
  void startAll() {
    for (auto& one : machines) start(*one);
  }
  void signalTo(Machine& machine, int number) {
    std::lock_guard lock(mutex);
    if (machine.pid > 0) ::kill(machine.pid, number);
  }
  // How the machine's process ended, "" while it runs.
  std::string ended(Machine& machine) {
    std::lock_guard lock(mutex);
    if (machine.pid <= 0) return "";
    int status = 0;
    if (::waitpid(machine.pid, &status, WNOHANG) != machine.pid) return "";
    machine.pid = -1;
    const std::string how = WIFSIGNALED(status)
                                ? std::string("signal ") + strsignal(WTERMSIG(status))
                                : "exit " + std::to_string(WEXITSTATUS(status));
    record().line("platform: the process of %s ended: %s", machine.name.c_str(), how.c_str());
    return how;
  }
  void endAll() {
    std::lock_guard lock(mutex);
    for (auto& one : machines) {
      if (one->pid <= 0) continue;
      ::kill(one->pid, SIGKILL);
      int status = 0;
      ::waitpid(one->pid, &status, 0);
      one->pid = -1;
    }
    std::error_code ignored;
    if (!std::getenv("KEEP_FOLDER")) std::filesystem::remove_all(folder, ignored);
  }

  // ---- the operator ----

  Message putConfig(const std::string& ip, const Json& config, std::uint64_t basis, double due = 5) {
    return call(ip, ctl, "PUT", "/config",
                "Host: ctl\r\nContent-Type: application/json\r\nIf-Match: " +
                    std::to_string(basis) + "\r\n",
                config.dump(), due);
  }
  // Sends a configuration until it is acknowledged, to one core machine after the other.
  bool acknowledge(const Json& config, std::uint64_t basis, double within) {
    const double until = now() + within;
    for (std::size_t turn = 0; now() < until; ++turn) {
      std::vector<Machine*> cores;
      for (auto& one : machines)
        if (one->isCore && one->pid > 0) cores.push_back(one.get());
      Machine& asked = *cores[turn % cores.size()];
      const Message answer = putConfig(asked.ip, config, basis);
      if (answer.whole && answer.status() == 200) {
        record().line("operator: PUT /config gen %llu acknowledged by %s",
                      static_cast<unsigned long long>(config["gen"].get<std::uint64_t>()),
                      asked.name.c_str());
        return true;
      }
      sleepFor(0.2);
    }
    return false;
  }
  bool waitReady(double within) {
    const double until = now() + within;
    for (auto& one : machines) {
      if (one->isCore) continue;
      for (;;) {
        const Message answer = call(one->ip, ready, "GET", "/readyz", "Host: r\r\n", "", 1);
        if (answer.whole && answer.status() == 200) break;
        if (now() > until) return false;
        sleepFor(0.2);
      }
    }
    return true;
  }

 private:
  bool areFree(int cores, int edges, int modelServers) const {
    std::vector<int> held;
    const auto take = [&](const std::string& ip, int port) {
      const int fd = listenOn(ip, port);
      if (fd >= 0) held.push_back(fd);
      return fd >= 0;
    };
    bool free = take(net + "9.1", platform);
    for (int i = 1; i <= cores; ++i)
      free = free && take(net + "1." + std::to_string(i), ctl) &&
             take(net + "1." + std::to_string(i), peers);
    for (int i = 1; i <= edges; ++i)
      free = free && take(net + "2." + std::to_string(i), http) &&
             take(net + "2." + std::to_string(i), ready) &&
             take(net + "2." + std::to_string(i), peers) &&
             take(net + "2." + std::to_string(i), peers + 1);
    for (int i = 1; i <= modelServers; ++i)
      free = free && take(net + "5." + std::to_string(i), serverPort);
    for (const int fd : held) ::close(fd);
    return free;
  }
  // The line `run` of the deploy file; both roles have the same.
  std::string commandOfDeployFile() const {
    std::ifstream file(root + "/deploy/system.toml");
    for (std::string line; std::getline(file, line);) {
      if (line.rfind("run", 0) != 0) continue;
      const auto first = line.find('"'), last = line.rfind('"');
      const std::string command = line.substr(first + 1, last - first - 1);
      if (::access((root + "/" + command.substr(0, command.find(' '))).c_str(), X_OK) != 0)
        return "";
      return command;
    }
    return "";
  }
};

// ---- configurations and clients ----

inline Json route(const std::string& name, const std::string& prefix, const std::string& type,
                  int deadlineMs, int tries, bool resumable) {
  return {{"name", name},     {"host", "ficu95.example"}, {"prefix", prefix},
          {"type", type},     {"deadlineMs", deadlineMs}, {"targetMs", 600},
          {"prio", 1},        {"backend", "till-llm"},    {"tries", tries},
          {"public", false},  {"sticky", true},           {"resumable", resumable},
          {"gapTargetMs", 400}};
}
inline Json tenant(const std::string& name, const std::string& key, bool isolated) {
  return {{"name", name}, {"apiKeys", Json::array({key})}, {"prio", 1}, {"isolated", isolated}};
}
inline Json configOf(std::uint64_t gen, const Json& routes, const Json& tenants) {
  return {
      {"gen", gen},
      {"routes", routes},
      {"backends",
       Json::array({Json{{"name", "till-llm"},
                         {"healthPath", "/healthz"},
                         {"maxConns", 630},
                         {"proto", "h1"},
                         {"tls", false},
                         {"runtime",
                          {{"slots", 128},
                           {"kvCapacity", 239003},
                           {"kvTokenBytes", 18432},
                           {"netMbps", 370000.0},
                           {"blockSize", 5},
                           {"maxInflight", 12},
                           {"models", Json::array({Json{{"name", "model-a"}}})}}}}})},
      {"limits",
       {{"maxHeaderBytes", 16384},
        {"maxBodyBytes", 4194304},
        {"headerTimeoutMs", 3000},
        {"idleTimeoutMs", 15000}}},
      {"tenants", tenants}};
}

inline std::string freshId() {
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  std::lock_guard lock(mutex);
  char text[32];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

inline std::string requestText(const std::string& path, const std::string& id,
                               const std::string& key, const std::string& parts, int deadlineMs,
                               const std::string& more = "") {
  const std::string body = "{\"prompt\":\"basket\"}";
  return "POST " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nQuayrill-Request-Id: " + id +
         "\r\nQuayrill-Model: model-a\r\nQuayrill-Token-Count: 1460,80\r\n"
         "Quayrill-Prompt-Prefix: " +
         parts + "\r\nQuayrill-Deadline-Ms: " + std::to_string(deadlineMs) +
         "\r\nQuayrill-Key: " + key + "\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline bool hasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return !trouble || std::string(trouble) != "0";
}

// argv: root of the tree, folder of the case. Ends the run after `most` seconds whatever happens.
inline bool begin(int argc, char** argv, int most) {
  startOfRun();
  ::signal(SIGPIPE, SIG_IGN);
  if (argc != 3) return false;
  record().open(std::string(argv[2]) + "/record.txt");
  std::thread([most] {
    sleepFor(most);
    record().line("could not run: over %d s", most);
    ::_exit(kCouldNotRun);  // the daemons end with this process
  }).detach();
  record().line("TROUBLE=%d", hasTrouble() ? 1 : 0);
  return true;
}
inline int finish(Deployment& deployment, int verdict, const std::string& why) {
  record().line("verdict: %s: %s",
                verdict == kHeld     ? "held"
                : verdict == kBroken ? "BROKEN"
                                     : "could not run",
                why.c_str());
  std::printf("%s: %s\n",
              verdict == kHeld     ? "held"
              : verdict == kBroken ? "broken"
                                   : "could not run",
              why.c_str());
  std::fflush(stdout);
  deployment.endAll();
  std::fflush(nullptr);
  ::_exit(verdict);
}

}  // namespace stand
