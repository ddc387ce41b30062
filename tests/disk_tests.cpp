// Tests of the data folder on a real file system that is temporarily full. A file size limit of
// zero makes every write fail.
#include <sys/resource.h>
#include <unistd.h>
#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
#include <future>

#include "net/disk.h"

using namespace quayrill;
using namespace std::chrono_literals;

namespace {
// Simulates a full disk: makes every write of this process fail, or lifts that again.
void setFull(bool full) {
  std::signal(SIGXFSZ, SIG_IGN);
  rlimit limit{};
  ::getrlimit(RLIMIT_FSIZE, &limit);
  limit.rlim_cur = full ? 0 : limit.rlim_max;
  ::setrlimit(RLIMIT_FSIZE, &limit);
}

struct TemporaryFolder {
  std::string path =
      (std::filesystem::temp_directory_path() / ("quayrill-disk-" + std::to_string(::getpid())))
          .string();
  TemporaryFolder() { std::filesystem::create_directories(path); }
  ~TemporaryFolder() { std::filesystem::remove_all(path); }
};

absl::Status writeOne(Disk& disk, const std::string& key, const std::string& bytes) {
  std::promise<absl::Status> written;
  disk.write({{key, bytes}}, [&](absl::Status status) { written.set_value(status); });
  return written.get_future().get();
}
}  // namespace

TEST_CASE("disk: full, it fails every write until it was read anew and its reader resumes") {
  const TemporaryFolder folder;
  std::promise<Disk::Rows> reopened;
  Disk disk({folder.path, "", 5ms}, [&](Disk::Rows rows) { reopened.set_value(std::move(rows)); });
  const auto opened = disk.open();
  REQUIRE(opened.ok());
  REQUIRE(opened->has_value());
  CHECK((*opened)->empty());
  REQUIRE(writeOne(disk, "a", "1").ok());
  setFull(true);
  const bool failed = !writeOne(disk, "a", "2").ok();
  const bool failedAgain = !writeOne(disk, "b", "1").ok();
  setFull(false);
  CHECK(failed);
  CHECK(failedAgain);
  const Disk::Rows rows = reopened.get_future().get();
  // The failed write may or may not have reached the disk; the write after it was never attempted.
  CHECK((rows.at("a") == "1" || rows.at("a") == "2"));
  CHECK_FALSE(rows.contains("b"));
  CHECK_FALSE(writeOne(disk, "c", "1").ok());  // reopened, but resume() was not called yet
  disk.resume();
  CHECK(writeOne(disk, "d", "1").ok());
}

TEST_CASE("disk: a folder that is full at the start opens once there is room") {
  const TemporaryFolder folder;
  {
    Disk disk({folder.path, "", 5ms}, [](Disk::Rows) {});
    REQUIRE(disk.open().ok());
    REQUIRE(writeOne(disk, "kept", "yes").ok());
  }
  std::promise<Disk::Rows> reopened;
  Disk disk({folder.path, "", 5ms}, [&](Disk::Rows rows) { reopened.set_value(std::move(rows)); });
  setFull(true);
  const auto opened = disk.open();
  setFull(false);
  REQUIRE(opened.ok());
  CHECK_FALSE(opened->has_value());
  CHECK(reopened.get_future().get().at("kept") == "yes");
  disk.resume();
  CHECK(writeOne(disk, "more", "yes").ok());
}

TEST_CASE("disk: a folder in use by another opening is for the operator") {
  const TemporaryFolder folder;
  Disk first({folder.path, "", 5ms}, [](Disk::Rows) {});
  REQUIRE(first.open().ok());
  Disk second({folder.path, "", 5ms}, [](Disk::Rows) {});
  const auto opened = second.open();
  REQUIRE_FALSE(opened.ok());
  CHECK(opened.status().message().find("end the other process") != std::string::npos);
}
