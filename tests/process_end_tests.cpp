// Tests of the daemon as a real process: ends that nobody asked for, by what other processes hold
// or by what the machine lacks for a while.
#include <sys/resource.h>
#include <sys/stat.h>

#include <catch2/catch.hpp>
#include <list>

#include "daemon_process.h"

using namespace quayrill::tests;

namespace {
// Over twice the grace of a process with the grace kShortGrace.
constexpr std::chrono::seconds kShortGrace{1};
constexpr std::chrono::milliseconds kOverTwiceGrace{3500};

sockaddr_in endpointAt(const std::string& ip, unsigned short port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

// A socket, closed at the end, that is bound to the address or connected from there.
class HeldAddress {
 public:
  HeldAddress(const std::string& ip, unsigned short port)
      : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    // Connections of a former daemon there may still wait for their end. Nothing else may share it.
    setReuse(1);
    const sockaddr_in address = endpointAt(ip, port);
    REQUIRE(::bind(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    setReuse(0);
  }
  // Resets a connection, which would hold the address for another minute if it was closed.
  ~HeldAddress() {
    const linger reset{1, 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    ::close(socket_);
  }
  HeldAddress(const HeldAddress&) = delete;
  HeldAddress& operator=(const HeldAddress&) = delete;

  void listen() const { REQUIRE(::listen(socket_, 16) == 0); }
  void connectTo(const std::string& ip, unsigned short port) const {
    const sockaddr_in address = endpointAt(ip, port);
    REQUIRE(::connect(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
  }

 private:
  void setReuse(int isOn) const {
    ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &isOn, sizeof isOn);
  }

  int socket_;
};

bool keepsRunning(DaemonProcess& daemon, std::chrono::milliseconds span) {
  return !eventually(span, [&] { return daemon.hasEnded(); });
}

bool startsToAnswer(const DaemonProcess& daemon) {
  return eventually(DaemonProcess::kStartLimit, [&] { return daemon.answers(); });
}

// Replaces the settings by a file whose readers wait for a writer, as those of a file system that
// hangs do.
void makeSettingsHang(const DaemonProcess& daemon) {
  std::filesystem::remove(daemon.settingsFile());
  REQUIRE(::mkfifo(daemon.settingsFile().c_str(), 0600) == 0);
}
}  // namespace

// Guards against: exit 1 after twice the grace, since a connection of any process has the port.
TEST_CASE("process: a start outlasts a connection that holds its address") {
  DaemonProcess daemon(74);
  daemon.grace = kShortGrace;
  daemon.writeSettings();
  const HeldAddress listener(daemon.ip(), 9000);
  listener.listen();
  for (const unsigned short port : {7360, 8683, 8687}) {
    INFO(port);
    {
      const HeldAddress connection(daemon.ip(), port);
      connection.connectTo(daemon.ip(), 9000);
      daemon.start();
      REQUIRE(keepsRunning(daemon, kOverTwiceGrace));
    }
    REQUIRE(startsToAnswer(daemon));
    REQUIRE(daemon.leaves());
  }
  // Names the process that has the address.
  CHECK(daemon.log().find("process " + std::to_string(::getpid())) != std::string::npos);
}

// Guards against: the same, with a predecessor that is suspended.
TEST_CASE("process: a start outlasts a suspended predecessor") {
  DaemonProcess predecessor(75);
  predecessor.grace = kShortGrace;
  predecessor.writeSettings();
  predecessor.start();
  REQUIRE(startsToAnswer(predecessor));
  predecessor.signal(SIGSTOP);
  DaemonProcess successor(75);
  successor.writeSettings(predecessor.settingsText());
  successor.start();
  REQUIRE(keepsRunning(successor, kOverTwiceGrace));
  predecessor.signal(SIGKILL);
  REQUIRE(startsToAnswer(successor));
  successor.grace = kShortGrace;
  CHECK(successor.leaves());
}

// Guards against: of several processes that wait for one address, all but the first end.
TEST_CASE("process: starts that wait for the same addresses take turns and none ends") {
  std::list<DaemonProcess> processes;
  for (int i = 0; i < 4; ++i) {
    DaemonProcess& process = processes.emplace_back(76);
    process.grace = kShortGrace;
    process.writeSettings(processes.front().settingsText());
    process.start();
    if (i == 0) REQUIRE(startsToAnswer(process));
  }
  REQUIRE(keepsRunning(processes.back(), kOverTwiceGrace));
  const auto serves = [](const DaemonProcess& process) {
    return process.log().find("started with role") != std::string::npos;
  };
  while (!processes.empty()) {
    INFO(processes.size());
    const auto findServing = [&] {
      return std::find_if(processes.begin(), processes.end(), serves);
    };
    REQUIRE(
        eventually(DaemonProcess::kStartLimit, [&] { return findServing() != processes.end(); }));
    for (DaemonProcess& process : processes) REQUIRE(keepsRunning(process, 100ms));
    REQUIRE(findServing()->leaves());
    processes.erase(findServing());
  }
}

// Guards against: SIGTERM isn't followed while the settings are read, and the platform ends the
// process by force.
TEST_CASE("process: settings that can't be read to their end do not keep it from leaving") {
  DaemonProcess daemon(77);
  daemon.grace = std::chrono::seconds(4);
  daemon.writeSettings();
  daemon.start();
  REQUIRE(startsToAnswer(daemon));
  makeSettingsHang(daemon);
  std::this_thread::sleep_for(2500ms);  // the file is read once a second
  CHECK(daemon.leaves());
}

// Guards against: the same at a start.
TEST_CASE("process: settings that hang at a start do not keep it from leaving") {
  DaemonProcess daemon(78);
  makeSettingsHang(daemon);
  daemon.start();
  std::this_thread::sleep_for(300ms);
  CHECK(daemon.leaves());
}

#ifndef __SANITIZE_ADDRESS__  // which needs more address space than the test leaves
// Guards against: signal 6 at a start, since the machine has no room for a thread at that moment.
TEST_CASE("process: a start waits for threads that the machine can't run yet") {
  DaemonProcess daemon(79);
  daemon.writeSettings();
  // The stack of a thread is as large as that of the process may be: none fits the address space.
  constexpr rlim_t kStack = 1 << 30, kAddressSpace = 900 << 20;
  daemon.start([&daemon] {
    DaemonProcess::redirectOutput(daemon.logFile().c_str());
    const rlimit stack{kStack, kStack}, space{kAddressSpace, RLIM_INFINITY};
    ::setrlimit(RLIMIT_STACK, &stack);
    ::setrlimit(RLIMIT_AS, &space);
  });
  REQUIRE(keepsRunning(daemon, 1500ms));
  const rlimit unlimited{RLIM_INFINITY, RLIM_INFINITY};
  REQUIRE(::prlimit(daemon.pid(), RLIMIT_AS, &unlimited, nullptr) == 0);
  REQUIRE(startsToAnswer(daemon));
  CHECK(daemon.log().find("can't start a thread") != std::string::npos);
  CHECK(daemon.leaves());
}
#endif
