#pragma once
// The data folder: LevelDB behind one thread. Everything waiting is synced in one batch, then
// answered in order.
#include <absl/status/statusor.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "register/copy.h"

namespace leveldb {
class DB;
}

namespace quayrill {

class Disk {
 public:
  using Done = std::function<void(absl::Status)>;
  Disk();
  ~Disk();
  absl::Status open(const std::string& folder);
  std::map<std::string, std::string> readAll();
  // `done` is called on the disk's thread, after the sync. After one defect nothing is written
  // any more and every later call fails.
  void write(std::vector<DiskWrite> writes, Done done);

 private:
  struct Job {
    std::vector<DiskWrite> writes;
    Done done;
  };
  void work();
  std::unique_ptr<leveldb::DB> db_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Job> jobs_;  // bounded by the core's limit on copy work
  bool stopping_ = false;
  absl::Status defect_;
  std::thread thread_;
};

}  // namespace quayrill
