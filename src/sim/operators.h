#pragma once
// Simulated operators. They submit configuration changes through UpdateOperation at daemons of the
// simulated world, may lose the answer, and submit the same change again. Every answer that a
// daemon gave is recorded, including those that the operator did not receive.
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "register/update_operation.h"
#include "sim/world.h"

namespace quayrill::sim {

// The value of the simulated register: the current number and the changes applied so far, as the
// real register body records them.
struct SimulatedBody {
  std::uint64_t number = 0;
  std::uint64_t forgotten = 0;  // number of the newest change dropped from `taken`
  AppliedChanges taken;
  std::size_t padding = 0;  // bytes that bring the body to the size of a real configuration
};
std::string encodeSimulatedBody(const SimulatedBody& body);
SimulatedBody decodeSimulatedBody(const std::string& text);
// The update that applies `change` to a simulated body. `forgetsTaken` injects a defect: a change
// that was applied before is not recognized.
Update updateFor(const SubmittedChange& change, std::size_t padding, bool forgetsTaken);

// A change that an operator submits, possibly several times, and the answers to it.
struct Submission {
  SubmittedChange change;
  bool confirmed = false;   // a daemon acknowledged it, whether or not the operator was told
  bool refused = false;     // a daemon refused it for good
  bool isAnswered = false;  // the operator received a definite answer
};

// All operators of a simulated world. Submissions are named by their index.
class Operators {
 public:
  explicit Operators(World& world) : world_(world) {}

  // Creates a change on top of `basis`, distinct from all others, and returns its index.
  std::size_t create(std::uint64_t basis, std::uint64_t number);
  // Sends it to a daemon; with `answerLost` the operator does not receive the answer.
  void send(std::size_t submission, std::size_t machine, bool answerLost);
  // Runs the world and all calls in progress, in small steps.
  void run(Duration span);
  // True if no call is in progress.
  bool isIdle() const;
  const Submission& submission(std::size_t index) const { return submissions_.at(index); }
  const std::vector<Submission>& submissions() const { return submissions_; }
  // The latest answer of any daemon, if there is one.
  std::optional<UpdateResult> lastAnswer(std::size_t submission) const {
    return lastAnswers_.at(submission);
  }
  // The highest number that was acknowledged.
  std::uint64_t newestConfirmed() const { return newestConfirmed_; }
  void setPadding(std::size_t bytes) { padding_ = bytes; }
  // Injects a defect: daemons do not recognize changes that were applied before.
  void injectForgetting(bool enabled) { forgetsTaken_ = enabled; }
  // Broken guarantees, given the register's present body: at most one change on each basis is
  // confirmed, no change is both confirmed and refused, and the body contains no refused change and
  // is not older than a confirmed one.
  std::vector<std::string> violations(const std::string& presentBody) const;

 private:
  // One attempt to submit a change through one daemon.
  struct Call {
    std::size_t submission = 0;
    std::size_t machine = 0;
    bool answerLost = false;
    UpdateOperation updateOperation;
    std::optional<std::uint64_t> pending{};  // the register operation in progress
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
