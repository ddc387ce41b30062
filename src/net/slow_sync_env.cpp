#include "net/slow_sync_env.h"

#include <chrono>
#include <fstream>
#include <thread>

namespace quayrill {

namespace {
class SlowSyncFile : public leveldb::WritableFile {
 public:
  SlowSyncFile(leveldb::WritableFile* file, const std::string& syncDelayFile)
      : file_(file), syncDelayFile_(syncDelayFile) {}
  leveldb::Status Append(const leveldb::Slice& bytes) override { return file_->Append(bytes); }
  leveldb::Status Close() override { return file_->Close(); }
  leveldb::Status Flush() override { return file_->Flush(); }
  leveldb::Status Sync() override {
    long milliseconds = 0;
    std::ifstream(syncDelayFile_) >> milliseconds;
    if (milliseconds > 0) std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
    return file_->Sync();
  }

 private:
  std::unique_ptr<leveldb::WritableFile> file_;
  const std::string& syncDelayFile_;
};

class SlowSyncEnv : public leveldb::EnvWrapper {
 public:
  SlowSyncEnv(std::string syncDelayFile, leveldb::Env* target)
      : leveldb::EnvWrapper(target), syncDelayFile_(std::move(syncDelayFile)) {}
  leveldb::Status NewWritableFile(const std::string& name,
                                  leveldb::WritableFile** result) override {
    return wrapped(target()->NewWritableFile(name, result), result);
  }
  leveldb::Status NewAppendableFile(const std::string& name,
                                    leveldb::WritableFile** result) override {
    return wrapped(target()->NewAppendableFile(name, result), result);
  }

 private:
  leveldb::Status wrapped(leveldb::Status status, leveldb::WritableFile** result) const {
    if (status.ok()) *result = new SlowSyncFile(*result, syncDelayFile_);
    return status;
  }
  std::string syncDelayFile_;
};
}  // namespace

std::unique_ptr<leveldb::Env> slowSyncEnv(std::string syncDelayFile, leveldb::Env* target) {
  return std::make_unique<SlowSyncEnv>(std::move(syncDelayFile), target);
}

}  // namespace quayrill
