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
Update updateFor(const SentChange& submission, std::size_t padding, bool forgetsTaken);

struct Submission {
  SentChange change;
  bool confirmed = false;   // some daemon said yes, heard or not
  bool refused = false;     // some daemon gave a final no
  bool isAnswered = false;  // its operator has a clear answer
};

class Operators {
 public:
  explicit Operators(World& world) : world_(world) {}

  // An order that builds on `basis`; its digest is its own.
  std::size_t create(std::uint64_t basis, std::uint64_t number);
  // Sends it to a daemon; with `answerLost` the operator does not hear what becomes of it.
  void send(std::size_t submission, std::size_t machine, bool answerLost);
  // Runs the world and all that was sent, in small steps.
  void run(Span span);
  bool isIdle() const;
  const Submission& submission(std::size_t index) const { return submissions_.at(index); }
  const std::vector<Submission>& submissions() const { return submissions_; }
  // What a daemon said last of it, if it has answered.
  std::optional<UpdateResult> lastAnswer(std::size_t submission) const {
    return lastAnswers_.at(submission);
  }
  // The newest number that was acknowledged, and a number with which nothing was sent yet.
  std::uint64_t newestConfirmed() const { return newestConfirmed_; }
  void setPadding(std::size_t bytes) { padding_ = bytes; }
  // A planted defect: what was taken is not remembered.
  void injectForgetting(bool plant) { forgetsTaken_ = plant; }
  // Breaches of what is promised: at most one order on one basis is confirmed, none is both
  // confirmed and refused, and the body that stands was made by confirmed orders or unclear ones.
  std::vector<std::string> violations(const std::string& standing) const;

 private:
  struct Call {
    std::size_t submission = 0;
    std::size_t machine = 0;
    bool answerLost = false;
    UpdateOperation updateOperation;
    std::optional<std::uint64_t> pending{};
  };
  void advance(Call& call);
  void recordAnswer(const Call& call);

  World& world_;
  std::vector<Submission> submissions_;
  std::vector<std::optional<UpdateResult>> lastAnswers_;
  std::vector<std::unique_ptr<Call>> calls_;
  std::uint64_t newestConfirmed_ = 0;
  std::size_t padding_ = 0;
  bool forgetsTaken_ = false;
};

}  // namespace quayrill::sim
