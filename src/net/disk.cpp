#include "net/disk.h"

#include <leveldb/db.h>
#include <leveldb/write_batch.h>

#include <filesystem>

#include "base/digest.h"
#include "net/slow_sync_env.h"
#include "net/start_thread.h"

namespace quayrill {

namespace {
constexpr std::chrono::seconds kOpenTimeout{1};
constexpr char kProbeKey[] = "probe";
constexpr char kChecksumKey[] = "sum";  // checksum over all other rows; synced with each batch

absl::Status damagedError(const std::string& what) {
  return absl::DataLossError("data folder: " + what +
                             ": start with an empty folder; the machine joins as a new member");
}

// LevelDB's own folder inside the data folder.
std::string databaseFolder(const std::string& folder) { return folder + "/register"; }
}  // namespace

std::string lockFileOf(const std::string& folder) { return databaseFolder(folder) + "/LOCK"; }

std::string damagedReplicaOf(const std::string& folder) {
  return databaseFolder(folder) + ".damaged";
}

absl::Status setDamagedReplicaAside(const std::string& folder) {
  std::error_code error;
  std::filesystem::remove_all(damagedReplicaOf(folder), error);
  if (!error) std::filesystem::rename(databaseFolder(folder), damagedReplicaOf(folder), error);
  if (!error) return absl::OkStatus();
  return absl::UnavailableError("data folder: the damaged replica can't be moved aside (" +
                                error.message() + "): empty '" + folder + "' by hand");
}

Disk::Disk(DiskSettings settings, ReopenedCallback onReopened)
    : settings_(std::move(settings)), onReopened_(std::move(onReopened)) {
  env_ = syncedFolderEnv(settings_.files.env ? settings_.files : hostFileSystem());
  if (!settings_.syncDelayFile.empty())
    slowSyncEnv_ = slowSyncEnv(settings_.syncDelayFile, env_.get());
}

Disk::~Disk() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) thread_.join();
}

// Opening also writes: LevelDB rewrites its log into a table and syncs it. What is read afterwards
// is therefore on the disk, whatever happened to the write that failed.
absl::Status Disk::openFolder() {
  absl::Status status = openDatabase(true);
  if (status.ok()) status = readRows();
  if (absl::IsDataLoss(status)) {
    // A power loss may leave a hole in the last batch of a log, if that batch was not synced yet.
    // Open again tolerating it; the checksum detects whether anything else is missing.
    status = openDatabase(false);
    if (status.ok()) status = readRows();
    if (status.ok()) status = openDatabase(true);
  }
  if (status.ok()) status = probe();
  if (!status.ok()) db_.reset();
  return status;
}

absl::Status Disk::openDatabase(bool strict) {
  db_.reset();
  leveldb::Options options;
  options.create_if_missing = true;
  options.paranoid_checks = strict;
  options.write_buffer_size = settings_.writeBuffer;
  options.env = slowSyncEnv_ ? slowSyncEnv_.get() : env_.get();
  leveldb::DB* db = nullptr;
  auto status = leveldb::DB::Open(options, databaseFolder(settings_.folder), &db);
  if (status.IsCorruption()) return damagedError(status.ToString());
  const std::string lockError = "lock " + lockFileOf(settings_.folder);
  if (!status.ok() && status.ToString().find(lockError) != std::string::npos)
    return absl::AlreadyExistsError("data folder: " + status.ToString() +
                                    ": end the other process or name another folder");
  if (!status.ok()) return absl::UnavailableError(status.ToString());
  db_.reset(db);
  return absl::OkStatus();
}

absl::Status Disk::probe() {
  leveldb::WriteOptions synced;
  synced.sync = true;
  const auto status = db_->Put(synced, kProbeKey, "");
  return status.ok() ? absl::OkStatus() : absl::UnavailableError(status.ToString());
}

absl::Status Disk::readRows() {
  leveldb::ReadOptions options;
  options.verify_checksums = true;
  options.fill_cache = false;
  rows_.clear();
  rowHashes_.clear();
  rowHashSum_ = 0;
  std::unique_ptr<leveldb::Iterator> row(db_->NewIterator(options));
  for (row->SeekToFirst(); row->Valid(); row->Next())
    rows_[row->key().ToString()] = row->value().ToString();
  if (row->status().IsCorruption()) return damagedError(row->status().ToString());
  if (!row->status().ok()) return absl::UnavailableError(row->status().ToString());
  rows_.erase(kProbeKey);
  std::optional<std::string> sum;
  if (auto checksumRow = rows_.extract(kChecksumKey)) sum = std::move(checksumRow.mapped());
  for (const auto& [key, bytes] : rows_) addRowHash({key, bytes});
  // A folder written by an earlier build has no checksum yet.
  if (sum && *sum != std::to_string(rowHashSum_)) return damagedError("rows are missing");
  return absl::OkStatus();
}

void Disk::addRowHash(const DiskWrite& write) {
  const std::uint64_t hash = combineHashes(stableHash(write.key), stableHash(write.bytes));
  std::uint64_t& row = rowHashes_[write.key];
  rowHashSum_ += hash - row;
  row = hash;
}

absl::StatusOr<std::optional<Disk::Rows>> Disk::open() {
  thread_ = startThread("the disk", [this] {
    openFirst();
    work();
  });
  std::unique_lock lock(mutex_);
  wake_.wait_for(lock, kOpenTimeout, [this] { return firstOpening_.has_value(); });
  isOpenWaiting_ = false;
  if (firstOpening_ && !firstOpening_->ok() && !absl::IsUnavailable(*firstOpening_))
    return *firstOpening_;
  return std::move(firstRows_);
}

void Disk::openFirst() {
  const absl::Status status = openFolder();
  std::optional<Rows> rows;
  if (status.ok()) rows = std::move(rows_);
  bool isOpenWaiting = false;
  {
    std::lock_guard lock(mutex_);
    isOpenWaiting = isOpenWaiting_;
    firstOpening_ = status;
    if (isOpenWaiting) firstRows_ = rows;
  }
  wake_.notify_all();
  error_ = status;
  if (isOpenWaiting || !status.ok()) return;
  error_ = absl::UnavailableError("the rows read by a late opening have not been adopted yet");
  rowsDelivered_ = true;
  onReopened_(*rows);
}

void Disk::reopen() {
  nextOpening_ = BootClock::now() + settings_.retryInterval;
  db_.reset();
  rowsDelivered_ = openFolder().ok();
  if (rowsDelivered_) onReopened_(std::move(rows_));
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
  if (error_.ok()) put(batch);
  for (const Job& job : batch) job.done(error_);
}

void Disk::put(const std::deque<Job>& batch) {
  leveldb::WriteBatch changes;
  bool hasWrites = false;
  for (const Job& job : batch) {
    for (const DiskWrite& write : job.writes) {
      changes.Put(write.key, write.bytes);
      addRowHash(write);
      hasWrites = true;
    }
  }
  if (!hasWrites) return;
  changes.Put(kChecksumKey, std::to_string(rowHashSum_));
  leveldb::WriteOptions options;
  options.sync = true;
  const auto status = db_->Write(options, &changes);
  if (status.ok()) return;
  error_ = absl::DataLossError(status.ToString());
  rowsDelivered_ = false;
}

void Disk::work() {
  for (;;) {
    std::deque<Job> batch;
    {
      std::unique_lock lock(mutex_);
      const auto hasWork = [this] { return stopping_ || !jobs_.empty(); };
      if (error_.ok() || rowsDelivered_)
        wake_.wait(lock, hasWork);
      else
        wake_.wait_for(lock, settings_.retryInterval, hasWork);
      if (stopping_ && jobs_.empty()) return;
      // A job without a callback stands for a call of resume(). A batch ends before it, so that
      // earlier writes fail and later ones are kept.
      while (!jobs_.empty() && jobs_.front().done) {
        batch.push_back(std::move(jobs_.front()));
        jobs_.pop_front();
      }
      if (batch.empty() && !jobs_.empty()) {
        jobs_.pop_front();
        if (rowsDelivered_) error_ = absl::OkStatus();
        rowsDelivered_ = false;
      }
    }
    sync(batch);
    if (!error_.ok() && !rowsDelivered_ && BootClock::now() >= nextOpening_) reopen();
  }
}

}  // namespace quayrill
