#pragma once
// A limit on the memory that all users of one resource hold together.
#include <atomic>
#include <cstddef>
#include <memory>
#include <optional>
#include <utility>

namespace quayrill {

// Counts the bytes that its users hold. Thread-safe.
class ByteBudget {
  struct Account {
    std::size_t limit = 0;
    std::atomic<std::size_t> used{0};
    bool tryAdd(std::size_t bytes, std::size_t roomForOthers);
  };

 public:
  // What one user holds; given back when it is destroyed. May outlive the budget.
  class Share {
   public:
    Share() = default;
    Share(Share&& other) noexcept
        : account_(std::move(other.account_)), bytes_(std::exchange(other.bytes_, 0)) {}
    Share& operator=(Share&& other) noexcept;
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;
    ~Share() { release(); }
    std::size_t bytes() const { return bytes_; }
    // Takes what is missing up to `bytes`. False if the budget would then have less than
    // `roomForOthers` left; the share is then unchanged.
    bool growTo(std::size_t bytes, std::size_t roomForOthers = 0);

   private:
    friend class ByteBudget;
    explicit Share(std::shared_ptr<Account> account) : account_(std::move(account)) {}
    void release();
    std::shared_ptr<Account> account_;
    std::size_t bytes_ = 0;
  };

  explicit ByteBudget(std::size_t limit) : account_(std::make_shared<Account>()) {
    account_->limit = limit;
  }
  // A share of no bytes yet.
  Share open() { return Share(account_); }
  std::size_t used() const { return account_->used; }
  std::size_t limit() const { return account_->limit; }

 private:
  std::shared_ptr<Account> account_;
};

}  // namespace quayrill
