#include "net/log.h"

#include <poll.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <atomic>
#include <climits>
#include <memory>
#include <mutex>
#include <string>

namespace quayrill {

namespace {
// Severity and date, time, thread, place: "I1207 04:31:14.123456 4711 agent.cpp:192] text".
constexpr char kLinePattern[] = "%L%m%d %H:%M:%S.%f %t %s:%#] %v";

std::atomic<std::uint64_t> droppedLines{0};

// Whether a write of up to PIPE_BUF bytes does not have to wait.
bool isWritable(int descriptor) {
  pollfd state{descriptor, POLLOUT, 0};
  return ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

class StandardErrorSink : public spdlog::sinks::base_sink<std::mutex> {
 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    if (!isWritable(STDERR_FILENO)) {
      ++droppedLines;
      return;
    }
    spdlog::memory_buf_t formatted;
    formatter_->format(message, formatted);
    std::string text(formatted.data(), formatted.size());
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
  void flush_() override {}

 private:
  std::uint64_t reportedDrops_ = 0;
};

spdlog::level::level_enum levelOf(LogSeverity severity) {
  switch (severity) {
    case LogSeverity::kInfo:
      return spdlog::level::info;
    case LogSeverity::kWarning:
      return spdlog::level::warn;
    case LogSeverity::kError:
      return spdlog::level::err;
  }
  return spdlog::level::err;
}

std::unique_ptr<spdlog::formatter> lineFormatter() {
  return std::make_unique<spdlog::pattern_formatter>(kLinePattern, spdlog::pattern_time_type::local,
                                                     std::string());
}

spdlog::logger& logger() {
  static const auto instance = [] {
    auto sink = std::make_shared<StandardErrorSink>();
    sink->set_formatter(lineFormatter());
    return std::make_shared<spdlog::logger>("", std::move(sink));
  }();
  return *instance;
}
}  // namespace

LogLine::~LogLine() {
  const spdlog::source_loc place(file_, line_, "");
  logger().log(place, levelOf(severity_), spdlog::string_view_t(text_.view()));
}

std::uint64_t droppedLogLines() { return droppedLines; }

}  // namespace quayrill
