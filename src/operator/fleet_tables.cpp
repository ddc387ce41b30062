#include "operator/fleet_tables.h"

#include <sqlite3.h>

#include <memory>

namespace quayrill {

namespace {
using Json = nlohmann::json;

// Table name, path of the operator API, JSON pointer to the rows in the answer, columns.
#define QUAYRILL_TABLES(X)                                                                         \
  X("members", "/q/members", "/members",                                                           \
    "cohort,callers,zone,store,spec_in_force,incarnation,leaving")                                 \
  X("copies", "/q/members", "/copies/members", "cohort,store")                                     \
  X("builds", "/q/builds", "/builds", "cohort,build")                                              \
  X("servers", "/q/servers", "/servers",                                                           \
    "name,zone,model,weights,sound,leaving,running,queued,slots,cache_tokens,identity,hold_fence") \
  X("tenants", "/q/spec", "/spec/tenants", "name,isolated,concurrency")                            \
  X("contracts", "/q/spec", "/spec/contracts", "name,model,repeatable,due_ms,tries,class")         \
  X("ways", "/q/spec", "/spec/ways", "name,contract")                                              \
  X("decisions", "/q/decisions", "/lines", "decision,server,weights,fence,daemon,result")

struct SqliteDeleter {
  void operator()(sqlite3* db) const { sqlite3_close(db); }
  void operator()(sqlite3_stmt* statement) const { sqlite3_finalize(statement); }
};
using Db = std::unique_ptr<sqlite3, SqliteDeleter>;
using Statement = std::unique_ptr<sqlite3_stmt, SqliteDeleter>;

absl::Status sqliteError(sqlite3* db, const std::string& remedy) {
  return absl::InvalidArgumentError(std::string(sqlite3_errmsg(db)) + ": " + remedy);
}

std::vector<std::string> splitList(const std::string& list) {
  std::vector<std::string> parts;
  for (std::size_t start = 0; start <= list.size();) {
    const std::size_t end = std::min(list.find(',', start), list.size());
    parts.push_back(list.substr(start, end - start));
    start = end + 1;
  }
  return parts;
}

void bindCell(sqlite3_stmt* statement, int at, const Json& value) {
  if (value.is_boolean() || value.is_number_integer())
    sqlite3_bind_int64(statement, at,
                       value.is_boolean() ? value.get<bool>() : value.get<std::int64_t>());
  else if (value.is_number())
    sqlite3_bind_double(statement, at, value.get<double>());
  else if (value.is_string())
    sqlite3_bind_text(statement, at, value.get<std::string>().c_str(), -1, SQLITE_TRANSIENT);
  else
    sqlite3_bind_null(statement, at);
}

// The rows may be an array of objects, an array of JSON texts, or an object keyed by name.
std::vector<Json> rowsOf(const Json& answer, const std::string& pointer) {
  std::vector<Json> rows;
  const Json::json_pointer where(pointer);
  if (!answer.contains(where)) return rows;
  const Json& rowsJson = answer.at(where);
  for (const auto& [name, value] : rowsJson.items()) {
    Json row = value;
    if (rowsJson.is_object())
      row = value.is_object() ? value : Json{{"contract", value}};
    else if (value.is_string())
      row = Json::parse(value.get<std::string>(), nullptr, false);
    if (rowsJson.is_object()) row["name"] = name;
    if (row.is_object()) rows.push_back(std::move(row));
  }
  return rows;
}

absl::Status fill(sqlite3* db, const std::string& table, const std::string& columns,
                  const std::vector<Json>& rows) {
  const std::vector<std::string> names = splitList(columns);
  std::string placeholders = "?";
  for (std::size_t i = 1; i < names.size(); ++i) placeholders += ",?";
  const std::string insert = "INSERT INTO " + table + " VALUES (" + placeholders + ")";
  sqlite3_stmt* prepared = nullptr;
  if (sqlite3_prepare_v2(db, insert.c_str(), -1, &prepared, nullptr) != SQLITE_OK)
    return sqliteError(db, "report this");
  const Statement statement(prepared);
  for (const Json& row : rows) {
    for (std::size_t i = 0; i < names.size(); ++i)
      bindCell(prepared, static_cast<int>(i) + 1, row.value(names[i], Json()));
    sqlite3_step(prepared);
    sqlite3_reset(prepared);
  }
  return absl::OkStatus();
}

// Authorizer that is set once the tables are filled: a query may only read.
int authorizeReadOnly(void*, int action, const char*, const char*, const char*, const char*) {
  const bool reads = action == SQLITE_SELECT || action == SQLITE_READ ||
                     action == SQLITE_FUNCTION || action == SQLITE_RECURSIVE;
  return reads ? SQLITE_OK : SQLITE_DENY;
}

Json cell(sqlite3_stmt* statement, int column) {
  switch (sqlite3_column_type(statement, column)) {
    case SQLITE_INTEGER:
      return sqlite3_column_int64(statement, column);
    case SQLITE_FLOAT:
      return sqlite3_column_double(statement, column);
    case SQLITE_TEXT:
      return reinterpret_cast<const char*>(sqlite3_column_text(statement, column));
    default:
      return nullptr;
  }
}
}  // namespace

absl::StatusOr<QueryResult> queryFleet(const std::string& sql, const PathReader& read) {
  sqlite3* opened = nullptr;
  if (sqlite3_open(":memory:", &opened) != SQLITE_OK)
    return absl::ResourceExhaustedError("no memory for the tables: free some");
  const Db db(opened);
  std::map<std::string, Json> answers;  // each path is read once, so that tables are consistent
#define QUAYRILL_FILL_TABLE(name, path, pointer, columns)                                          \
  {                                                                                                \
    sqlite3_exec(opened, "CREATE TABLE " name "(" columns ")", nullptr, nullptr, nullptr);         \
    if (sql.find(name) != std::string::npos) {                                                     \
      if (!answers.contains(path)) {                                                               \
        auto answer = read(path);                                                                  \
        if (!answer.ok()) return answer.status();                                                  \
        answers[path] = std::move(*answer);                                                        \
      }                                                                                            \
      if (auto status = fill(opened, name, columns, rowsOf(answers[path], pointer)); !status.ok()) \
        return status;                                                                             \
    }                                                                                              \
  }
  QUAYRILL_TABLES(QUAYRILL_FILL_TABLE)
#undef QUAYRILL_FILL_TABLE
  sqlite3_set_authorizer(opened, authorizeReadOnly, nullptr);
  sqlite3_stmt* prepared = nullptr;
  const char* remainder = nullptr;
  std::string tables;
#define QUAYRILL_APPEND_TABLE_NAME(name, path, pointer, columns) tables += std::string(" ") + name;
  QUAYRILL_TABLES(QUAYRILL_APPEND_TABLE_NAME)
#undef QUAYRILL_APPEND_TABLE_NAME
  if (sqlite3_prepare_v2(opened, sql.c_str(), -1, &prepared, &remainder) != SQLITE_OK ||
      prepared == nullptr)
    return sqliteError(opened, "give one SELECT over" + tables);
  const Statement statement(prepared);
  if (std::string(remainder).find_first_not_of(" ;\n\t") != std::string::npos)
    return absl::InvalidArgumentError("more than one statement: give one SELECT over" + tables);
  QueryResult result;
  for (int i = 0; i < sqlite3_column_count(prepared); ++i)
    result.columns.emplace_back(sqlite3_column_name(prepared, i));
  int step = 0;
  while ((step = sqlite3_step(prepared)) == SQLITE_ROW) {
    Json row = Json::array();
    for (int i = 0; i < sqlite3_column_count(prepared); ++i) row.push_back(cell(prepared, i));
    result.rows.push_back(std::move(row));
  }
  if (step != SQLITE_DONE) return sqliteError(opened, "correct the query");
  return result;
}

}  // namespace quayrill
