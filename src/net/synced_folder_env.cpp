#include "net/synced_folder_env.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace quayrill {

namespace {
std::string folderOf(const std::string& path) {
  const auto slash = path.rfind('/');
  if (slash == std::string::npos) return ".";
  return slash == 0 ? "/" : path.substr(0, slash);
}

bool endsWith(const std::string& path, const std::string& end) {
  return path.size() >= end.size() && path.compare(path.size() - end.size(), end.size(), end) == 0;
}

// Syncs a directory in the way LevelDB does.
leveldb::Status syncSystemFolder(const std::string& folder) {
  const auto failed = [&] { return leveldb::Status::IOError(folder, std::strerror(errno)); };
  const int handle = ::open(folder.c_str(), O_RDONLY | O_CLOEXEC);
  if (handle < 0) return failed();
  auto status = ::fsync(handle) == 0 ? leveldb::Status::OK() : failed();
  ::close(handle);
  return status;
}

class SyncedFolderEnv : public leveldb::EnvWrapper {
 public:
  explicit SyncedFolderEnv(FileSystem files)
      : leveldb::EnvWrapper(files.env), syncFolder_(std::move(files.syncFolder)) {}

  leveldb::Status NewWritableFile(const std::string& name,
                                  leveldb::WritableFile** result) override {
    auto status = target()->NewWritableFile(name, result);
    if (!status.ok() || !(endsWith(name, ".log") || endsWith(name, ".ldb"))) return status;
    auto synced = syncFolder_(folderOf(name));
    if (synced.ok()) return synced;
    delete *result;
    *result = nullptr;
    return synced;
  }
  leveldb::Status RenameFile(const std::string& from, const std::string& to) override {
    auto status = target()->RenameFile(from, to);
    // LOG.old is LevelDB's informational log and is never read back.
    if (!status.ok() || endsWith(to, "/LOG.old")) return status;
    return syncFolder_(folderOf(to));
  }
  leveldb::Status CreateDir(const std::string& name) override {
    auto status = target()->CreateDir(name);
    return status.ok() ? syncFolder_(folderOf(name)) : status;
  }

 private:
  std::function<leveldb::Status(const std::string&)> syncFolder_;
};
}  // namespace

FileSystem hostFileSystem() { return {leveldb::Env::Default(), syncSystemFolder}; }

std::unique_ptr<leveldb::Env> syncedFolderEnv(FileSystem files) {
  return std::make_unique<SyncedFolderEnv>(std::move(files));
}

}  // namespace quayrill
