#include "base/byte_budget.h"

namespace quayrill {

bool ByteBudget::Account::tryAdd(std::size_t bytes, std::size_t roomForOthers) {
  if (roomForOthers > limit) return false;
  const std::size_t usable = limit - roomForOthers;
  std::size_t before = used;
  do {
    if (before > usable || bytes > usable - before) return false;
  } while (!used.compare_exchange_weak(before, before + bytes));
  return true;
}

ByteBudget::Share& ByteBudget::Share::operator=(Share&& other) noexcept {
  if (this == &other) return *this;
  release();
  account_ = std::move(other.account_);
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

bool ByteBudget::Share::growTo(std::size_t bytes, std::size_t roomForOthers) {
  if (bytes <= bytes_) return true;
  if (!account_ || !account_->tryAdd(bytes - bytes_, roomForOthers)) return false;
  bytes_ = bytes;
  return true;
}

void ByteBudget::Share::release() {
  if (account_) account_->used -= bytes_;
  bytes_ = 0;
}

}  // namespace quayrill
