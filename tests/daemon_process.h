#pragma once
// One real process of the platform's daemon, for tests of how it starts and ends.
#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <string>
#include <thread>

namespace quayrill::tests {

using namespace std::chrono_literals;

// A folder of its own below the system's folder for temporary files, removed at the end.
struct ProcessFolder {
  std::string path;
  ProcessFolder() {
    static int folders = 0;
    const std::string name =
        "quayrill-process-" + std::to_string(::getpid()) + "-" + std::to_string(++folders);
    path = (std::filesystem::temp_directory_path() / name).string();
    std::filesystem::remove_all(path);
    std::filesystem::create_directories(path + "/data");
  }
  ~ProcessFolder() { std::filesystem::remove_all(path); }
  ProcessFolder(const ProcessFolder&) = delete;
  ProcessFolder& operator=(const ProcessFolder&) = delete;
};

// Calls `holds` until it returns true, for at most `limit`. Returns whether it did.
inline bool eventually(std::chrono::milliseconds limit, const std::function<bool()>& holds) {
  const auto until = std::chrono::steady_clock::now() + limit;
  while (!holds()) {
    if (std::chrono::steady_clock::now() >= until) return false;
    std::this_thread::sleep_for(5ms);
  }
  return true;
}

// A core machine that is a fleet of its own. No platform answers it.
class DaemonProcess {
 public:
  // `net` tells apart the loopback addresses of tests.
  explicit DaemonProcess(int net) : DaemonProcess("127." + std::to_string(net) + ".1.1") {}
  explicit DaemonProcess(std::string ip) : ip_(std::move(ip)) {
    std::signal(SIGPIPE, SIG_IGN);  // a test writes to a process that may have ended
  }
  ~DaemonProcess() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  const std::string& ip() const { return ip_; }
  const std::string& folder() const { return folder_.path; }
  std::string settingsFile() const { return folder() + "/settings.conf"; }
  std::string logFile() const { return folder() + "/log"; }
  std::string settingsText(bool bootstrap = true) const {
    return "node=core-1\nzone=a\nip=" + ip_ + "\nportRange=7360,7375\nseeds=" + ip_ +
           ":8683\nlisten.ctl=" + ip_ + ":8683\nlisten.readyz=" + ip_ +
           ":8687\ndataDir=" + folder() + "/data\nprovider.addr=" + ip_ +
           ":8688\nbounds.graceS=" + std::to_string(grace.count()) +
           "\nbootstrap=" + (bootstrap ? "true" : "false") + "\n";
  }
  void writeSettings(bool bootstrap = true) const { writeSettings(settingsText(bootstrap)); }
  void writeSettings(const std::string& text) const {
    std::ofstream(settingsFile(), std::ios::trunc) << text;
  }

  // Sends output to the log file. Runs in the child.
  static void redirectOutput(const char* log) {
    const int output = ::open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(output, 1);
    ::dup2(output, 2);
  }

  // Starts the program. `prepare` runs in the child, right before the program replaces it; by
  // default, output goes to the log file.
  void start(const std::function<void()>& prepare = nullptr) {
    const std::string variable = "QUAYRILL_CONFIG=" + settingsFile();
    const std::string log = logFile();
    pid_ = ::fork();
    if (pid_ != 0) return;
    std::signal(SIGPIPE, SIG_DFL);
    sigset_t none;
    sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    if (prepare) {
      prepare();
    } else {
      redirectOutput(log.c_str());
    }
    char program[] = QUAYRILL_PLATFORM_DAEMON;
    char* arguments[] = {program, nullptr};
    std::string settings = variable;
    char* environment[] = {settings.data(), nullptr};
    ::execve(program, arguments, environment);
    ::_exit(127);
  }
  void signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
  }
  pid_t pid() const { return pid_; }

  // Whether the process has ended.
  bool hasEnded() {
    if (pid_ <= 0) return true;
    if (::waitpid(pid_, &status_, WNOHANG) != pid_) return false;
    pid_ = 0;
    return true;
  }
  // How the process ended: its exit status, or minus the number of the signal that ended it.
  int exitStatus() const {
    return WIFSIGNALED(status_) ? -WTERMSIG(status_) : WEXITSTATUS(status_);
  }
  // Sends SIGTERM; whether the process then exits with 0 within the grace.
  bool leaves() {
    if (hasEnded()) return false;
    signal(SIGTERM);
    return eventually(grace, [this] { return hasEnded(); }) && exitStatus() == 0;
  }

  // The text that the operators' address answers to GET `path`; empty if it does not answer.
  std::string get(const std::string& path, unsigned short port = 8683) const {
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ip_.c_str(), &address.sin_addr);
    const timeval limit{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    std::string text;
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
      const std::string request =
          "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
      (void)::send(socket, request.data(), request.size(), MSG_NOSIGNAL);
      char part[4096];
      for (ssize_t got = 0; (got = ::recv(socket, part, sizeof part, 0)) > 0;)
        text.append(part, static_cast<std::size_t>(got));
    }
    ::close(socket);
    return text;
  }
  bool answers() const { return get("/healthz").find("200 OK") != std::string::npos; }
  std::string log() const {
    std::ifstream in(logFile());
    return {std::istreambuf_iterator<char>(in), {}};
  }

  static constexpr std::chrono::seconds kGrace{8};
  std::chrono::seconds grace = kGrace;  // to be set before the settings are written
  // For a start on a busy machine or with sanitizers.
  static constexpr std::chrono::seconds kStartLimit{20};

 private:
  ProcessFolder folder_;
  std::string ip_;
  pid_t pid_ = 0;
  int status_ = 0;
};

}  // namespace quayrill::tests
