#include "net/log_sink.h"

#include <glog/logging.h>
#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <climits>
#include <string>

namespace quayrill {

namespace {
std::atomic<std::uint64_t> droppedLines{0};

// Whether a write of up to PIPE_BUF bytes does not have to wait.
bool isWritable(int descriptor) {
  pollfd state{descriptor, POLLOUT, 0};
  return ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

class StandardErrorSink : public google::LogSink {
 public:
  using google::LogSink::send;
  void send(google::LogSeverity severity, const char* /*path*/, const char* file, int line,
            const google::LogMessageTime& time, const char* message, std::size_t length) override {
    if (!isWritable(STDERR_FILENO)) {
      ++droppedLines;
      return;
    }
    std::string text = ToString(severity, file, line, time, message, length);
    if (const std::uint64_t dropped = droppedLines; dropped > reportedDrops_) {
      text += " [" + std::to_string(dropped - reportedDrops_) +
              " lines before this one were dropped: standard error was not read]";
      reportedDrops_ = dropped;
    }
    text.resize(std::min<std::size_t>(text.size(), PIPE_BUF - 1));
    text += '\n';
    // A line that can't be written is lost: there is nowhere to report it.
    (void)!::write(STDERR_FILENO, text.data(), text.size());
  }

 private:
  std::uint64_t reportedDrops_ = 0;  // glog calls its sinks one at a time
};
}  // namespace

void startLogging(const char* program) {
  google::InitGoogleLogging(program);
  // No log files, and nothing to standard error but through the sink.
  for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity)
    google::SetLogDestination(severity, "");
  FLAGS_stderrthreshold = google::NUM_SEVERITIES;
  static StandardErrorSink sink;
  google::AddLogSink(&sink);
}

std::uint64_t droppedLogLines() { return droppedLines; }

}  // namespace quayrill
