#pragma once
// Simulated operators: orders that go through `Amending` at daemons of the world, get lost on their
// way back, and are sent again. Every answer that a daemon gave is kept, also where it was lost.
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "register/update_operation.h"
#include "sim/world.h"

namespace quayrill::sim {

// The body of the simulated register: the newest number and what was taken, as a dialect keeps it.
struct SimulatedBody {
  std::uint64_t number = 0;
  std::uint64_t forgotten = 0;
  TakenChanges taken;
  std::size_t padding = 0;  // bytes that make it as long as a configuration
};
std::string encodeSimulatedBody(const SimulatedBody& body);
SimulatedBody decodeSimulatedBody(const std::string& text);
Update updateFor(const SentChange& order, std::size_t padding, bool forgetting);

struct Order {
  SentChange change;
  bool confirmed = false;  // some daemon said yes, heard or not
  bool refused = false;    // some daemon gave a final no
  bool heard = false;      // its operator has a clear answer
};

class Operators {
 public:
  explicit Operators(World& world) : world_(world) {}

  // An order that builds on `basis`; its digest is its own.
  std::size_t make(std::uint64_t basis, std::uint64_t number);
  // Sends it to a daemon; with `answerLost` the operator does not hear what becomes of it.
  void send(std::size_t order, std::size_t machine, bool answerLost);
  // Runs the world and all that was sent, in small steps.
  void run(Span span);
  bool isIdle() const;
  const Order& order(std::size_t index) const { return orders_.at(index); }
  const std::vector<Order>& orders() const { return orders_; }
  // What a daemon said last of it, if it has answered.
  std::optional<UpdateResult> lastAnswer(std::size_t order) const { return answers_.at(order); }
  // The newest number that was acknowledged, and a number with which nothing was sent yet.
  std::uint64_t newestConfirmed() const { return newest_; }
  void setPadding(std::size_t bytes) { padding_ = bytes; }
  // A planted defect: what was taken is not remembered.
  void injectForgetting(bool plant) { forgetting_ = plant; }
  // Breaches of what is promised: at most one order on one basis is confirmed, none is both
  // confirmed and refused, and the body that stands was made by confirmed orders or unclear ones.
  std::vector<std::string> violations(const std::string& standing) const;

 private:
  struct Call {
    std::size_t order = 0;
    std::size_t machine = 0;
    bool answerLost = false;
    UpdateOperation updateOperation;
    std::optional<std::uint64_t> pending{};
  };
  void pump(Call& call);
  void answered(const Call& call);

  World& world_;
  std::vector<Order> orders_;
  std::vector<std::optional<UpdateResult>> answers_;
  std::vector<std::unique_ptr<Call>> calls_;
  std::uint64_t newest_ = 0;
  std::size_t padding_ = 0;
  bool forgetting_ = false;
};

}  // namespace quayrill::sim
