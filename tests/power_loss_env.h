#pragma once
// Files in memory for LevelDB, with what a loss of power does to them. Every call that changes
// something is counted, and the power can be lost at any of them.
#include <leveldb/env.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "net/synced_folder_env.h"

namespace quayrill {

// A file's bytes are lasting up to its last sync; each later append survives, goes missing or comes
// back torn. A name that was made, renamed or removed since the last sync of the folder is kept or
// lost by itself. As LevelDB's own environment does, a sync of a manifest syncs the folder first.
class PowerLossEnv : public leveldb::EnvWrapper {
 public:
  PowerLossEnv() : leveldb::EnvWrapper(leveldb::Env::Default()) {}

  FileSystem files();                   // with folder syncs
  FileSystem filesWithoutFolderSync();  // a planted defect: folder syncs do nothing

  // A full disk refuses every write; syncs and names that are removed still work.
  void setFull(bool full);
  std::size_t operations() const;  // counted since the last loss
  bool hasPower() const;
  std::size_t peakBytes() const;  // of all files at once, names that are removed left out
  // The power goes at the operation of this number; from there on every call fails.
  void losePowerAt(std::size_t operation);
  // What the next start finds; `seed` 0: nothing survives that was not synced, 1: all of it.
  void restore(std::uint64_t seed);

  leveldb::Status NewSequentialFile(const std::string&, leveldb::SequentialFile**) override;
  leveldb::Status NewRandomAccessFile(const std::string&, leveldb::RandomAccessFile**) override;
  leveldb::Status NewWritableFile(const std::string&, leveldb::WritableFile**) override;
  leveldb::Status NewAppendableFile(const std::string&, leveldb::WritableFile**) override;
  bool FileExists(const std::string& name) override;
  leveldb::Status GetChildren(const std::string& folder, std::vector<std::string>*) override;
  leveldb::Status RemoveFile(const std::string& name) override;
  leveldb::Status CreateDir(const std::string&) override;
  leveldb::Status RemoveDir(const std::string&) override;
  leveldb::Status GetFileSize(const std::string& name, std::uint64_t* size) override;
  leveldb::Status RenameFile(const std::string& from, const std::string& to) override;
  leveldb::Status LockFile(const std::string&, leveldb::FileLock** lock) override;
  leveldb::Status UnlockFile(leveldb::FileLock* lock) override;
  leveldb::Status NewLogger(const std::string&, leveldb::Logger**) override;

 private:
  friend class PowerLossFile;
  struct Append {
    std::size_t offset = 0;
    std::string bytes;
  };
  struct File {
    std::string now;
    std::string synced;
    std::vector<Append> unsynced;  // since the last sync
  };
  using Names = std::map<std::string, std::shared_ptr<File>>;
  // Made: `from` is empty. Removed: `to` is empty.
  struct NameChange {
    std::string from, to;
    std::shared_ptr<File> file;
  };
  static void applyNameChange(const NameChange& change, Names* names);
  void change(NameChange change);
  leveldb::Status append(File& file, const leveldb::Slice& bytes);
  leveldb::Status sync(const std::string& name, File& file);
  leveldb::Status syncFolder();
  leveldb::Status countOperation();
  std::shared_ptr<File> find(const std::string& name) const;

  mutable std::mutex mutex_;
  Names current_, durable_;
  std::vector<NameChange> pendingNameChanges_;
  std::size_t operations_ = 0;
  std::size_t powerLossAt_ = SIZE_MAX;
  std::size_t bytes_ = 0, peakBytes_ = 0;
  bool full_ = false;
};

}  // namespace quayrill
