// Amendments of the register's body: against a scripted register, and by several daemons at once
// in the simulator.
#include <catch2/catch.hpp>
#include <memory>

#include "platform/operator_calls.h"
#include "platform/register_body.h"
#include "register/update_operation.h"
#include "sim/world.h"

using namespace quayrill;
using namespace std::chrono_literals;

namespace {
constexpr std::size_t kLimit = 1 << 20;
constexpr Span kDue = 3500ms;

std::string config(std::uint64_t generation, const std::string& service = "b") {
  return R"({"gen":)" + std::to_string(generation) +
         R"(,"routes":[{"name":"r","host":"h","prefix":"/","backend":"b"}],"backends":[{"name":")" +
         service + R"(","runtime":{"models":[{"name":"m"}]}}],"by":")" + service + "\"}";
}
Update onTop(std::uint64_t basis, std::uint64_t generation, const std::string& by = "") {
  platform::Document document = platform::Document::parse(config(generation));
  document["by"] = by;
  return *platform::wholeConfig(document.dump(), basis);
}

// A register of one replica. `fates` says what becomes of the changes that come next.
struct Script {
  enum class Fate { Plain, TakenUnheard, LostUnheard, NotTried };
  RegisterValue value;
  std::deque<Fate> fates;
  bool readable = true;
  std::size_t reads = 0, changes = 0;
  Instant now{100s};

  ChangeDone answer(const ChangeAsked& asked) {
    if (asked.isRead) {
      ++reads;
      now += readable ? 1ms : asked.due - now;
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
    const bool fits = asked.expectedVersion == value.version;
    if (fits && (fate == Fate::Plain || fate == Fate::TakenUnheard))
      value = {value.version + 1, {}, {}, asked.body};
    if (fate == Fate::Plain)
      return {
          {}, kConfigurationKey, fits ? ChangeResult::Chosen : ChangeResult::Conflict, value, {},
          {}};
    now = asked.due;
    const bool unknown = fate != Fate::NotTried;
    return {{}, kConfigurationKey, unknown ? ChangeResult::Unknown : ChangeResult::NotTried, {}, {},
            {}};
  }
  bool step(UpdateOperation& updateOperation) {
    const auto asked = updateOperation.next(now);
    if (asked) updateOperation.onAnswer(answer(*asked));
    return asked.has_value();
  }
  UpdateResult carry(Update change) {
    UpdateOperation updateOperation(std::move(change), kLimit, now + kDue);
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
  CHECK(script.carry(onTop(0, 3)) == UpdateResult::Taken);
  CHECK(script.carry(onTop(0, 3)) == UpdateResult::AlreadyTaken);
  CHECK(script.carry(onTop(3, 5)) == UpdateResult::Taken);
  CHECK(script.carry(onTop(5, 6)) == UpdateResult::Taken);
  CHECK(script.carry(onTop(0, 3)) == UpdateResult::AlreadyTaken);
  CHECK(script.carry(onTop(3, 5)) == UpdateResult::AlreadyTaken);
  CHECK(script.value.version == 3);
  CHECK(script.changes == 3);
}

TEST_CASE("amend: what may not be is never proposed") {
  Script script;
  CHECK(script.carry(onTop(0, 3)) == UpdateResult::Taken);
  CHECK(script.carry(onTop(3, 3, "other")) == UpdateResult::Refused);
  CHECK(script.carry(onTop(3, 2)) == UpdateResult::Refused);
  CHECK(script.carry(onTop(0, 9)) == UpdateResult::Stale);
  CHECK(script.carry(onTop(2, 9)) == UpdateResult::Stale);
  CHECK(script.carry(*platform::configPatch(
            R"({"gen":9,"upsert":{"backends":[{"name":"x"}]},"remove":{"backends":["b"]}})", 3)) ==
        UpdateResult::Refused);
  const std::string large(kLimit, 'x');
  CHECK(script.carry(onTop(3, 9, large)) == UpdateResult::TooLarge);
  CHECK(script.changes == 1);
  script.value.body = "{\"of\":\"another build\"}";
  CHECK(script.carry(onTop(3, 9)) == UpdateResult::NotTaken);
  CHECK(script.changes == 1);
}

TEST_CASE("amend: of two on one version, one is taken and the other is told so by a read") {
  Script script;
  UpdateOperation first(onTop(0, 3, "a"), kLimit, script.now + kDue);
  UpdateOperation second(onTop(0, 4, "b"), kLimit, script.now + kDue);
  UpdateOperation firstAgain(onTop(0, 3, "a"), kLimit, script.now + kDue);
  // All three have read before any is proposed.
  for (UpdateOperation* each : {&first, &second, &firstAgain}) REQUIRE(script.step(*each));
  for (UpdateOperation* each : {&first, &second, &firstAgain}) {
    while (script.step(*each)) {
    }
  }
  CHECK(first.done()->result == UpdateResult::Taken);
  CHECK(second.done()->result == UpdateResult::Stale);
  CHECK(firstAgain.done()->result == UpdateResult::AlreadyTaken);
  CHECK(script.reads == 5);  // the two that lost read again before they say so
  CHECK(script.value.version == 1);
}

TEST_CASE("amend: a change of unknown result is settled by a read") {
  Script script;
  SECTION("it was taken") {
    script.fates = {Fate::TakenUnheard};
    CHECK(script.carry(onTop(0, 3)) == UpdateResult::AlreadyTaken);
    CHECK(script.value.version == 1);
  }
  SECTION("it was not, and no time is left") {
    script.fates = {Fate::LostUnheard};
    CHECK(script.carry(onTop(0, 3)) == UpdateResult::NotTaken);
    CHECK(script.value.version == 0);
  }
  SECTION("another one was taken meanwhile") {
    UpdateOperation mine(onTop(0, 3, "a"), kLimit, script.now + kDue);
    REQUIRE(script.step(mine));
    script.fates = {Fate::LostUnheard};
    REQUIRE(script.step(mine));
    script.carry(onTop(0, 4, "b"));
    while (script.step(mine)) {
    }
    CHECK(mine.done()->result == UpdateResult::Stale);
  }
  SECTION("it was taken and more followed") {
    UpdateOperation mine(onTop(0, 3, "a"), kLimit, script.now + kDue);
    REQUIRE(script.step(mine));
    script.fates = {Fate::TakenUnheard};
    REQUIRE(script.step(mine));
    CHECK(script.carry(onTop(3, 4, "b")) == UpdateResult::Taken);
    while (script.step(mine)) {
    }
    CHECK(mine.done()->result == UpdateResult::AlreadyTaken);
  }
  SECTION("the read fails too") {
    UpdateOperation mine(onTop(0, 3), kLimit, script.now + kDue);
    REQUIRE(script.step(mine));
    script.fates = {Fate::TakenUnheard};
    REQUIRE(script.step(mine));
    script.readable = false;
    while (script.step(mine)) {
    }
    CHECK(mine.done()->result == UpdateResult::Unknown);
    CHECK(platform::answerOf(*mine.done()).result_int() == 504);
  }
}

TEST_CASE("amend: a resend whose change is forgotten has no clear answer, and is not proposed") {
  Script script;
  for (std::uint64_t basis = 0; basis < kTakenKept + 5; ++basis)
    REQUIRE(script.carry(onTop(basis, basis + 1)) == UpdateResult::Taken);
  const std::size_t changes = script.changes;
  CHECK(script.carry(onTop(2, 3)) == UpdateResult::Unknown);
  CHECK(script.carry(onTop(2, 3, "rival")) == UpdateResult::Unknown);
  CHECK(script.carry(onTop(5, 6)) == UpdateResult::AlreadyTaken);
  CHECK(script.carry(onTop(5, 6, "rival")) == UpdateResult::Stale);
  CHECK(script.carry(onTop(2, kTakenKept + 9)) == UpdateResult::Stale);
  CHECK(script.changes == changes);
}

TEST_CASE("amend: a change that is settled behind hundreds of others is never refused") {
  Script script;
  UpdateOperation mine(onTop(0, 1, "a"), kLimit, script.now + kDue);
  REQUIRE(script.step(mine));
  script.fates = {Fate::TakenUnheard};
  REQUIRE(script.step(mine));
  for (std::uint64_t basis = 1; basis < kTakenKept + 5; ++basis)
    REQUIRE(script.carry(onTop(basis, basis + 1, "b")) == UpdateResult::Taken);
  while (script.step(mine)) {
  }
  CHECK(mine.done()->result == UpdateResult::Unknown);
  CHECK(platform::answerOf(*mine.done()).result_int() == 504);
}

TEST_CASE("amend: a register that does not answer took nothing, and it is said in time") {
  Script script;
  const Instant begun = script.now;
  script.readable = false;
  CHECK(script.carry(onTop(0, 3)) == UpdateResult::NotTaken);
  CHECK(script.changes == 0);
  CHECK(script.now - begun <= kDue);
  script.readable = true;
  script.fates = {Fate::NotTried};
  const Instant later = script.now;
  CHECK(script.carry(onTop(0, 3)) == UpdateResult::NotTaken);
  CHECK(script.value.version == 0);
  CHECK(script.now - later <= kDue);
}

TEST_CASE("amend: versions of weights only rise, whoever comes first") {
  Script script;
  const auto named = [](int generation) {
    return *platform::namedWeights(R"({"model":"m","gen":)" + std::to_string(generation) + "}");
  };
  CHECK(script.carry(named(2)) == UpdateResult::Refused);  // no service names it yet
  CHECK(script.carry(onTop(0, 3)) == UpdateResult::Taken);
  UpdateOperation low(named(2), kLimit, script.now + kDue),
      high(named(3), kLimit, script.now + kDue);
  REQUIRE(script.step(low));
  REQUIRE(script.step(high));
  for (UpdateOperation* each : {&high, &low}) {
    while (script.step(*each)) {
    }
  }
  CHECK(high.done()->result == UpdateResult::Taken);
  CHECK(low.done()->result == UpdateResult::AlreadyTaken);
  CHECK(platform::readConfiguration(script.value.body)->weights.at(ModelName{"m"}).value == "3");
  CHECK(script.carry(onTop(3, 4)) == UpdateResult::Taken);
  CHECK(platform::readConfiguration(script.value.body)->weights.at(ModelName{"m"}).value == "3");
}

TEST_CASE("platform calls: each outcome has its status, and the version header is read strictly") {
  const auto statusOf = [](UpdateResult result) {
    return platform::answerOf({result, "why"}).result_int();
  };
  CHECK(statusOf(UpdateResult::Taken) == 200);
  CHECK(statusOf(UpdateResult::AlreadyTaken) == 200);
  CHECK(statusOf(UpdateResult::Refused) == 400);
  CHECK(statusOf(UpdateResult::Stale) == 412);
  CHECK(statusOf(UpdateResult::TooLarge) == 413);
  CHECK(statusOf(UpdateResult::NotTaken) == 503);
  CHECK_FALSE(platform::answerOf({UpdateResult::NotTaken, ""})[http::field::retry_after].empty());
  const auto basis = [](const std::string& text) {
    HttpRequest request;
    if (!text.empty()) request.set(http::field::if_match, text);
    return platform::basisOf(request);
  };
  CHECK(*basis("0") == 0);
  CHECK(*basis("\"17\"") == 17);
  for (const char* text : {"", "\"", "x", "5x", "-1", "5 6", "99999999999999999999999"})
    CHECK_FALSE(basis(text).ok());
}

namespace {
// One update at one daemon of the simulated fleet.
struct Call {
  std::size_t machine;
  UpdateOperation updateOperation;
  std::optional<std::uint64_t> pending{};
};

struct Fleet {
  sim::World world;
  std::vector<std::unique_ptr<Call>> calls;

  explicit Fleet(const sim::WorldSettings& settings) : world(settings) { world.run(12s); }
  Call& begin(std::size_t machine, Update change) {
    calls.push_back(std::make_unique<Call>(
        Call{machine, UpdateOperation(std::move(change), kLimit, world.localNow(machine) + kDue)}));
    return *calls.back();
  }
  void pump(Call& call) {
    if (call.pending) {
      const auto& done = world.operationById(*call.pending).done;
      if (!done) return;
      call.pending.reset();
      call.updateOperation.onAnswer(*done);
    }
    const auto asked = call.updateOperation.next(world.localNow(call.machine));
    if (!asked) return;
    call.pending = asked->isRead ? world.read(call.machine)
                                 : world.change(call.machine, asked->expectedVersion, asked->body);
  }
  void run(Span span) {
    for (Span past{}; past < span; past += 5ms) {
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
    std::uint64_t basis = 0;
    for (std::uint64_t round = 1; round <= 5; ++round) {
      const std::uint64_t generation = basis + 1 + seed % 3;
      Call& a1 = fleet.begin(0, onTop(basis, generation, "a"));
      Call& b1 = fleet.begin(1, onTop(basis, generation, "b"));
      fleet.run(std::chrono::milliseconds(5 * (seed % 4)));
      Call& a2 = fleet.begin(2, onTop(basis, generation, "a"));
      Call& b2 = fleet.begin(3, onTop(basis, generation, "b"));
      fleet.run(9s);
      for (Call* call : {&a1, &b1, &a2, &b2}) REQUIRE(call->updateOperation.done());
      // Whatever was lost on the way: a try after that gets the answer that holds for ever.
      Call& a3 = fleet.begin(0, onTop(basis, generation, "a"));
      fleet.run(4s);
      Call& b3 = fleet.begin(1, onTop(basis, generation, "b"));
      fleet.run(4s);
      REQUIRE(a3.updateOperation.done());
      REQUIRE(b3.updateOperation.done());
      const auto isYes = [](const Call& call) {
        const UpdateResult result = call.updateOperation.done()->result;
        return result == UpdateResult::Taken || result == UpdateResult::AlreadyTaken;
      };
      const auto isNo = [](const Call& call) {
        return call.updateOperation.done()->result == UpdateResult::Stale;
      };
      CHECK(isYes(a3) != isYes(b3));
      CHECK(isNo(a3) != isNo(b3));
      for (const auto& [tries, holds] : {std::pair{std::vector<Call*>{&a1, &a2}, isYes(a3)},
                                         std::pair{std::vector<Call*>{&b1, &b2}, isYes(b3)}}) {
        for (const Call* call : tries) CHECK_FALSE((holds ? isNo(*call) : isYes(*call)));
      }
      basis = generation;
      fleet.calls.clear();
    }
    fleet.world.checkHistory();
    for (const sim::Violation& violation : fleet.world.violations()) FAIL_CHECK(violation.what);
  }
}
