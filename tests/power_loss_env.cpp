#include "power_loss_env.h"

#include <algorithm>
#include <cstring>

namespace quayrill {

using leveldb::Status;

namespace {
Status powerLostError() { return Status::IOError("the power is lost"); }

class InMemoryReader : public leveldb::SequentialFile, public leveldb::RandomAccessFile {
 public:
  explicit InMemoryReader(std::string bytes) : bytes_(std::move(bytes)) {}
  Status Read(std::size_t n, leveldb::Slice* result, char* scratch) override {
    Status status = Read(at_, n, result, scratch);
    at_ += result->size();
    return status;
  }
  Status Skip(std::uint64_t n) override {
    at_ = std::min<std::size_t>(bytes_.size(), at_ + n);
    return Status::OK();
  }
  Status Read(std::uint64_t offset, std::size_t n, leveldb::Slice* result,
              char* scratch) const override {
    const std::size_t from = std::min<std::size_t>(bytes_.size(), offset);
    const std::size_t count = std::min(n, bytes_.size() - from);
    std::memcpy(scratch, bytes_.data() + from, count);
    *result = leveldb::Slice(scratch, count);
    return Status::OK();
  }

 private:
  std::string bytes_;
  std::size_t at_ = 0;
};

class NoOpLock : public leveldb::FileLock {};
}  // namespace

class PowerLossFile : public leveldb::WritableFile {
 public:
  PowerLossFile(PowerLossEnv& env, std::string name, std::shared_ptr<PowerLossEnv::File> file)
      : env_(env), name_(std::move(name)), file_(std::move(file)) {}
  ~PowerLossFile() override { Flush(); }
  // Bytes appended between two flushes form one write, as with LevelDB's own files.
  Status Append(const leveldb::Slice& bytes) override {
    buffered_.append(bytes.data(), bytes.size());
    return buffered_.size() < kFlushThresholdBytes ? Status::OK() : Flush();
  }
  Status Close() override { return Flush(); }
  Status Flush() override {
    if (buffered_.empty()) return Status::OK();
    const std::string bytes = std::move(buffered_);
    buffered_.clear();
    return env_.append(*file_, bytes);
  }
  Status Sync() override {
    const Status status = Flush();
    return status.ok() ? env_.sync(name_, *file_) : status;
  }

 private:
  static constexpr std::size_t kFlushThresholdBytes = 64 << 10;
  std::string buffered_;
  PowerLossEnv& env_;
  std::string name_;
  std::shared_ptr<PowerLossEnv::File> file_;
};

FileSystem PowerLossEnv::files() {
  return {this, [this](const std::string&) {
            std::lock_guard lock(mutex_);
            return syncFolder();
          }};
}

FileSystem PowerLossEnv::filesWithoutFolderSync() {
  return {this, [](const std::string&) { return Status::OK(); }};
}

std::size_t PowerLossEnv::operations() const {
  std::lock_guard lock(mutex_);
  return operationCount_;
}

void PowerLossEnv::setFull(bool full) {
  std::lock_guard lock(mutex_);
  full_ = full;
}

bool PowerLossEnv::hasPower() const {
  std::lock_guard lock(mutex_);
  return operationCount_ < powerLossAt_;
}

std::size_t PowerLossEnv::peakBytes() const {
  std::lock_guard lock(mutex_);
  return peakBytes_;
}

void PowerLossEnv::losePowerAt(std::size_t operation) {
  std::lock_guard lock(mutex_);
  powerLossAt_ = operation;
}

void PowerLossEnv::restore(std::uint64_t seed) {
  std::lock_guard lock(mutex_);
  std::mt19937_64 random(seed);
  const auto draw = [&](std::uint64_t outcomes) { return seed > 1 ? random() % outcomes : seed; };
  current_ = durable_;
  for (const NameChange& change : pendingNameChanges_) {
    if (draw(2) == 1) applyNameChange(change, &current_);
  }
  for (const auto& [name, file] : current_) {
    for (const Append& append : file->unsynced) {
      std::string bytes = append.bytes;
      const std::uint64_t outcome = draw(3);  // 0: lost, 1: written, 2: written in part
      if (outcome == 0) continue;
      if (outcome == 2) bytes.resize(random() % (bytes.size() + 1));
      if (file->syncedContent.size() < append.offset + bytes.size())
        file->syncedContent.resize(append.offset + bytes.size());
      file->syncedContent.replace(append.offset, bytes.size(), bytes);
    }
    file->unsynced.clear();
    file->content = file->syncedContent;
  }
  totalBytes_ = 0;
  for (const auto& [name, file] : current_) totalBytes_ += file->content.size();
  durable_ = current_;
  pendingNameChanges_.clear();
  operationCount_ = 0;
  powerLossAt_ = SIZE_MAX;
}

Status PowerLossEnv::countOperation() {
  ++operationCount_;
  return operationCount_ >= powerLossAt_ ? powerLostError() : Status::OK();
}

std::shared_ptr<PowerLossEnv::File> PowerLossEnv::find(const std::string& name) const {
  const auto row = current_.find(name);
  return row == current_.end() ? nullptr : row->second;
}

void PowerLossEnv::applyNameChange(const NameChange& change, Names* names) {
  const auto from = names->find(change.from);
  if (from != names->end() && from->second == change.file) names->erase(from);
  if (!change.to.empty()) (*names)[change.to] = change.file;
}

void PowerLossEnv::change(NameChange change) {
  const auto replaced = current_.find(change.to);
  if (replaced != current_.end()) totalBytes_ -= replaced->second->content.size();
  if (change.to.empty()) totalBytes_ -= change.file->content.size();
  applyNameChange(change, &current_);
  pendingNameChanges_.push_back(std::move(change));
}

Status PowerLossEnv::append(File& file, const leveldb::Slice& bytes) {
  std::lock_guard lock(mutex_);
  if (operationCount_ >= powerLossAt_) return powerLostError();
  if (full_) return Status::IOError("no space is left");
  file.unsynced.push_back({file.content.size(), bytes.ToString()});
  file.content.append(bytes.data(), bytes.size());
  totalBytes_ += bytes.size();
  peakBytes_ = std::max(peakBytes_, totalBytes_);
  return countOperation();
}

Status PowerLossEnv::syncFolder() {
  if (Status status = countOperation(); !status.ok()) return status;
  durable_ = current_;
  pendingNameChanges_.clear();
  return Status::OK();
}

Status PowerLossEnv::sync(const std::string& name, File& file) {
  std::lock_guard lock(mutex_);
  if (name.find("/MANIFEST") != std::string::npos) {
    if (Status status = syncFolder(); !status.ok()) return status;
  }
  if (Status status = countOperation(); !status.ok()) return status;
  file.syncedContent = file.content;
  file.unsynced.clear();
  return Status::OK();
}

Status PowerLossEnv::NewSequentialFile(const std::string& name, leveldb::SequentialFile** result) {
  std::lock_guard lock(mutex_);
  const auto file = find(name);
  if (!file) return Status::NotFound(name);
  *result = new InMemoryReader(file->content);
  return Status::OK();
}

Status PowerLossEnv::NewRandomAccessFile(const std::string& name,
                                         leveldb::RandomAccessFile** result) {
  std::lock_guard lock(mutex_);
  const auto file = find(name);
  if (!file) return Status::NotFound(name);
  *result = new InMemoryReader(file->content);
  return Status::OK();
}

Status PowerLossEnv::NewWritableFile(const std::string& name, leveldb::WritableFile** result) {
  std::lock_guard lock(mutex_);
  if (operationCount_ >= powerLossAt_) return powerLostError();
  auto file = std::make_shared<File>();
  change({{}, name, file});
  if (Status status = countOperation(); !status.ok()) return status;
  *result = new PowerLossFile(*this, name, std::move(file));
  return Status::OK();
}

Status PowerLossEnv::NewAppendableFile(const std::string& name, leveldb::WritableFile** result) {
  {
    std::lock_guard lock(mutex_);
    if (operationCount_ >= powerLossAt_) return powerLostError();
    if (auto file = find(name)) {
      *result = new PowerLossFile(*this, name, std::move(file));
      return Status::OK();
    }
  }
  return NewWritableFile(name, result);
}

bool PowerLossEnv::FileExists(const std::string& name) {
  std::lock_guard lock(mutex_);
  return find(name) != nullptr;
}

Status PowerLossEnv::GetChildren(const std::string& folder, std::vector<std::string>* children) {
  std::lock_guard lock(mutex_);
  children->clear();
  for (const auto& [name, file] : current_) {
    if (name.rfind(folder + "/", 0) == 0) children->push_back(name.substr(folder.size() + 1));
  }
  return Status::OK();
}

Status PowerLossEnv::RemoveFile(const std::string& name) {
  std::lock_guard lock(mutex_);
  if (operationCount_ >= powerLossAt_) return powerLostError();
  const auto file = find(name);
  if (!file) return Status::NotFound(name);
  change({name, {}, file});
  return countOperation();
}

Status PowerLossEnv::RenameFile(const std::string& from, const std::string& to) {
  std::lock_guard lock(mutex_);
  if (operationCount_ >= powerLossAt_) return powerLostError();
  const auto file = find(from);
  if (!file) return Status::NotFound(from);
  change({from, to, file});
  return countOperation();
}

Status PowerLossEnv::GetFileSize(const std::string& name, std::uint64_t* size) {
  std::lock_guard lock(mutex_);
  const auto file = find(name);
  if (!file) return Status::NotFound(name);
  *size = file->content.size();
  return Status::OK();
}

Status PowerLossEnv::CreateDir(const std::string&) { return Status::OK(); }
Status PowerLossEnv::RemoveDir(const std::string&) { return Status::OK(); }
Status PowerLossEnv::LockFile(const std::string&, leveldb::FileLock** lock) {
  *lock = new NoOpLock;
  return Status::OK();
}
Status PowerLossEnv::UnlockFile(leveldb::FileLock* lock) {
  delete lock;
  return Status::OK();
}
Status PowerLossEnv::NewLogger(const std::string& name, leveldb::Logger**) {
  return Status::NotSupported(name);
}

}  // namespace quayrill
