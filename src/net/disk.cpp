#include "net/disk.h"

#include <leveldb/db.h>
#include <leveldb/write_batch.h>

#include "net/dragged_env.h"

namespace quayrill {

namespace {
constexpr std::chrono::seconds kOpeningDue{1};
}

Disk::Disk(DiskBoot boot, ReadAnew readAnew)
    : boot_(std::move(boot)), readAnew_(std::move(readAnew)) {
  if (!boot_.dragFile.empty()) env_ = draggedEnv(boot_.dragFile);
}

Disk::~Disk() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) thread_.join();
}

// Opening writes: LevelDB rewrites its log into a table and syncs it, so what is read afterwards is
// on the disk, whatever became of the write that failed.
absl::Status Disk::openFolder() {
  leveldb::Options options;
  options.create_if_missing = true;
  options.paranoid_checks = true;
  if (env_) options.env = env_.get();
  leveldb::DB* db = nullptr;
  auto status = leveldb::DB::Open(options, boot_.folder + "/register", &db);
  if (status.IsCorruption())
    return absl::DataLossError("data folder: " + status.ToString() +
                               ": start with an empty folder; the machine joins as a new member");
  if (!status.ok() && status.ToString().find("lock") != std::string::npos)
    return absl::FailedPreconditionError("data folder: " + status.ToString() +
                                         ": end the other process or name another folder");
  if (!status.ok()) return absl::UnavailableError(status.ToString());
  db_.reset(db);
  leveldb::WriteOptions synced;
  synced.sync = true;
  status = db_->Put(synced, "probe", "");
  if (status.ok()) return absl::OkStatus();
  db_.reset();
  return absl::UnavailableError(status.ToString());
}

absl::StatusOr<std::optional<Disk::Rows>> Disk::open() {
  thread_ = std::thread([this] {
    openFirst();
    work();
  });
  std::unique_lock lock(mutex_);
  wake_.wait_for(lock, kOpeningDue, [this] { return firstOpening_.has_value(); });
  openWaits_ = false;
  if (firstOpening_ && !firstOpening_->ok() && !absl::IsUnavailable(*firstOpening_))
    return *firstOpening_;
  return std::move(firstRows_);
}

void Disk::openFirst() {
  const absl::Status status = openFolder();
  std::optional<Rows> rows;
  if (status.ok()) rows = readAll();
  bool waits = false;
  {
    std::lock_guard lock(mutex_);
    waits = openWaits_;
    firstOpening_ = status;
    if (waits) firstRows_ = rows;
  }
  wake_.notify_all();
  defect_ = status;
  if (waits || !status.ok()) return;
  defect_ = absl::UnavailableError("the rows of a late opening are not taken yet");
  told_ = true;
  readAnew_(*rows);
}

void Disk::openAnew() {
  nextOpening_ = BootClock::now() + boot_.retryEvery;
  db_.reset();
  told_ = openFolder().ok();
  if (told_) readAnew_(readAll());
}

Disk::Rows Disk::readAll() const {
  Rows rows;
  std::unique_ptr<leveldb::Iterator> row(db_->NewIterator({}));
  for (row->SeekToFirst(); row->Valid(); row->Next())
    rows[row->key().ToString()] = row->value().ToString();
  rows.erase("probe");
  return rows;
}

void Disk::write(std::vector<DiskWrite> writes, Done done) {
  {
    std::lock_guard lock(mutex_);
    jobs_.push_back({std::move(writes), std::move(done)});
  }
  wake_.notify_one();
}

void Disk::resume() { write({}, nullptr); }

void Disk::sync(const std::deque<Job>& batch) {
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
    if (!status.ok()) {
      defect_ = absl::DataLossError(status.ToString());
      told_ = false;
    }
  }
  for (const Job& job : batch) job.done(defect_);
}

void Disk::work() {
  for (;;) {
    std::deque<Job> batch;
    {
      std::unique_lock lock(mutex_);
      const auto woken = [this] { return stopping_ || !jobs_.empty(); };
      if (defect_.ok() || told_)
        wake_.wait(lock, woken);
      else
        wake_.wait_for(lock, boot_.retryEvery, woken);
      if (stopping_ && jobs_.empty()) return;
      // A batch ends before a mark, so that what came earlier fails and what comes later is kept.
      while (!jobs_.empty() && jobs_.front().done) {
        batch.push_back(std::move(jobs_.front()));
        jobs_.pop_front();
      }
      if (batch.empty() && !jobs_.empty()) {
        jobs_.pop_front();
        if (told_) defect_ = absl::OkStatus();
        told_ = false;
      }
    }
    sync(batch);
    if (!defect_.ok() && !told_ && BootClock::now() >= nextOpening_) openAnew();
  }
}

}  // namespace quayrill
