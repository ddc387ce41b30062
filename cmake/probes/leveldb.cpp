// Opens a database where there is none and none may be made, which is an error and no end.
#include <leveldb/db.h>

int main() {
  leveldb::DB* database = nullptr;
  const leveldb::Status status = leveldb::DB::Open({}, "/nonexistent/probe", &database);
  return database == nullptr && !status.ok() ? 0 : 1;
}
