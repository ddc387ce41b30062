#include "net/disk.h"

#include <leveldb/db.h>
#include <leveldb/write_batch.h>

namespace quayrill {

Disk::Disk() = default;

Disk::~Disk() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) thread_.join();
}

absl::Status Disk::open(const std::string& folder) {
  leveldb::Options options;
  options.create_if_missing = true;
  options.paranoid_checks = true;
  leveldb::DB* db = nullptr;
  const auto status = leveldb::DB::Open(options, folder + "/register", &db);
  if (!status.ok())
    return absl::DataLossError("data folder: " + status.ToString() +
                               ": start with an empty folder; the machine joins as a new member");
  db_.reset(db);
  thread_ = std::thread([this] { work(); });
  return absl::OkStatus();
}

std::map<std::string, std::string> Disk::readAll() {
  std::map<std::string, std::string> rows;
  std::unique_ptr<leveldb::Iterator> row(db_->NewIterator({}));
  for (row->SeekToFirst(); row->Valid(); row->Next())
    rows[row->key().ToString()] = row->value().ToString();
  return rows;
}

void Disk::write(std::vector<DiskWrite> writes, Done done) {
  {
    std::lock_guard lock(mutex_);
    jobs_.push_back({std::move(writes), std::move(done)});
  }
  wake_.notify_one();
}

void Disk::work() {
  for (;;) {
    std::deque<Job> batch;
    {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
      if (jobs_.empty()) return;
      batch.swap(jobs_);
    }
    leveldb::WriteBatch changes;
    bool any = false;
    for (const Job& job : batch) {
      for (const DiskWrite& write : job.writes) {
        changes.Put(write.key, write.bytes);
        any = true;
      }
    }
    if (any && defect_.ok()) {
      leveldb::WriteOptions options;
      options.sync = true;
      const auto status = db_->Write(options, &changes);
      if (!status.ok()) defect_ = absl::DataLossError(status.ToString());
    }
    for (const Job& job : batch) job.done(defect_);
  }
}

}  // namespace quayrill
