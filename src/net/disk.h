#pragma once
// The data folder: LevelDB behind one thread. Everything waiting is synced in one batch, then
// answered in order.
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

// Ours, in bytes: a log that has grown past it is turned into a table. LevelDB lets writes wait
// when twelve tables are not compacted yet, so with batches of up to 1 MB the folder holds at most
// about 13 tables and two logs of up to 2 MB each; and an opening has little to read.
inline constexpr std::size_t kWriteBufferBytes = 1 << 20;

struct DiskSettings {
  std::string folder;
  std::string syncDelayFile;                      // "" but in runs with a slow disk
  std::chrono::milliseconds retryInterval{1000};  // how often a defective disk is opened anew
  FileSystem files{};                             // none: the system's
  std::size_t writeBuffer = kWriteBufferBytes;
};

class Disk {
 public:
  using Done = std::function<void(absl::Status)>;
  using Rows = std::map<std::string, std::string>;
  // Told on the disk's thread, each time that a defective folder was opened and read anew.
  using ReopenedCallback = std::function<void(Rows)>;
  Disk(DiskSettings settings, ReopenedCallback readAnew);
  ~Disk();
  // The rows kept; nothing where the folder can't be written now (full) or takes over a second
  // (stalled): the rows come by readAnew then. An error is for the operator: a folder that is
  // damaged, or in use by another process.
  absl::StatusOr<std::optional<Rows>> open();
  // `done` is called on the disk's thread, after the sync. After one error every later call fails
  // until the folder was read anew and the reader, who has taken those rows, said resume.
  void write(std::vector<DiskWrite> writes, Done done);
  void resume();

 private:
  struct Job {
    std::vector<DiskWrite> writes;
    Done done;  // empty: the mark of a resume
  };
  void work();
  void openFirst();
  void reopen();
  void sync(const std::deque<Job>& batch);
  void put(const std::deque<Job>& batch);
  absl::Status openFolder();
  absl::Status openDatabase(bool strictly);
  absl::Status probe();
  // Reads all rows and checks them against the sum that was synced with the last of them.
  absl::Status readRows();
  // Adds a row's hash to the sum, in place of that of the row it replaces.
  void addRowHash(const DiskWrite& write);

  DiskSettings settings_;
  ReopenedCallback onReopened_;
  std::unique_ptr<leveldb::Env> env_;
  std::unique_ptr<leveldb::Env> slowSyncEnv_;  // null but in runs with a slow disk
  std::unique_ptr<leveldb::DB> db_;            // null while the folder can't be opened
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Job> jobs_;  // bounded by the core's limit on replica work
  bool stopping_ = false;
  // What the first opening came to, and whether open() still waits for it.
  std::optional<absl::Status> firstOpening_;
  std::optional<Rows> firstRows_;
  bool isOpenWaiting_ = true;
  // Of the disk's thread.
  Rows rows_;  // of the present opening, until they are handed over
  std::map<std::string, std::uint64_t> rowHashes_;
  std::uint64_t rowHashSum_ = 0;
  // Once set, nothing is written until a resume; rowsDelivered_ says that the rows of
  // the present opening were handed over.
  absl::Status error_;
  bool rowsDelivered_ = false;
  Instant nextOpening_{};
  std::thread thread_;
};

}  // namespace quayrill
