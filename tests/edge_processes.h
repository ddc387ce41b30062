#pragma once
// Three cores and an edge of the platform's daemon as real processes, with stand-in servers, the
// platform's list and clients. The edge's memory is limited as its machine does it.
#include <sys/resource.h>

#include <catch2/catch.hpp>
#include <mutex>

#include "daemon_process.h"
#include "endless_server.h"
#include "proxy_stage.h"

namespace quayrill::tests {

// An answer as a client sees it.
struct ClientAnswer {
  int status = 0;  // 0: none in time
  bool isWhole = false;
  std::chrono::milliseconds took{};
};

class EdgeProcesses {
 public:
  // The limit of an edge machine.
  static constexpr std::size_t kEdgeMemoryMb = 260;
  // After this silence a client gives its request up.
  static constexpr std::chrono::milliseconds kClientPatience{2000};

  explicit EdgeProcesses(int servers, std::uint64_t maxHeaderBytes = 16384)
      : maxHeaderBytes_(maxHeaderBytes), edge_(hostOf(kEdgeHost)) {
    for (int i = 0; i < servers; ++i) {
      const Address at = localAddress(kFirstServerHost + i, kServerPort);
      servers_.push_back(std::make_unique<EndlessServer>(io_, at, "i-" + std::to_string(i + 1)));
      REQUIRE(servers_.back()->start().ok());
    }
    HttpServerSettings listSettings;
    listSettings.listen = localAddress(kListHost, kListPort);
    list_ = std::make_unique<HttpServer>(
        io_, listSettings, [this](Connection&, HttpRequest&) { return answerList(); });
    REQUIRE(list_->start().ok());
    thread_.emplace(io_);
    for (int i = 0; i < kCores; ++i)
      cores_.push_back(std::make_unique<DaemonProcess>(hostOf(kFirstCoreHost + i)));
    for (const auto& core : cores_) {
      core->writeSettings(settingsOf("core-" + core->ip(), *core, true));
      core->start();
    }
    edge_.writeSettings(settingsOf("edge-1", edge_, false));
    startEdge();
    const bool isConfigured =
        eventually(DaemonProcess::kStartLimit, [this] { return acceptsConfiguration(); });
    INFO(core().log());
    REQUIRE(isConfigured);
    REQUIRE(eventually(DaemonProcess::kStartLimit, [this] { return isEdgeReady(); }));
  }

  DaemonProcess& edge() { return edge_; }
  DaemonProcess& core() { return *cores_.front(); }
  EndlessServer& server(std::size_t index) { return *servers_.at(index); }
  bool isEdgeReady() {
    return edge_.get("/readyz", kReadyPort).find("200 OK") != std::string::npos;
  }
  std::string edgeMetrics() { return edge_.get("/metrics", kReadyPort); }
  // The value of one of the edge's counters.
  std::uint64_t edgeCounter(const std::string& name) {
    const std::string text = edgeMetrics();
    const auto at = text.find("\nquayrill_" + name + " ");
    return at == std::string::npos ? 0 : std::stoull(text.substr(at + name.size() + 11));
  }
  // The most memory that a process has used.
  static std::size_t peakMemoryMb(const DaemonProcess& process) {
    std::ifstream status("/proc/" + std::to_string(process.pid()) + "/status");
    for (std::string line; std::getline(status, line);)
      if (line.starts_with("VmHWM:")) return std::stoull(line.substr(6)) >> 10;
    return 0;
  }

  // One request at the edge on a new connection, given up after `patience` of silence or once
  // `mayGoOn` is false.
  ClientAnswer ask(
      const std::string& path, std::chrono::milliseconds patience,
      const std::function<bool()>& mayGoOn = [] { return true; }) {
    static std::atomic<std::uint64_t> ids{0};
    const std::string text =
        "POST " + path +
        " HTTP/1.1\r\nHost: h.example\r\nQuayrill-Request-Id: " + std::to_string(++ids) +
        "\r\nQuayrill-Model: m\r\nQuayrill-Token-Count: 384,80\r\n"
        "Quayrill-Prompt-Prefix: aa:320,bb:64\r\nQuayrill-Deadline-Ms: 5000\r\n"
        "Quayrill-Key: key\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}";
    const auto begun = std::chrono::steady_clock::now();
    ClientAnswer answer;
    std::string end;
    const int socket = connectTo(edge_.ip(), kClientPort);
    (void)::send(socket, text.data(), text.size(), MSG_NOSIGNAL);
    auto silentSince = begun;
    char part[16384];
    while (mayGoOn() && std::chrono::steady_clock::now() - silentSince < patience) {
      const ssize_t got = ::recv(socket, part, sizeof part, 0);
      if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) continue;
      if (got <= 0) break;
      silentSince = std::chrono::steady_clock::now();
      end.append(part, static_cast<std::size_t>(got));
      if (answer.status == 0 && end.size() >= 12) answer.status = std::stoi(end.substr(9, 3));
      if (end.size() > 4096) end.erase(0, end.size() - 4096);
    }
    ::close(socket);
    answer.isWhole = end.ends_with("0\r\n\r\n") || answer.status >= 400;
    answer.took = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - begun);
    return answer;
  }

  // Sends a change that builds on that version to a core, and waits 5 s at most for the answer.
  ClientAnswer changeConfiguration(const std::string& verb, const nlohmann::json& change,
                                   std::uint64_t baseVersion) const {
    const std::string body = change.dump();
    const std::string text =
        verb + " /config HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nIf-Match: " +
        std::to_string(baseVersion) +
        "\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
        body;
    const auto begun = std::chrono::steady_clock::now();
    const int socket = connectTo(cores_.front()->ip(), 8683);
    (void)::send(socket, text.data(), text.size(), MSG_NOSIGNAL);
    char part[4096];
    ssize_t got = -1;
    for (int i = 0; i < 100 && got < 0; ++i) got = ::recv(socket, part, sizeof part, 0);
    ::close(socket);
    ClientAnswer answer;
    answer.took = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - begun);
    if (got >= 12)
      answer.status = std::stoi(std::string(part, static_cast<std::size_t>(got)).substr(9, 3));
    return answer;
  }

  static constexpr unsigned short kClientPort = 8680, kReadyPort = 8687;

  static int connectTo(const std::string& ip, unsigned short port) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval step{0, 50'000};
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &step, sizeof step);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    (void)::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    return socket;
  }

 private:
  static constexpr int kFirstCoreHost = 1, kCores = 3, kListHost = 9, kEdgeHost = 11,
                       kFirstServerHost = 21;
  static constexpr int kListPort = 8688, kServerPort = 8690;

  static std::string hostOf(int host) {
    const std::string address = localAddress(host, 1).value;
    return address.substr(0, address.rfind(':'));
  }
  std::string settingsOf(const std::string& name, const DaemonProcess& process, bool isCore) const {
    std::string seeds;
    for (const auto& core : cores_) seeds += (seeds.empty() ? "" : ",") + core->ip() + ":8683";
    std::string text =
        "node=" + name + "\nrole=" + (isCore ? "core" : "edge") +
        "\nserves=" + (isCore ? "ctl" : "edge") + "\nzone=a\nzones.a=r\nip=" + process.ip() +
        "\nportRange=7360,7375\nseeds=" + seeds +
        "\nbootstrap=true\ntolerate.nodes=1\nvoting=" + (isCore ? "true" : "false") +
        "\nlimits.ramMb=" + std::to_string(kEdgeMemoryMb) + "\nprovider.addr=" + list_address() +
        "\nprovider.ratePerS=47.0\nbounds.graceS=8\nbounds.contactMs=3000\n"
        "bounds.applyMs=2000\nbounds.retryRatio=0.2\nbounds.retryWindowS=10\n"
        "bounds.retrySlack=58\nbounds.drainMs=3000\n";
    text +=
        isCore ? "listen.ctl=" + process.ip() + ":8683\ndataDir=" + process.folder() + "/data\n"
               : "listen.http=" + process.ip() + ":8680\nlisten.readyz=" + process.ip() + ":8687\n";
    return text;
  }
  static std::string list_address() { return localAddress(kListHost, kListPort).value; }
  // Sanitizers map far more than they use, so that no limit can be put on their programs.
  void startEdge() {
    const std::string log = edge_.logFile();
    edge_.start([log] {
      DaemonProcess::redirectOutput(log.c_str());
#ifndef __SANITIZE_ADDRESS__
      const rlimit limit{kEdgeMemoryMb << 20, kEdgeMemoryMb << 20};
      ::setrlimit(RLIMIT_DATA, &limit);
#endif
    });
  }
  awaitable<std::optional<HttpResponse>> answerList() {
    nlohmann::json rows = nlohmann::json::array();
    for (const auto& server : servers_) rows.push_back(server->listed());
    co_return jsonResponse(200, {{"instances", rows}, {"nextToken", nullptr}});
  }
  static nlohmann::json route(const std::string& prefix, const std::string& type) {
    return {{"name", "r" + prefix}, {"host", "h.example"}, {"prefix", prefix}, {"type", type},
            {"deadlineMs", 5000},   {"targetMs", 600},     {"prio", 1},        {"backend", "svc"},
            {"tries", 2},           {"public", false},     {"sticky", true},   {"resumable", true},
            {"gapTargetMs", 400}};
  }
  bool acceptsConfiguration() const {
    const nlohmann::json configuration{
        {"gen", 5},
        {"routes",
         {route("/stream/", "stream"), route("/safe/", "safe"), route("/good/", "stream")}},
        {"backends",
         {{{"name", "svc"},
           {"healthPath", "/healthz"},
           {"maxConns", 630},
           {"proto", "h1"},
           {"tls", false},
           {"runtime",
            {{"slots", 128},
             {"kvCapacity", 100000},
             {"kvTokenBytes", 18432},
             {"netMbps", 370000.0},
             {"blockSize", 16},
             {"maxInflight", 12},
             {"models", {{{"name", "m"}}}}}}}}},
        {"limits",
         {{"maxHeaderBytes", maxHeaderBytes_},
          {"maxBodyBytes", 4194304},
          {"headerTimeoutMs", 3000},
          {"idleTimeoutMs", 15000}}},
        {"tenants", {{{"name", "t"}, {"apiKeys", {"key"}}, {"prio", 1}, {"isolated", false}}}}};
    return changeConfiguration("PUT", configuration, 0).status == 200;
  }

  const std::uint64_t maxHeaderBytes_;
  asio::io_context io_;
  std::vector<std::unique_ptr<EndlessServer>> servers_;
  std::unique_ptr<HttpServer> list_;
  // Runs the stand-ins; ends before they do.
  struct IoThread {
    asio::io_context& io;
    std::thread thread;
    explicit IoThread(asio::io_context& context) : io(context), thread([this] { io.run(); }) {}
    ~IoThread() {
      io.stop();
      thread.join();
    }
  };
  std::optional<IoThread> thread_;
  std::vector<std::unique_ptr<DaemonProcess>> cores_;
  DaemonProcess edge_;
};

// Clients that ask for a path again and again, each on connections of its own, until destroyed.
class Callers {
 public:
  Callers(EdgeProcesses& processes, int count, const std::vector<std::string>& paths) {
    for (int i = 0; i < count; ++i) {
      const std::string& path = paths[static_cast<std::size_t>(i) % paths.size()];
      threads_.emplace_back([this, &processes, path] {
        while (!stopping_) {
          const ClientAnswer answer =
              processes.ask(path, EdgeProcesses::kClientPatience, [this] { return !stopping_; });
          if (answer.status == 200 && answer.isWhole) ++whole;
          std::this_thread::sleep_for(5ms);
        }
      });
    }
  }
  ~Callers() {
    stopping_ = true;
    for (auto& thread : threads_) thread.join();
  }
  std::atomic<int> whole{0};  // answers that looked complete

 private:
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> threads_;
};

}  // namespace quayrill::tests
