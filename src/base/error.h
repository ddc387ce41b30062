#pragma once
// Errors that callers and operators see. Each kind has an HTTP status and a remedy, which ends the
// error's message.
#include <absl/status/status.h>

#include <string>

namespace quayrill {

// enumerator, name in answers, HTTP status, absl code, remedy
#define QUAYRILL_ERRORS(X)                                                                  \
  X(MalformedRequest, "MalformedRequest", 400, kInvalidArgument,                            \
    "correct the request and send it again")                                                \
  X(UnknownKey, "UnknownKey", 401, kUnauthenticated,                                        \
    "use a key that is listed for the tenant in the configuration")                         \
  X(ForbiddenSalt, "SaltMisuse", 403, kPermissionDenied,                                    \
    "leave the salt out or use the tenant's own")                                           \
  X(UnknownRoute, "UnknownWay", 404, kNotFound,                                             \
    "use a way that the configuration names, or add it to the configuration")               \
  X(VersionConflict, "VersionConflict", 409, kAborted,                                      \
    "read the configuration again and send the change with its version")                    \
  X(RegisterAvailable, "RegisterLives", 409, kFailedPrecondition,                           \
    "mend that first; the register stays as it is")                                         \
  X(BodyTooLarge, "Oversize", 413, kOutOfRange, "send a smaller body or header")            \
  X(HeadersTooLarge, "HeaderOversize", 431, kOutOfRange, "send smaller headers")            \
  X(RequestTimeout, "SlowCaller", 408, kDeadlineExceeded,                                   \
    "send the whole request sooner; it never ran")                                          \
  X(InvalidConfiguration, "BadConfiguration", 422, kInvalidArgument,                        \
    "correct the named field; nothing was changed")                                         \
  X(Overloaded, "TurnedAwayBusy", 429, kResourceExhausted, "come back after Retry-After")   \
  X(Rejected, "TurnedAway", 503, kUnavailable, "come back after Retry-After; it never ran") \
  X(OutcomeUnknown, "OutcomeUnknown", 502, kUnknown,                                        \
    "don't send it again before its effect is looked up")                                   \
  X(DeadlineExceeded, "DuePassed", 504, kDeadlineExceeded,                                  \
    "don't send it again before its effect is looked up")                                   \
  X(OutcomeUnknownRepeatable, "OutcomeUnknownRepeatable", 502, kUnknown,                    \
    "come back after Retry-After; it may be repeated")                                      \
  X(DeadlineExceededRepeatable, "DuePassedRepeatable", 504, kDeadlineExceeded,              \
    "come back after Retry-After; it may be repeated")                                      \
  X(ChangeOutcomeUnknown, "ChangeUnknown", 504, kUnknown,                                   \
    "read the spec: its version tells whether the change was made")                         \
  X(InvalidSettings, "BadSettings", 2, kInvalidArgument, "correct the setting")             \
  X(DiskError, "DiskError", 500, kDataLoss,                                                 \
    "make room on the disk or mend it; its folder is opened anew each second")

// The kinds of error; one enumerator for each row of the table.
enum class ErrorKind {
#define QUAYRILL_KIND(kind, name, status, code, remedy) kind,
  QUAYRILL_ERRORS(QUAYRILL_KIND)
#undef QUAYRILL_KIND
};

// An error of a kind, with what went wrong in this case.
struct Error {
  ErrorKind kind{};
  std::string detail;
};

// The HTTP status that an answer with this error has; for InvalidSettings, the exit code.
int httpStatus(ErrorKind kind);
// The name of the kind as it appears in answers.
const char* errorName(ErrorKind kind);
// The text "detail: remedy".
std::string errorMessage(const Error& error);
// The error as an absl status, with the same text.
absl::Status toStatus(const Error& error);

}  // namespace quayrill
