#pragma once
// The program's log: lines on standard error, written without ever waiting for its reader. A pipe
// that nobody reads would otherwise stop every thread that logs.
#include <cstdint>
#include <sstream>

namespace quayrill {

enum class LogSeverity { kInfo, kWarning, kError };

// One line of the log, written when it goes out of scope.
class LogLine {
 public:
  LogLine(LogSeverity severity, const char* file, int line)
      : severity_(severity), file_(file), line_(line) {}
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  std::ostream& stream() { return text_; }

 private:
  LogSeverity severity_;
  const char* file_;
  int line_;
  std::ostringstream text_;
};

// How many lines were dropped since the start of the program, because standard error would have had
// to be waited for. May be called on any thread.
std::uint64_t droppedLogLines();

}  // namespace quayrill

// A stream that makes one line of the log: LOG_LINE(kInfo) << "ended".
#define LOG_LINE(severity) \
  ::quayrill::LogLine(::quayrill::LogSeverity::severity, __FILE__, __LINE__).stream()
