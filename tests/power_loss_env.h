#pragma once
// An in-memory file system for LevelDB that simulates power loss. Every modifying call is counted
// as an operation, and the power can be lost at any operation.
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

// A file's bytes are durable up to its last sync; each later append independently survives, is lost
// or is torn. Names that were created, renamed or removed since the last directory sync are
// independently kept or lost. As in LevelDB's own environment, syncing a manifest syncs the
// directory first.
class PowerLossEnv : public leveldb::EnvWrapper {
 public:
  PowerLossEnv() : leveldb::EnvWrapper(leveldb::Env::Default()) {}

  // The file system with working directory syncs.
  FileSystem files();
  // Planted defect: directory syncs do nothing.
  FileSystem filesWithoutFolderSync();

  // A full disk rejects every write; syncs and removals still work.
  void setFull(bool full);
  // Operations since the last restore().
  std::size_t operations() const;
  bool hasPower() const;
  // Largest total size of all files at any time, without removed ones.
  std::size_t peakBytes() const;
  // Loses power at the operation with this number; from then on every modifying call fails.
  void losePowerAt(std::size_t operation);
  // Restores power and determines what survived. `seed` 0: nothing that was not synced, 1: all of
  // it, others: a random choice.
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
    std::string content;
    std::string syncedContent;     // as of the last sync
    std::vector<Append> unsynced;  // appends since the last sync
  };
  using Names = std::map<std::string, std::shared_ptr<File>>;
  // A rename. `from` is empty for a creation, `to` is empty for a removal.
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
  std::size_t operationCount_ = 0;
  std::size_t powerLossAt_ = SIZE_MAX;
  std::size_t totalBytes_ = 0, peakBytes_ = 0;
  bool full_ = false;
};

}  // namespace quayrill
