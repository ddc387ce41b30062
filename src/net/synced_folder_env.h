#pragma once
// A LevelDB environment that adds the directory syncs which LevelDB omits. Without them a power
// loss may undo the creation of a log, including everything synced to it, or the renaming of
// CURRENT: the folder then presents an older state as if it were complete, although files of that
// state may be gone.
#include <leveldb/env.h>

#include <functional>
#include <memory>
#include <string>

namespace quayrill {

// A LevelDB environment, and the sync of a directory by its path, which LevelDB's interface lacks.
struct FileSystem {
  leveldb::Env* env = nullptr;
  std::function<leveldb::Status(const std::string&)> syncFolder;
};

// The file system of this machine.
FileSystem hostFileSystem();

// Syncs a directory after a log, a table or a directory was created in it and after a file was
// renamed in it, before the call returns. LevelDB itself syncs the directory before it syncs a
// manifest that names a table, but after writing the manifest, and those bytes may become durable
// without a sync. Removals need no sync: the manifest no longer names a file that reappears.
std::unique_ptr<leveldb::Env> syncedFolderEnv(FileSystem files);

}  // namespace quayrill
