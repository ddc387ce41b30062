// Tests of the data folder with a power loss at each write and sync. Everything that was
// acknowledged to a register replica as synced must still be there under its store id; a replica
// that lost state must not vote under the old id.
#include <catch2/catch.hpp>

#include <leveldb/db.h>

#include <future>

#include "net/disk.h"
#include "power_loss_env.h"
#include "register/replica.h"

using namespace quayrill;
using namespace std::chrono_literals;

namespace {
constexpr char kFolder[] = "/data";
constexpr std::size_t kMinWriteBufferBytes = 64 << 10;  // the minimum that LevelDB accepts
constexpr std::size_t kBodyBytes = 40 << 10;            // larger than one block of a log
constexpr std::size_t kChangesPerProcess = 10;
constexpr auto kReopenPollInterval = 20ms;
constexpr auto kReopenTimeout = 10s;  // generous, for heavily loaded machines

// What was acknowledged to a replica as synced, and what it attempted.
struct Acknowledged {
  StoreId store;                // 0: none
  std::uint64_t round = 0;      // last acknowledged round
  std::uint64_t attempted = 0;  // last attempted round
};
// What a process found when it opened the folder: everything acknowledged, an older state, an empty
// folder, or a folder reported as damaged; or that the power was lost or the opening timed out.
enum class OpenResult { All, Older, Emptied, Damaged, NoPower, Unopened };

ReplicaSet singleReplicaSet(StoreId store) {
  ReplicaSet set;
  set.fleet = 5;
  set.epoch = Epoch{1};
  set.settled = true;
  set.members = {{store, Address{"m"}}};
  return set;
}

std::uint64_t lastStoreId = 0;  // every process offers a new store id, for an empty folder

// One run of a process with a replica and its disk, until its changes are done or the power is
// lost.
class ReplicaProcess {
 public:
  ReplicaProcess(PowerLossEnv& env, FileSystem files, Acknowledged* acknowledged)
      : env_(env),
        acknowledged_(acknowledged),
        replica_(StoreId{++lastStoreId}),
        disk_({kFolder, "", 1h, std::move(files), kMinWriteBufferBytes},
              [this](Disk::Rows rows) { reopened_.set_value(std::move(rows)); }) {}

  OpenResult open() {
    auto opened = disk_.open();
    if (!opened.ok()) return OpenResult::Damaged;
    if (!*opened) {
      if (!env_.hasPower()) return OpenResult::NoPower;
      auto reopened = reopened_.get_future();
      for (auto waited = 0ms; reopened.wait_for(kReopenPollInterval) != std::future_status::ready;
           waited += kReopenPollInterval) {
        if (!env_.hasPower()) return OpenResult::NoPower;
        if (waited > kReopenTimeout) return OpenResult::Unopened;
      }
      *opened = reopened.get();
      disk_.resume();
    }
    return checkRows(**opened);
  }
  bool change(std::size_t changes) {
    for (std::size_t i = 0; i < changes; ++i) {
      if (!change()) return false;
    }
    return true;
  }

 private:
  // Restores the replica from the rows, or starts it with a new store id if there are none.
  OpenResult checkRows(const Disk::Rows& rows) {
    const bool emptied = rows.empty();
    if (!emptied && !replica_.restore(rows)) return OpenResult::Damaged;
    const OpenResult openResult = emptied ? OpenResult::Emptied : compare();
    if (!emptied && openResult != OpenResult::All) return openResult;
    auto writes = replica_.identityWrites();
    for (auto& write : replica_.adopt(singleReplicaSet(replica_.store())))
      writes.push_back(std::move(write));
    if (!write(std::move(writes))) return OpenResult::NoPower;
    const bool hadStore = acknowledged_->store.value > 0;
    if (emptied) acknowledged_->round = 0;
    acknowledged_->store = replica_.store();
    return emptied && !hadStore ? OpenResult::All : openResult;
  }
  // Checks that the replica has its old store id and everything that it promised and accepted, or
  // more.
  OpenResult compare() {
    if (acknowledged_->store.value > 0 && replica_.store() != acknowledged_->store)
      return OpenResult::Older;
    if (acknowledged_->round == 0) return OpenResult::All;
    const auto value = replica_.valueOf(kConfigurationKey);
    if (!value || value->version < acknowledged_->round) return OpenResult::Older;
    // The promise must be kept: a ballot of an earlier round is rejected.
    const Ballot earlier{Epoch{1}, acknowledged_->round - 1, ProposerId{9}};
    const auto effects =
        replica_.onPrepare({{}, kConfigurationKey, earlier, replica_.store(), replica_.replicas()});
    const bool rejects = effects.answer && !std::get<ReplicaResponse>(*effects.answer).granted;
    return rejects && value->body.size() == kBodyBytes ? OpenResult::All : OpenResult::Older;
  }
  bool change() {
    const std::uint64_t round = ++acknowledged_->attempted;
    const Ballot ballot{Epoch{1}, round, ProposerId{9}};
    const ReplicaSet& set = replica_.replicas();
    if (!write(replica_.onPrepare({{}, kConfigurationKey, ballot, replica_.store(), set}).writes))
      return false;
    std::string body(kBodyBytes, static_cast<char>('a' + round % 26));
    const RegisterValue value{round, WriteId{round}, {}, std::move(body)};
    if (!write(replica_.onAccept({{}, kConfigurationKey, ballot, replica_.store(), set, value})
                   .writes))
      return false;
    acknowledged_->round = round;
    return true;
  }
  bool write(std::vector<DiskWrite> writes) {
    REQUIRE_FALSE(writes.empty());
    std::promise<absl::Status> written;
    disk_.write(std::move(writes), [&](absl::Status status) { written.set_value(status); });
    return written.get_future().get().ok();
  }

  PowerLossEnv& env_;
  Acknowledged* acknowledged_;
  RegisterReplica replica_;
  std::promise<Disk::Rows> reopened_;
  Disk disk_;
};

// Counts of the runs by what the last process found.
struct Tally {
  std::size_t runs = 0, older = 0, emptied = 0, damaged = 0, unopened = 0;
  std::size_t bad() const { return older + emptied + damaged + unopened; }
};

// The first `before` processes finish their changes before the power is lost; the next one loses it
// at operation `at`.
void run(bool syncsFolders, std::size_t before, std::size_t at, std::uint64_t seed, Tally* tally) {
  PowerLossEnv env;
  const auto files = [&] { return syncsFolders ? env.files() : env.filesWithoutFolderSync(); };
  Acknowledged acknowledged;
  OpenResult openResult = OpenResult::All;
  for (std::size_t processIndex = 0; processIndex < before + 3 && openResult == OpenResult::All;
       ++processIndex) {
    if (processIndex == before) env.losePowerAt(at);
    {
      ReplicaProcess process(env, files(), &acknowledged);
      openResult = process.open();
      if (openResult == OpenResult::All)
        process.change(processIndex > before ? 2 : kChangesPerProcess);
    }
    if (openResult == OpenResult::NoPower) openResult = OpenResult::All;
    env.restore(seed + (seed > 1 ? processIndex : 0));
  }
  ++tally->runs;
  tally->older += openResult == OpenResult::Older;
  tally->emptied += openResult == OpenResult::Emptied;
  tally->damaged += openResult == OpenResult::Damaged;
  tally->unopened += openResult == OpenResult::Unopened;
  if (syncsFolders && openResult != OpenResult::All)
    FAIL_CHECK("processes before " << before << ", power lost at " << at << ", seed " << seed
                                   << ": found " << static_cast<int>(openResult));
}

std::size_t countOperationsPerProcess() {
  PowerLossEnv env;
  Acknowledged acknowledged;
  {
    ReplicaProcess process(env, env.files(), &acknowledged);
    REQUIRE(process.open() == OpenResult::All);
    REQUIRE(process.change(kChangesPerProcess));
  }
  return env.operations();
}

Tally runAll(bool syncsFolders, std::size_t step) {
  Tally tally;
  const std::size_t operations = countOperationsPerProcess();
  for (std::size_t before : {0U, 1U}) {
    for (std::size_t at = 1; at <= operations + 10; at += step) {
      for (std::uint64_t seed : {std::uint64_t{0}, std::uint64_t{1}, 1000 + at, 2000 + at})
        run(syncsFolders, before, at, seed, &tally);
    }
  }
  return tally;
}
}  // namespace

TEST_CASE("power loss: at each write and sync, all that was acknowledged is there") {
  const Tally tally = runAll(true, 2);
  WARN(tally.runs << " runs: " << tally.older << " older, " << tally.emptied << " emptied, "
                  << tally.damaged << " damaged");
  CHECK(tally.runs > 400);
  CHECK(tally.bad() == 0);
}

TEST_CASE("power loss: folders that are not synced are found out") {
  const Tally tally = runAll(false, 8);
  WARN(tally.runs << " runs: " << tally.older << " older, " << tally.emptied << " emptied, "
                  << tally.damaged << " damaged");
  CHECK(tally.bad() > 0);
}

TEST_CASE(
    "power loss: a folder whose CURRENT or manifest is gone never shows a part as the whole") {
  for (const char* gone : {"/CURRENT", "/MANIFEST"}) {
    INFO("gone: " << gone);
    PowerLossEnv env;
    Acknowledged acknowledged;
    {
      ReplicaProcess process(env, env.files(), &acknowledged);
      REQUIRE(process.open() == OpenResult::All);
      REQUIRE(process.change(kChangesPerProcess));
    }
    env.restore(1);
    const std::string folder = std::string(kFolder) + "/register";
    std::vector<std::string> names;
    REQUIRE(env.GetChildren(folder, &names).ok());
    for (const std::string& name : names) {
      if (("/" + name).rfind(gone, 0) == 0) REQUIRE(env.RemoveFile(folder + "/" + name).ok());
    }
    const StoreId old = acknowledged.store;
    ReplicaProcess process(env, env.files(), &acknowledged);
    const OpenResult openResult = process.open();
    CHECK((openResult == OpenResult::Emptied || openResult == OpenResult::Damaged));
    if (openResult == OpenResult::Emptied) CHECK(acknowledged.store != old);
  }
}

TEST_CASE("power loss: rows that are missing under a whole database are noticed") {
  PowerLossEnv env;
  const auto files = env.files();
  const auto rowsOf = [&] {
    Disk disk({kFolder, "", 1h, files, kMinWriteBufferBytes}, [](Disk::Rows) {});
    return disk.open();
  };
  {
    Disk disk({kFolder, "", 1h, files, kMinWriteBufferBytes}, [](Disk::Rows) {});
    REQUIRE(disk.open().ok());
    std::promise<absl::Status> written;
    disk.write({{"a", "1"}, {"b", "2"}}, [&](absl::Status status) { written.set_value(status); });
    REQUIRE(written.get_future().get().ok());
  }
  REQUIRE(rowsOf().ok());
  {
    leveldb::Options options;
    options.env = files.env;
    leveldb::DB* opened = nullptr;
    REQUIRE(leveldb::DB::Open(options, std::string(kFolder) + "/register", &opened).ok());
    const std::unique_ptr<leveldb::DB> db(opened);
    REQUIRE(db->Delete({}, "a").ok());
  }
  const auto opened = rowsOf();
  REQUIRE_FALSE(opened.ok());
  CHECK(opened.status().message().find("start with an empty folder") != std::string::npos);
}

namespace {
absl::Status put(Disk& disk, const std::string& key, std::string bytes) {
  std::promise<absl::Status> written;
  disk.write({{key, std::move(bytes)}}, [&](absl::Status status) { written.set_value(status); });
  return written.get_future().get();
}
}  // namespace

TEST_CASE("disk: full while a compaction is due, and at the next start, it loses nothing") {
  PowerLossEnv env;
  std::uint64_t synced = 0;
  const auto body = [](std::uint64_t n) { return std::to_string(n) + std::string(300 << 10, 'x'); };
  const auto numberIn = [](const Disk::Rows& rows) { return std::stoull(rows.at("a")); };
  for (int round = 0; round < 4; ++round) {
    std::promise<Disk::Rows> reopened;
    Disk disk({kFolder, "", 5ms, env.files()},
              [&](Disk::Rows rows) { reopened.set_value(std::move(rows)); });
    env.setFull(round > 0);
    const auto opened = disk.open();
    REQUIRE(opened.ok());
    CHECK(opened->has_value() == (round == 0));
    env.setFull(false);
    if (round > 0) {
      CHECK(numberIn(reopened.get_future().get()) >= synced);
      disk.resume();
      reopened = {};
    }
    for (int i = 0; i < 12; ++i) REQUIRE(put(disk, "a", body(++synced)).ok());
    env.setFull(true);
    CHECK_FALSE(put(disk, "a", body(synced + 1)).ok());
    env.setFull(false);
    CHECK(numberIn(reopened.get_future().get()) >= synced);
    disk.resume();
    REQUIRE(put(disk, "a", body(++synced)).ok());
    env.setFull(true);
  }
  CHECK(env.peakBytes() < (32 << 20));
}

TEST_CASE("disk: 600 changes of a body of 1 MB stay far below what a machine has") {
  constexpr std::size_t kMegabyte = 1 << 20;
  constexpr std::size_t kBound = 32 * kMegabyte;
  PowerLossEnv env;
  std::size_t written = 0;
  Duration longestOpening{};
  for (int processIndex = 0; processIndex < 60; ++processIndex) {  // each opening rewrites the log
    Disk disk({kFolder, "", 1h, env.files()}, [](Disk::Rows) {});
    const Instant startedAt = BootClock::now();
    const auto opened = disk.open();
    longestOpening = std::max(longestOpening, BootClock::now() - startedAt);
    REQUIRE(opened.ok());
    REQUIRE(opened->has_value());
    if (processIndex > 0)
      CHECK((**opened).at("slot/spec").back() == static_cast<char>('a' + (written - 1) % 26));
    for (int i = 0; i < 10; ++i) {
      std::string body(kMegabyte, static_cast<char>('a' + written % 26));
      const auto status = put(disk, "slot/spec", std::move(body));
      REQUIRE(status.ok());
      ++written;
    }
  }
  using Millis = std::chrono::duration<double, std::milli>;
  WARN("longest opening " << Millis(longestOpening).count() << " ms");
  WARN(written << " MB written, at most " << env.peakBytes() / 1024 << " KB at once");
  CHECK(env.peakBytes() < kBound);
}
