#include "base/defect.h"

namespace quayrill {

namespace {
struct DefectRow {
  const char* name;
  int status;
  absl::StatusCode code;
  const char* remedy;
};
constexpr DefectRow kRows[] = {
#define QUAYRILL_ROW(kind, status, code, remedy) {#kind, status, absl::StatusCode::code, remedy},
    QUAYRILL_DEFECTS(QUAYRILL_ROW)
#undef QUAYRILL_ROW
};
const DefectRow& row(DefectKind kind) { return kRows[static_cast<std::size_t>(kind)]; }
}  // namespace

int httpStatus(DefectKind kind) { return row(kind).status; }
const char* defectName(DefectKind kind) { return row(kind).name; }
std::string message(const Defect& defect) { return defect.detail + ": " + row(defect.kind).remedy; }
absl::Status toStatus(const Defect& defect) {
  return absl::Status(row(defect.kind).code, message(defect));
}

}  // namespace quayrill
