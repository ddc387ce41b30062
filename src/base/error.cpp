#include "base/error.h"

namespace quayrill {

namespace {
// One row of QUAYRILL_ERRORS; the index in kRows is the enumerator.
struct ErrorRow {
  const char* name;
  int status;
  absl::StatusCode code;
  const char* remedy;
};
constexpr ErrorRow kRows[] = {
#define QUAYRILL_ROW(kind, name, status, code, remedy) \
  {name, status, absl::StatusCode::code, remedy},
    QUAYRILL_ERRORS(QUAYRILL_ROW)
#undef QUAYRILL_ROW
};
const ErrorRow& rowOf(ErrorKind kind) { return kRows[static_cast<std::size_t>(kind)]; }
}  // namespace

int httpStatus(ErrorKind kind) { return rowOf(kind).status; }
const char* errorName(ErrorKind kind) { return rowOf(kind).name; }
std::string errorMessage(const Error& error) {
  return error.detail + ": " + rowOf(error.kind).remedy;
}
absl::Status toStatus(const Error& error) {
  return absl::Status(rowOf(error.kind).code, errorMessage(error));
}

}  // namespace quayrill
