#pragma once
// An actor: a table that only one thread accesses, with a bounded queue of commands for it.
// Commands are rejected immediately when the queue is full, which is the backpressure of the stage.
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

#include "net/asio.h"
#include "net/spawn.h"
#include "net/start_thread.h"

namespace quayrill {

// Owns a Table and the thread that runs all commands on it, in order.
template <class Table>
class OwnedTable {
 public:
  using Command = std::function<void(Table&)>;

  template <class... Args>
  explicit OwnedTable(std::size_t limit, Args&&... args)
      : limit_(limit),
        table_(std::forward<Args>(args)...),
        thread_(startThread("a table", [this] { work(); })) {}
  ~OwnedTable() {
    {
      std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    wake_.notify_all();
    thread_.join();
  }

  // Returns false if the queue is full; the command will then never run.
  bool tryPost(Command command) { return push(std::move(command), limit_); }
  // Ignores the queue limit. For commands that must not be lost, mainly releases; their number is
  // bounded by the number of grants that they release.
  void mustPost(Command command) { push(std::move(command), SIZE_MAX); }

  // Runs `command` on the owner thread and resumes the calling coroutine with its result. Returns
  // nullopt if the queue is full or the command throws.
  template <class Result>
  awaitable<std::optional<Result>> ask(std::function<Result(Table&)> command) {
    auto executor = co_await asio::this_coro::executor;
    auto answer = std::make_shared<std::optional<Result>>();
    auto timer = std::make_shared<asio::steady_timer>(executor);
    timer->expires_at(std::chrono::steady_clock::time_point::max());
    auto done = std::make_shared<bool>(false);
    const bool posted = tryPost([=, command = std::move(command)](Table& table) {
      std::optional<Result> result;
      try {
        result = command(table);
      } catch (...) {
        logException("a command of a table", std::current_exception());
      }
      asio::post(executor, [=, result = std::move(result)]() mutable {
        *answer = std::move(result);
        *done = true;
        timer->cancel();
      });
    });
    if (!posted) co_return std::nullopt;
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
      for (Command& command : batch) run(command);
    }
  }
  // A command that throws ends neither the others nor the process.
  void run(const Command& command) {
    try {
      command(table_);
    } catch (...) {
      logException("a command of a table", std::current_exception());
    }
  }

  std::size_t limit_;
  Table table_;  // accessed by thread_ only
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Command> commands_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace quayrill
