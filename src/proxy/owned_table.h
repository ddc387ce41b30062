#pragma once
// A stage: one table, one owner thread, one bounded queue of commands. Nobody else touches the
// table. A full queue is told at once; it is how a stage pushes back.
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

#include "net/asio.h"

namespace quayrill {

template <class Table>
class OwnedTable {
 public:
  using Command = std::function<void(Table&)>;

  template <class... Args>
  explicit OwnedTable(std::size_t limit, Args&&... args)
      : limit_(limit), table_(std::forward<Args>(args)...), thread_([this] { work(); }) {}
  ~OwnedTable() {
    {
      std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    wake_.notify_all();
    thread_.join();
  }

  // False when the queue is full: the command will never run.
  bool tryPost(Command command) { return push(std::move(command), limit_); }
  // For what must not be lost, releases above all: these are bounded by what they release.
  void mustPost(Command command) { push(std::move(command), SIZE_MAX); }

  // Runs `command` on the owner and resumes the caller with its result; nullopt: queue full.
  template <class Result>
  awaitable<std::optional<Result>> ask(std::function<Result(Table&)> command) {
    auto executor = co_await asio::this_coro::executor;
    auto answer = std::make_shared<std::optional<Result>>();
    auto timer = std::make_shared<asio::steady_timer>(executor);
    timer->expires_at(std::chrono::steady_clock::time_point::max());
    auto done = std::make_shared<bool>(false);
    const bool taken = tryPost([=, command = std::move(command)](Table& table) {
      Result result = command(table);
      asio::post(executor, [=, result = std::move(result)]() mutable {
        *answer = std::move(result);
        *done = true;
        timer->cancel();
      });
    });
    if (!taken) co_return std::nullopt;
    while (!*done) {
      ErrorCode code;
      co_await timer->async_wait(into(code));
    }
    co_return std::move(*answer);
  }

 private:
  bool push(Command command, std::size_t limit) {
    {
      std::lock_guard lock(mutex_);
      if (commands_.size() >= limit) return false;
      commands_.push_back(std::move(command));
    }
    wake_.notify_one();
    return true;
  }
  void work() {
    for (;;) {
      std::deque<Command> batch;
      {
        std::unique_lock lock(mutex_);
        wake_.wait(lock, [this] { return stopping_ || !commands_.empty(); });
        if (commands_.empty()) return;
        batch.swap(commands_);
      }
      for (Command& command : batch) command(table_);
    }
  }

  std::size_t limit_;
  Table table_;  // touched by thread_ alone
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Command> commands_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace quayrill
