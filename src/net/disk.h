#pragma once
// The data folder: a LevelDB database that one thread owns. All waiting writes are synced as one
// batch and then acknowledged in order.
#include <absl/status/statusor.h>

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.h"
#include "net/synced_folder_env.h"
#include "register/replica.h"

namespace leveldb {
class DB;
}  // namespace leveldb

namespace quayrill {

// LevelDB turns a log that has grown past this size into a table. It stalls writes while twelve
// tables wait for compaction, so with batches of up to 1 MB the folder holds at most about 13
// tables and two logs of up to 2 MB each, and opening it has little to read.
inline constexpr std::size_t kWriteBufferBytes = 1 << 20;

struct DiskSettings {
  std::string folder;                             // path of the data folder; must exist
  std::string syncDelayFile;                      // for tests with a slow disk; else empty
  std::chrono::milliseconds retryInterval{1000};  // between attempts to reopen a failed disk
  FileSystem files{};                             // default: the host's file system
  std::size_t writeBuffer = kWriteBufferBytes;
};

// The file that a process locks while it uses the data folder.
std::string lockFileOf(const std::string& folder);

// Where a damaged replica of the data folder is kept for inspection.
std::string damagedReplicaOf(const std::string& folder);

// Moves the replica in the data folder to damagedReplicaOf(folder), in place of an earlier one, so
// that the folder can be opened as an empty one. Its machine then joins as a new member, as after
// the loss of its disk.
absl::Status setDamagedReplicaAside(const std::string& folder);

// Stores the register replica's rows durably. After an I/O error it reopens the database until that
// works, and then hands over the rows that are really there.
class Disk {
 public:
  using Done = std::function<void(absl::Status)>;
  using Rows = std::map<std::string, std::string>;
  // Called on the disk's thread, each time that a failed folder was reopened and read again.
  using ReopenedCallback = std::function<void(Rows)>;
  // Does not access the folder yet; open() does.
  Disk(DiskSettings settings, ReopenedCallback onReopened);
  // Finishes all queued writes.
  ~Disk();
  // Returns the stored rows. Returns nullopt if the folder can't be written now (full) or takes
  // over a second (stalled); the rows are then passed to the reopened callback later. An error is
  // meant for the operator: the folder is damaged, or in use by another process.
  absl::StatusOr<std::optional<Rows>> open();
  // Calls `done` on the disk's thread, after the sync. After an error every later write fails until
  // the folder was reopened and resume() was called.
  void write(std::vector<DiskWrite> writes, Done done);
  // To be called once the rows that the reopened callback passed have been adopted.
  void resume();

 private:
  struct Job {
    std::vector<DiskWrite> writes;
    Done done;  // empty: marks a resume()
  };
  // The loop of the disk's thread.
  void work();
  void openFirst();
  // Retries a failed opening or reopens after an error.
  void reopen();
  // Writes and syncs a batch and then acknowledges its jobs.
  void sync(const std::deque<Job>& batch);
  void put(const std::deque<Job>& batch);
  absl::Status openFolder();
  // `strict`: treats any damage to the logs as an error.
  absl::Status openDatabase(bool strict);
  // Checks that the folder can be written, with a synced write.
  absl::Status probe();
  // Reads all rows and checks them against the checksum that was synced with the last batch.
  absl::Status readRows();
  // Adds a row's hash to the sum, replacing the hash of the row's previous value.
  void addRowHash(const DiskWrite& write);

  DiskSettings settings_;
  ReopenedCallback onReopened_;
  std::unique_ptr<leveldb::Env> env_;
  std::unique_ptr<leveldb::Env> slowSyncEnv_;  // null unless syncDelayFile is set
  std::unique_ptr<leveldb::DB> db_;            // null while the folder can't be opened
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Job> jobs_;  // bounded by AgentCore's limit on pending replica work
  bool stopping_ = false;
  // Result of the first opening, and whether open() still waits for it.
  std::optional<absl::Status> firstOpening_;
  std::optional<Rows> firstRows_;
  bool isOpenWaiting_ = true;
  // The members below are used by the disk's thread only.
  Rows rows_;  // read at the latest opening, until they are handed over
  std::map<std::string, std::uint64_t> rowHashes_;
  std::uint64_t rowHashSum_ = 0;
  // While an error is set, nothing is written. It is cleared by a resume() after the rows of the
  // latest opening were handed over (rowsDelivered_).
  absl::Status error_;
  bool rowsDelivered_ = false;
  Instant nextOpening_{};
  std::thread thread_;
};

}  // namespace quayrill
