// Updates of the register's body: against a scripted register, and from several daemons at once in
// the simulator.
#include <catch2/catch.hpp>
#include <memory>

#include "platform/operator_calls.h"
#include "platform/register_body.h"
#include "register/update_operation.h"
#include "sim/world.h"

using namespace quayrill;
using namespace std::chrono_literals;

namespace {
constexpr std::size_t kMaxBodyBytes = 1 << 20;
constexpr Duration kTimeout = 3500ms;

// A configuration document; documents of different services differ.
std::string config(std::uint64_t generation, const std::string& service = "b") {
  return R"({"gen":)" + std::to_string(generation) +
         R"(,"routes":[{"name":"r","host":"h","prefix":"/","backend":"b"}],"backends":[{"name":")" +
         service + R"(","runtime":{"models":[{"name":"m"}]}}],"by":")" + service + "\"}";
}
// The update to `generation` on top of `baseVersion`; `by` makes updates to one generation differ.
Update updateOnTop(std::uint64_t baseVersion, std::uint64_t generation,
                   const std::string& by = "") {
  platform::Document document = platform::Document::parse(config(generation));
  document["by"] = by;
  return *platform::configReplacement(document.dump(), baseVersion);
}

// A register of one replica. `fates` scripts what happens to the next changes; further ones succeed
// or conflict as usual.
struct Script {
  // AppliedUnanswered: applied, but the answer is lost. LostUnanswered: lost together with its
  // answer. NotTried: the register is unreachable.
  enum class Fate { Plain, AppliedUnanswered, LostUnanswered, NotTried };
  RegisterValue value;
  std::deque<Fate> fates;
  bool readable = true;
  std::size_t reads = 0, changes = 0;
  Instant now{100s};

  ChangeOutcome answer(const ChangeRequest& request) {
    if (request.isRead) {
      ++reads;
      now += readable ? 1ms : request.deadline - now;
      return {{},
              kConfigurationKey,
              readable ? ChangeResult::Chosen : ChangeResult::NotTried,
              readable ? value : RegisterValue{},
              {},
              {}};
    }
    ++changes;
    Fate fate = Fate::Plain;
    if (!fates.empty()) {
      fate = fates.front();
      fates.pop_front();
    }
    const bool fits = request.expectedVersion == value.version;
    if (fits && (fate == Fate::Plain || fate == Fate::AppliedUnanswered))
      value = {value.version + 1, {}, {}, request.body};
    if (fate == Fate::Plain)
      return {
          {}, kConfigurationKey, fits ? ChangeResult::Chosen : ChangeResult::Conflict, value, {},
          {}};
    now = request.deadline;
    const bool unknown = fate != Fate::NotTried;
    return {{}, kConfigurationKey, unknown ? ChangeResult::Unknown : ChangeResult::NotTried, {}, {},
            {}};
  }
  // Carries out the next step of the operation; false if there is none.
  bool step(UpdateOperation& updateOperation) {
    const auto request = updateOperation.next(now);
    if (request) updateOperation.onAnswer(answer(*request));
    return request.has_value();
  }
  // Runs an update to its end.
  UpdateResult runToEnd(Update change) {
    UpdateOperation updateOperation(std::move(change), kMaxBodyBytes, now + kTimeout);
    while (step(updateOperation)) {
    }
    REQUIRE(updateOperation.done());
    return updateOperation.done()->result;
  }
};
using Fate = Script::Fate;
}  // namespace

TEST_CASE("amend: the same change comes twice, also behind later ones") {
  Script script;
  CHECK(script.runToEnd(updateOnTop(0, 3)) == UpdateResult::Applied);
  CHECK(script.runToEnd(updateOnTop(0, 3)) == UpdateResult::AlreadyApplied);
  CHECK(script.runToEnd(updateOnTop(3, 5)) == UpdateResult::Applied);
  CHECK(script.runToEnd(updateOnTop(5, 6)) == UpdateResult::Applied);
  CHECK(script.runToEnd(updateOnTop(0, 3)) == UpdateResult::AlreadyApplied);
  CHECK(script.runToEnd(updateOnTop(3, 5)) == UpdateResult::AlreadyApplied);
  CHECK(script.value.version == 3);
  CHECK(script.changes == 3);
}

TEST_CASE("amend: what may not be is never proposed") {
  Script script;
  CHECK(script.runToEnd(updateOnTop(0, 3)) == UpdateResult::Applied);
  CHECK(script.runToEnd(updateOnTop(3, 3, "other")) == UpdateResult::Rejected);
  CHECK(script.runToEnd(updateOnTop(3, 2)) == UpdateResult::Rejected);
  CHECK(script.runToEnd(updateOnTop(0, 9)) == UpdateResult::Stale);
  CHECK(script.runToEnd(updateOnTop(2, 9)) == UpdateResult::Stale);
  CHECK(script.runToEnd(*platform::configPatch(
            R"({"gen":9,"upsert":{"backends":[{"name":"x"}]},"remove":{"backends":["b"]}})", 3)) ==
        UpdateResult::Rejected);
  const std::string large(kMaxBodyBytes, 'x');
  CHECK(script.runToEnd(updateOnTop(3, 9, large)) == UpdateResult::TooLarge);
  CHECK(script.changes == 1);
  script.value.body = "{\"of\":\"another build\"}";
  CHECK(script.runToEnd(updateOnTop(3, 9)) == UpdateResult::NotApplied);
  CHECK(script.changes == 1);
}

TEST_CASE("amend: of two on one version, one is taken and the other is told so by a read") {
  Script script;
  UpdateOperation first(updateOnTop(0, 3, "a"), kMaxBodyBytes, script.now + kTimeout);
  UpdateOperation second(updateOnTop(0, 4, "b"), kMaxBodyBytes, script.now + kTimeout);
  UpdateOperation firstAgain(updateOnTop(0, 3, "a"), kMaxBodyBytes, script.now + kTimeout);
  // All three read the same version before any is proposed.
  for (UpdateOperation* each : {&first, &second, &firstAgain}) REQUIRE(script.step(*each));
  for (UpdateOperation* each : {&first, &second, &firstAgain}) {
    while (script.step(*each)) {
    }
  }
  CHECK(first.done()->result == UpdateResult::Applied);
  CHECK(second.done()->result == UpdateResult::Stale);
  CHECK(firstAgain.done()->result == UpdateResult::AlreadyApplied);
  CHECK(script.reads == 5);  // the two that conflicted read again to learn their result
  CHECK(script.value.version == 1);
}

TEST_CASE("amend: a change of unknown result is settled by a read") {
  Script script;
  SECTION("it was taken") {
    script.fates = {Fate::AppliedUnanswered};
    CHECK(script.runToEnd(updateOnTop(0, 3)) == UpdateResult::AlreadyApplied);
    CHECK(script.value.version == 1);
  }
  SECTION("it was not, and no time is left") {
    script.fates = {Fate::LostUnanswered};
    CHECK(script.runToEnd(updateOnTop(0, 3)) == UpdateResult::NotApplied);
    CHECK(script.value.version == 0);
  }
  SECTION("another one was taken meanwhile") {
    UpdateOperation mine(updateOnTop(0, 3, "a"), kMaxBodyBytes, script.now + kTimeout);
    REQUIRE(script.step(mine));
    script.fates = {Fate::LostUnanswered};
    REQUIRE(script.step(mine));
    script.runToEnd(updateOnTop(0, 4, "b"));
    while (script.step(mine)) {
    }
    CHECK(mine.done()->result == UpdateResult::Stale);
  }
  SECTION("it was taken and more followed") {
    UpdateOperation mine(updateOnTop(0, 3, "a"), kMaxBodyBytes, script.now + kTimeout);
    REQUIRE(script.step(mine));
    script.fates = {Fate::AppliedUnanswered};
    REQUIRE(script.step(mine));
    CHECK(script.runToEnd(updateOnTop(3, 4, "b")) == UpdateResult::Applied);
    while (script.step(mine)) {
    }
    CHECK(mine.done()->result == UpdateResult::AlreadyApplied);
  }
  SECTION("the read fails too") {
    UpdateOperation mine(updateOnTop(0, 3), kMaxBodyBytes, script.now + kTimeout);
    REQUIRE(script.step(mine));
    script.fates = {Fate::AppliedUnanswered};
    REQUIRE(script.step(mine));
    script.readable = false;
    while (script.step(mine)) {
    }
    CHECK(mine.done()->result == UpdateResult::Unknown);
    CHECK(platform::responseFor(*mine.done()).result_int() == 504);
  }
}

TEST_CASE("amend: a resend whose change is forgotten has no clear answer, and is not proposed") {
  Script script;
  for (std::uint64_t baseVersion = 0; baseVersion < kMaxAppliedChanges + 5; ++baseVersion)
    REQUIRE(script.runToEnd(updateOnTop(baseVersion, baseVersion + 1)) == UpdateResult::Applied);
  const std::size_t changes = script.changes;
  CHECK(script.runToEnd(updateOnTop(2, 3)) == UpdateResult::Unknown);
  CHECK(script.runToEnd(updateOnTop(2, 3, "rival")) == UpdateResult::Unknown);
  CHECK(script.runToEnd(updateOnTop(5, 6)) == UpdateResult::AlreadyApplied);
  CHECK(script.runToEnd(updateOnTop(5, 6, "rival")) == UpdateResult::Stale);
  CHECK(script.runToEnd(updateOnTop(2, kMaxAppliedChanges + 9)) == UpdateResult::Stale);
  CHECK(script.changes == changes);
}

TEST_CASE("amend: a change that is settled behind hundreds of others is never refused") {
  Script script;
  UpdateOperation mine(updateOnTop(0, 1, "a"), kMaxBodyBytes, script.now + kTimeout);
  REQUIRE(script.step(mine));
  script.fates = {Fate::AppliedUnanswered};
  REQUIRE(script.step(mine));
  for (std::uint64_t baseVersion = 1; baseVersion < kMaxAppliedChanges + 5; ++baseVersion)
    REQUIRE(script.runToEnd(updateOnTop(baseVersion, baseVersion + 1, "b")) ==
            UpdateResult::Applied);
  while (script.step(mine)) {
  }
  CHECK(mine.done()->result == UpdateResult::Unknown);
  CHECK(platform::responseFor(*mine.done()).result_int() == 504);
}

TEST_CASE("amend: a register that does not answer took nothing, and it is said in time") {
  Script script;
  const Instant startedAt = script.now;
  script.readable = false;
  CHECK(script.runToEnd(updateOnTop(0, 3)) == UpdateResult::NotApplied);
  CHECK(script.changes == 0);
  CHECK(script.now - startedAt <= kTimeout);
  script.readable = true;
  script.fates = {Fate::NotTried};
  const Instant later = script.now;
  CHECK(script.runToEnd(updateOnTop(0, 3)) == UpdateResult::NotApplied);
  CHECK(script.value.version == 0);
  CHECK(script.now - later <= kTimeout);
}

TEST_CASE("amend: versions of weights only rise, whoever comes first") {
  Script script;
  const auto named = [](int generation) {
    return *platform::weightsUpdate(R"({"model":"m","gen":)" + std::to_string(generation) + "}");
  };
  CHECK(script.runToEnd(named(2)) == UpdateResult::Rejected);  // no service has the model yet
  CHECK(script.runToEnd(updateOnTop(0, 3)) == UpdateResult::Applied);
  UpdateOperation low(named(2), kMaxBodyBytes, script.now + kTimeout),
      high(named(3), kMaxBodyBytes, script.now + kTimeout);
  REQUIRE(script.step(low));
  REQUIRE(script.step(high));
  for (UpdateOperation* each : {&high, &low}) {
    while (script.step(*each)) {
    }
  }
  CHECK(high.done()->result == UpdateResult::Applied);
  CHECK(low.done()->result == UpdateResult::AlreadyApplied);
  CHECK(platform::readConfiguration(script.value.body)->weights.at(ModelName{"m"}).value == "3");
  CHECK(script.runToEnd(updateOnTop(3, 4)) == UpdateResult::Applied);
  CHECK(platform::readConfiguration(script.value.body)->weights.at(ModelName{"m"}).value == "3");
}

TEST_CASE("platform calls: each outcome has its status, and the version header is read strictly") {
  const auto statusOf = [](UpdateResult result) {
    return platform::responseFor({result, "why"}).result_int();
  };
  CHECK(statusOf(UpdateResult::Applied) == 200);
  CHECK(statusOf(UpdateResult::AlreadyApplied) == 200);
  CHECK(statusOf(UpdateResult::Rejected) == 400);
  CHECK(statusOf(UpdateResult::Stale) == 412);
  CHECK(statusOf(UpdateResult::TooLarge) == 413);
  CHECK(statusOf(UpdateResult::NotApplied) == 503);
  CHECK_FALSE(
      platform::responseFor({UpdateResult::NotApplied, ""})[http::field::retry_after].empty());
  const auto baseVersion = [](const std::string& text) {
    HttpRequest request;
    if (!text.empty()) request.set(http::field::if_match, text);
    return platform::baseVersionOf(request);
  };
  CHECK(*baseVersion("0") == 0);
  CHECK(*baseVersion("\"17\"") == 17);
  for (const char* text : {"", "\"", "x", "5x", "-1", "5 6", "99999999999999999999999"})
    CHECK_FALSE(baseVersion(text).ok());
}

namespace {
// An update that is submitted to one daemon of the simulated fleet.
struct Call {
  std::size_t machine;
  UpdateOperation updateOperation;
  std::optional<std::uint64_t> pending{};
};

// A simulated fleet and the updates that are in progress there.
struct Fleet {
  sim::World world;
  std::vector<std::unique_ptr<Call>> calls;

  explicit Fleet(const sim::WorldSettings& settings) : world(settings) { world.run(12s); }
  Call& begin(std::size_t machine, Update change) {
    calls.push_back(
        std::make_unique<Call>(Call{machine, UpdateOperation(std::move(change), kMaxBodyBytes,
                                                             world.localNow(machine) + kTimeout)}));
    return *calls.back();
  }
  // Advances one update if its pending step is done.
  void pump(Call& call) {
    if (call.pending) {
      const auto& done = world.operationById(*call.pending).done;
      if (!done) return;
      call.pending.reset();
      call.updateOperation.onAnswer(*done);
    }
    const auto request = call.updateOperation.next(world.localNow(call.machine));
    if (!request) return;
    call.pending = request->isRead
                       ? world.read(call.machine)
                       : world.change(call.machine, request->expectedVersion, request->body);
  }
  void run(Duration duration) {
    for (Duration elapsed{}; elapsed < duration; elapsed += 5ms) {
      for (const auto& call : calls) {
        if (!call->updateOperation.done()) pump(*call);
      }
      world.run(5ms);
    }
  }
};
}  // namespace

TEST_CASE("amend: rivals and second tries at several daemons, in a lossy fleet") {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    INFO("seed " << seed);
    sim::WorldSettings settings;
    settings.seed = seed;
    settings.edgeMachines = 3;
    settings.messageLossRate = 0.05;
    Fleet fleet(settings);
    std::uint64_t baseVersion = 0;
    for (std::uint64_t round = 1; round <= 5; ++round) {
      const std::uint64_t generation = baseVersion + 1 + seed % 3;
      Call& a1 = fleet.begin(0, updateOnTop(baseVersion, generation, "a"));
      Call& b1 = fleet.begin(1, updateOnTop(baseVersion, generation, "b"));
      fleet.run(std::chrono::milliseconds(5 * (seed % 4)));
      Call& a2 = fleet.begin(2, updateOnTop(baseVersion, generation, "a"));
      Call& b2 = fleet.begin(3, updateOnTop(baseVersion, generation, "b"));
      fleet.run(9s);
      for (Call* call : {&a1, &b1, &a2, &b2}) REQUIRE(call->updateOperation.done());
      // Whichever messages were lost, a resend after that gets the final answer.
      Call& a3 = fleet.begin(0, updateOnTop(baseVersion, generation, "a"));
      fleet.run(4s);
      Call& b3 = fleet.begin(1, updateOnTop(baseVersion, generation, "b"));
      fleet.run(4s);
      REQUIRE(a3.updateOperation.done());
      REQUIRE(b3.updateOperation.done());
      const auto isConfirmed = [](const Call& call) {
        const UpdateResult result = call.updateOperation.done()->result;
        return result == UpdateResult::Applied || result == UpdateResult::AlreadyApplied;
      };
      const auto isRejected = [](const Call& call) {
        return call.updateOperation.done()->result == UpdateResult::Stale;
      };
      CHECK(isConfirmed(a3) != isConfirmed(b3));
      CHECK(isRejected(a3) != isRejected(b3));
      for (const auto& [tries, isApplied] :
           {std::pair{std::vector<Call*>{&a1, &a2}, isConfirmed(a3)},
            std::pair{std::vector<Call*>{&b1, &b2}, isConfirmed(b3)}}) {
        for (const Call* call : tries)
          CHECK_FALSE((isApplied ? isRejected(*call) : isConfirmed(*call)));
      }
      baseVersion = generation;
      fleet.calls.clear();
    }
    fleet.world.checkHistory();
    for (const sim::Violation& violation : fleet.world.violations()) FAIL_CHECK(violation.what);
  }
}
