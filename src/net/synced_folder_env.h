#pragma once
// LevelDB's environment with the folder syncs that it leaves out. Without them a loss of power may
// take back the making of a log, with all that was synced to it, or the renaming of CURRENT, while
// the files that the older state needs are gone: the folder then shows an older state as a whole
// one.
#include <leveldb/env.h>

#include <functional>
#include <memory>
#include <string>

namespace quayrill {

// Files, and the sync of a folder by its path, which LevelDB's own interface lacks.
struct FileSystem {
  leveldb::Env* env = nullptr;
  std::function<leveldb::Status(const std::string&)> syncFolder;
};

FileSystem hostFileSystem();

// Syncs a folder when a log, a table or a folder was made in it, and when a file was renamed in it,
// before the call returns. LevelDB syncs the folder before the manifest that names a table, but
// after it has written there, and what was written may last without a sync. A removal that is taken
// back does no harm: the manifest no longer names the file.
std::unique_ptr<leveldb::Env> syncedFolderEnv(FileSystem files);

}  // namespace quayrill
