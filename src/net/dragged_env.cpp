#include "net/dragged_env.h"

#include <chrono>
#include <fstream>
#include <thread>

namespace quayrill {

namespace {
class SlowSyncFile : public leveldb::WritableFile {
 public:
  SlowSyncFile(leveldb::WritableFile* file, const std::string& dragFile)
      : file_(file), dragFile_(dragFile) {}
  leveldb::Status Append(const leveldb::Slice& bytes) override { return file_->Append(bytes); }
  leveldb::Status Close() override { return file_->Close(); }
  leveldb::Status Flush() override { return file_->Flush(); }
  leveldb::Status Sync() override {
    long milliseconds = 0;
    std::ifstream(dragFile_) >> milliseconds;
    if (milliseconds > 0) std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
    return file_->Sync();
  }

 private:
  std::unique_ptr<leveldb::WritableFile> file_;
  const std::string& dragFile_;
};

class SlowSyncEnv : public leveldb::EnvWrapper {
 public:
  SlowSyncEnv(std::string dragFile, leveldb::Env* target)
      : leveldb::EnvWrapper(target), dragFile_(std::move(dragFile)) {}
  leveldb::Status NewWritableFile(const std::string& name, leveldb::WritableFile** made) override {
    return wrapped(target()->NewWritableFile(name, made), made);
  }
  leveldb::Status NewAppendableFile(const std::string& name,
                                    leveldb::WritableFile** made) override {
    return wrapped(target()->NewAppendableFile(name, made), made);
  }

 private:
  leveldb::Status wrapped(leveldb::Status status, leveldb::WritableFile** made) const {
    if (status.ok()) *made = new SlowSyncFile(*made, dragFile_);
    return status;
  }
  std::string dragFile_;
};
}  // namespace

std::unique_ptr<leveldb::Env> slowSyncEnv(std::string dragFile, leveldb::Env* target) {
  return std::make_unique<SlowSyncEnv>(std::move(dragFile), target);
}

}  // namespace quayrill
