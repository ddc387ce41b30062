// Tests of the daemon as a real process: what may not end it, nor keep it from starting or leaving.
#include <sys/stat.h>

#include <catch2/catch.hpp>

#include "daemon_process.h"

using namespace quayrill::tests;

namespace {
// A socket that listens where the process is to listen.
int holdAddress(const std::string& ip, unsigned short port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  REQUIRE(::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
  REQUIRE(::listen(socket, 1) == 0);
  return socket;
}

// Locks the data folder as another process of the daemon does.
int holdDataFolder(const std::string& folder) {
  std::filesystem::create_directories(folder + "/data/register");
  const int file =
      ::open((folder + "/data/register/LOCK").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  struct flock lock {};
  lock.l_type = F_WRLCK;
  lock.l_whence = SEEK_SET;
  REQUIRE(::fcntl(file, F_SETLK, &lock) == 0);
  return file;
}

bool isRunning(DaemonProcess& daemon, std::chrono::milliseconds span) {
  return !eventually(span, [&] { return daemon.hasEnded(); });
}
}  // namespace

// Guards against: SIGHUP ends a process that still reads its settings (signal 1).
TEST_CASE("process: SIGHUP while it starts does not end it") {
  DaemonProcess daemon(66);
  REQUIRE(::mkfifo(daemon.settingsFile().c_str(), 0600) == 0);
  daemon.start();
  // Opens once the process reads its settings, and holds it there.
  const int settings = ::open(daemon.settingsFile().c_str(), O_WRONLY);
  for (int i = 0; i < 3; ++i) daemon.signal(SIGHUP);
  CHECK(isRunning(daemon, 200ms));
  const std::string text = daemon.settingsText();
  CHECK(::write(settings, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
  std::filesystem::remove(daemon.settingsFile());
  daemon.writeSettings();
  ::close(settings);
  CHECK(eventually(DaemonProcess::kStartLimit, [&] { return daemon.answers(); }));
  CHECK(daemon.leaves());
}

// Guards against: SIGTERM ends a process that still reads its settings by the signal, not with 0.
TEST_CASE("process: SIGTERM while it starts is a request to leave") {
  DaemonProcess daemon(67);
  REQUIRE(::mkfifo(daemon.settingsFile().c_str(), 0600) == 0);
  daemon.start();
  const int settings = ::open(daemon.settingsFile().c_str(), O_WRONLY);
  daemon.signal(SIGTERM);
  const std::string text = daemon.settingsText();
  (void)!::write(settings, text.data(), text.size());
  std::filesystem::remove(daemon.settingsFile());
  daemon.writeSettings();
  ::close(settings);
  REQUIRE(eventually(DaemonProcess::kGrace, [&] { return daemon.hasEnded(); }));
  CHECK(daemon.exitStatus() == 0);
}

// Guards against: a start right after a kill ends with 1 since its predecessor is not gone yet.
TEST_CASE("process: a start waits for an address that is still held") {
  DaemonProcess daemon(68);
  daemon.writeSettings();
  for (const unsigned short port : {7360, 8683}) {
    const int held = holdAddress(daemon.ip(), port);
    daemon.start();
    CHECK(isRunning(daemon, 1500ms));
    ::close(held);
    CHECK(eventually(DaemonProcess::kStartLimit, [&] { return daemon.answers(); }));
    CHECK(daemon.leaves());
  }
  CHECK(daemon.log().find("waiting for " + daemon.ip() + ":8683") != std::string::npos);
}

// Guards against: the same for the lock of the data folder.
TEST_CASE("process: a start waits for a data folder that is still locked") {
  DaemonProcess daemon(69);
  daemon.writeSettings();
  const int held = holdDataFolder(daemon.folder());
  daemon.start();
  CHECK(isRunning(daemon, 1500ms));
  ::close(held);
  CHECK(eventually(DaemonProcess::kStartLimit, [&] { return daemon.answers(); }));
  CHECK(daemon.leaves());
}

// Guards against: a settings file that is being replaced at a start ends the process with 2.
TEST_CASE("process: settings that are not there yet, or half written, are read again") {
  DaemonProcess daemon(70);
  const bool isHalfWritten = GENERATE(false, true);
  if (isHalfWritten) std::ofstream(daemon.settingsFile()) << "node=core-1\nip=127.";
  daemon.start();
  CHECK(isRunning(daemon, 500ms));
  daemon.writeSettings();
  CHECK(eventually(DaemonProcess::kStartLimit, [&] { return daemon.answers(); }));
  CHECK(daemon.leaves());
}

// Guards against: with standard error closed, the register's files get its descriptor and the log.
TEST_CASE("process: closed standard streams do not lead the log into the data folder") {
  DaemonProcess daemon(71);
  daemon.writeSettings();
  daemon.start([] {
    for (const int descriptor : {0, 1, 2}) ::close(descriptor);
  });
  REQUIRE(eventually(DaemonProcess::kStartLimit, [&] { return daemon.answers(); }));
  for (const char* descriptor : {"0", "1", "2"}) {
    const std::filesystem::path link =
        "/proc/" + std::to_string(daemon.pid()) + "/fd/" + descriptor;
    CHECK(std::filesystem::read_symlink(link) == "/dev/null");
  }
  CHECK(daemon.leaves());
}

// Guards against: a log that nobody reads stops all threads, and SIGTERM is not followed.
TEST_CASE("process: a full pipe as standard error stops neither its work nor its leaving") {
  DaemonProcess daemon(72);
  daemon.writeSettings();
  int pipe[2];
  REQUIRE(::pipe(pipe) == 0);
  REQUIRE(::fcntl(pipe[1], F_SETPIPE_SZ, 4096) >= 4096);
  daemon.start([pipe] {
    ::dup2(pipe[1], 1);
    ::dup2(pipe[1], 2);
  });
  ::close(pipe[1]);
  REQUIRE(eventually(DaemonProcess::kStartLimit, [&] { return daemon.answers(); }));
  // Each SIGHUP is logged by a line or more. The pipe holds some forty.
  for (int i = 0; i < 200; ++i) {
    daemon.signal(SIGHUP);
    std::this_thread::sleep_for(5ms);
  }
  CHECK(daemon.answers());
  CHECK(daemon.get("/metrics").find("quayrill_logLinesDropped 0\n") == std::string::npos);
  CHECK(daemon.leaves());
  ::close(pipe[0]);
}

// Guards against: a damaged data folder ends the process at every start, until someone empties it.
TEST_CASE("process: a damaged data folder is set aside and does not end the process") {
  DaemonProcess daemon(73);
  daemon.writeSettings();
  daemon.start();
  REQUIRE(eventually(DaemonProcess::kStartLimit, [&] {
    return daemon.get("/q/members").find("\"members\":[{") != std::string::npos;
  }));
  REQUIRE(daemon.leaves());
  std::filesystem::resize_file(daemon.folder() + "/data/register/CURRENT", 3);
  daemon.writeSettings(false);
  daemon.start();
  REQUIRE(eventually(DaemonProcess::kStartLimit, [&] { return daemon.answers(); }));
  CHECK(daemon.get("/metrics").find("quayrill_dataFoldersSetAside 1\n") != std::string::npos);
  CHECK(std::filesystem::exists(daemon.folder() + "/data/register.damaged/CURRENT"));
  CHECK(daemon.log().find("data folder is damaged") != std::string::npos);
  CHECK(daemon.leaves());
}
