// Tests that documents from outside are bounded before anything recurses over them.
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <fstream>

#include "base/digest.h"
#include "base/json_text.h"
#include "configuration/configuration.h"
#include "configuration/text_fields.h"
#include "platform/register_body.h"
#include "platform/servers.h"

using namespace quayrill;
using Catch::Matchers::StartsWith;
using platform::Document;

namespace {
// Long enough to run out of any thread's stack if something recurses once for each character or
// level.
constexpr std::size_t kHuge = 1 << 20;

std::string nested(std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

// A valid document of the built-in dialect with one route, whose parts may be replaced.
std::string builtInDocument(const std::string& host, const std::string& prefix,
                            const std::string& service = "east",
                            const std::string& storeAddress = "10.0.0.1:80",
                            const std::string& digest = keyDigest("secret")) {
  return R"({"models":{"m":{"weights":"1"}},"tenants":{"a":{"keys":[")" + digest + R"("]}},
    "contracts":{"c":{"model":"m","repeatable":false}},"ways":{},
    "services":{"east":{"health_path":"/health"}},"stores":{"s":{"address":")" +
         storeAddress + R"("}},"routes":{"r":{"host":")" + host + R"(","prefix":")" + prefix +
         R"(","contract":"c","split":[{"service":")" + service + R"("}]}}})";
}

std::string builtInError(const std::string& document) {
  return std::string(parseConfiguration(document).status().message());
}

// A valid document of the platform with one route, whose parts may be replaced.
std::string platformDocument(const std::string& prefix, const std::string& backend = "east",
                             const std::string& storeAddress = "10.0.0.1:80",
                             const std::string& unknownField = "1") {
  return R"({"gen":7,"routes":[{"name":"r","host":"a.example","prefix":")" + prefix +
         R"(","backend":")" + backend +
         R"("}],"backends":[{"name":"east"},{"name":"s","kvAddr":")" + storeAddress +
         R"("}],"later":)" + unknownField + "}";
}

std::string platformError(const std::string& text) {
  auto document = platform::parseDocument(text);
  if (!document.ok()) return std::string(document.status().message());
  return std::string(platform::parseConfig(std::move(*document)).status().message());
}
// The largest body that the operator API reads.
constexpr std::size_t kLargestBody = 4 << 20;

// A document of the largest size: `before`, as many of `item` as fit, `last` and `after`.
std::string fullOf(const std::string& before, const std::string& item, const std::string& last,
                   const std::string& after) {
  std::string text = before;
  text.reserve(kLargestBody);
  while (text.size() + item.size() + last.size() + after.size() + 1 < kLargestBody)
    text += item + ",";
  return text + last + after;
}

// `what` repeated into a list of `count`.
std::string listOf(const std::string& what, std::size_t count) {
  std::string text;
  for (std::size_t i = 0; i < count; ++i) text += (i > 0 ? "," : "") + what;
  return text;
}

// The memory that the process uses as addresses, in bytes.
std::size_t addressSpace() {
  std::size_t pages = 0;
  std::ifstream("/proc/self/statm") >> pages;
  return pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

// Half of what a core machine has in all: the other half is the daemon's own.
constexpr std::size_t kMemoryForOneBody = 128 << 20;
// A core's control thread may not rest for as long as a lease lasts.
constexpr std::chrono::seconds kTimeForOneBody{3};

// Whether `judge` returns true within the memory and time that a core has for one body. It runs in
// a process of its own.
template <typename Judge>
bool holdsWithinACore(Judge judge) {
  const pid_t child = ::fork();
  if (child == 0) {
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
    const rlim_t bytes = addressSpace() + kMemoryForOneBody;
    const rlimit limit{bytes, bytes};
    ::setrlimit(RLIMIT_AS, &limit);
    const rlimit seconds{kTimeForOneBody.count(), kTimeForOneBody.count()};
    ::setrlimit(RLIMIT_CPU, &seconds);
#endif
    bool holds = false;
    try {
      holds = judge();
    } catch (const std::bad_alloc&) {
    }
    ::_exit(holds ? 0 : 1);
  }
  int status = 0;
  ::waitpid(child, &status, 0);
  return WIFEXITED(status) && WEXITSTATUS(status) == 0;
}
}  // namespace

// Guards against: a long text field in a configuration ends the process that checks it (SIGSEGV).
TEST_CASE("documents: a text field of any length is judged without recursion") {
  const std::string letters(kHuge, 'a');
  CHECK(builtInError(builtInDocument("a.example", "/" + letters + "/")).empty());
  CHECK(builtInError(builtInDocument(letters, "/")).empty());
  CHECK_THAT(builtInError(builtInDocument("a.example", "/" + letters + "/", "none")),
             StartsWith("/routes/r/split/0/service: "));
  CHECK_THAT(builtInError(builtInDocument("a.example", letters)), StartsWith("/routes/r/prefix: "));
  CHECK_THAT(builtInError(builtInDocument(letters + "/", "/")), StartsWith("/routes/r/host: "));
  CHECK_THAT(builtInError(builtInDocument("a.example", "/", "east", std::string(kHuge, '1'))),
             StartsWith("/stores/s/address: "));
  CHECK_THAT(
      builtInError(builtInDocument("a.example", "/", "east", "1.1.1.1:1", "sha256:" + letters)),
      StartsWith("/tenants/a/keys/0: "));
  CHECK(platformError(platformDocument("/" + letters + "/")).empty());
  CHECK_THAT(platformError(platformDocument("/" + letters + "/", "none")),
             StartsWith("/routes/0/backend: "));
  CHECK_THAT(platformError(platformDocument(letters)), StartsWith("/routes/0/prefix: "));
  CHECK_THAT(platformError(platformDocument("/", "east", std::string(kHuge, '1'))),
             StartsWith("/backends/1/kvAddr: "));
}

// Guards against: a deeply nested document ends the process that copies, prints or patches it.
TEST_CASE("documents: one that nests too deep is refused before anything recurses over it") {
  for (const std::size_t depth : {kMaxJsonDepth, kHuge}) {
    const std::string error = "/: objects and lists nest deeper than 200 levels";
    CHECK_THAT(platformError(platformDocument("/", "east", "1.1.1.1:1", nested(depth))),
               StartsWith(error));
    CHECK_THAT(builtInError(R"({"later":)" + nested(depth) + "}"), StartsWith(error));
    const auto patched = patchConfiguration("{}", R"({"later":)" + nested(depth) + "}");
    CHECK_THAT(std::string(patched.status().message()), StartsWith(error));
    CHECK_FALSE(platform::weightsUpdate(R"({"model":)" + nested(depth) + R"(,"gen":2})").ok());
    CHECK_FALSE(platform::parseListPage(R"({"instances":)" + nested(depth) + "}").ok());
    CHECK_FALSE(platform::parsePartEvents(R"({"bootId":)" + nested(depth) + "}").ok());
  }
  const std::string allowed = nested(kMaxJsonDepth - 1);
  CHECK(platformError(platformDocument("/", "east", "1.1.1.1:1", allowed)).empty());
  CHECK(parseJson(R"({"brackets in text":"[[\"[["})").is_object());
  CHECK_FALSE(nestsTooDeep('"' + std::string(kHuge, '[') + '"'));
}

TEST_CASE("documents: the formats of text fields") {
  for (const char* good : {"/", "/a/", "//"}) CHECK(isPathPrefix(good));
  for (const char* bad : {"", "a", "/a", "a/"}) CHECK_FALSE(isPathPrefix(bad));
  for (const char* good : {"a", "a-1.example", "x_y"}) CHECK(isHostName(good));
  for (const char* bad : {"", "A", "a b", "a:80", "a/"}) CHECK_FALSE(isHostName(bad));
  for (const char* good : {"1.2.3.4:80", "1:2"}) CHECK(isNumericAddress(good));
  for (const char* bad : {"", "1.2.3.4", ":80", "1.2.3.4:", "host:80", "1:2:3", "1:2 "})
    CHECK_FALSE(isNumericAddress(bad));
  CHECK(isKeyDigest(keyDigest("secret")));
  for (const std::string& bad : {std::string("sha256:"), keyDigest("a") + "0",
                                 "sha256:" + std::string(64, 'G'), std::string(71, 'a')})
    CHECK_FALSE(isKeyDigest(bad));
}

// Guards against: the list of all violations of a document takes many times its size (1.3 GiB for
// 4 MiB, where a core has 256 MB) and seconds of the control thread.
TEST_CASE("documents: one full of violations is refused within a core's memory and time") {
  const std::string start = R"({"gen":7,"backends":[],"routes":[)";
  const auto isRefused = [](const std::string& document, const std::string& error) {
    return holdsWithinACore([&] { return platformError(document).starts_with(error); });
  };
  for (const char* item : {"{}", "0", "[]"}) {
    INFO(item);
    CHECK(isRefused(fullOf(start, item, item, "]}"), "/: more than 262144 values"));
    CHECK(isRefused(start + listOf(item, 100000) + "]}", "/routes/0: "));
  }
  const std::string keys =
      R"({"gen":7,"backends":[],"routes":[],"tenants":[{"name":"a","apiKeys":[)";
  CHECK(isRefused(keys + listOf(R"("")", 200000) + "]}]}", "/tenants/0/apiKeys/0: "));
  const std::string good = R"({"name":"b"})";
  CHECK(isRefused(R"({"gen":7,"routes":[],"backends":[)" + listOf(good, 1) + "," +
                      listOf(R"({"name":0})", 100000) + "]}",
                  "/backends/1/name: "));
  CHECK(isRefused(R"({"gen":7,"routes":[],"backends":[],"later":[)" + listOf("{}", 300000) + "]}",
                  "/: more than 262144 values"));
  // The built-in dialect knows all members of an object.
  std::string unknown;
  for (int i = 0; i < 100000; ++i) unknown += ",\"u" + std::to_string(i) + "\":0";
  const std::string full = R"({"models":{},"tenants":{},"contracts":{},"ways":{})";
  CHECK(holdsWithinACore([&] { return builtInError(full + unknown + "}").starts_with("/: "); }));
  CHECK(holdsWithinACore([&] {
    return builtInError(R"({"models":{},"contracts":{},"ways":{},"tenants":{"a":0)" + unknown +
                        "}}")
        .starts_with("/tenants/a: ");
  }));
}

// Guards against: documents for which each name is looked for among all rows.
TEST_CASE("documents: a patch of many names takes time in proportion to its size") {
  std::string rows, names;
  for (int i = 0; i < 20000; ++i) {
    const std::string name = "\"n" + std::to_string(i) + "\"";
    rows += (i > 0 ? "," : "") + (R"({"name":)" + name + "}");
    names += (i > 0 ? "," : "") + name;
  }
  const std::string current = R"({"gen":1,"routes":[],"backends":[)" + rows + "]}";
  const auto patched = [&](const std::string& patch) {
    auto base = platform::parseDocument(current), change = platform::parseDocument(patch);
    REQUIRE(base.ok());
    REQUIRE(change.ok());
    REQUIRE(platform::validatePatch(*change).ok());
    return platform::applyPatch(std::move(*base), *change);
  };
  CHECK(holdsWithinACore([&] {
    const auto result = patched(R"({"gen":2,"upsert":{"backends":[)" + rows + "]}}");
    return result.ok() && (*result)["backends"].size() == 20000;
  }));
  CHECK(holdsWithinACore([&] {
    const auto result = patched(R"({"gen":2,"remove":{"backends":[)" + names + "]}}");
    return result.ok() && (*result)["backends"].empty();
  }));
}

// Guards against: each field's name is looked for among all fields of its object, so that a
// configuration of 728 KB holds up the control thread for six seconds.
TEST_CASE("documents: objects of many fields take time in proportion to their size") {
  std::string fields, lists;
  for (int i = 0; i < 100000; ++i) {
    const std::string name = (i > 0 ? ",\"f" : "\"f") + std::to_string(i) + "\"";
    fields += name + ":0";
    lists += name + ":[]";
  }
  const std::string start = R"({"gen":7,"routes":[],"backends":[],"limits":{)";
  const std::string config = start + fields + "}}";
  CHECK(holdsWithinACore([&] { return platformError(config).empty(); }));
  CHECK(holdsWithinACore([&] { return platformError(start + "}," + fields + "}").empty(); }));
  CHECK(holdsWithinACore(
      [&] { return !platform::readConfiguration(R"({"config":)" + config + "}").ok(); }));
  for (const std::string& patch :
       {R"({"gen":8,"limits":{)" + fields + "}}", R"({"gen":8,"upsert":{)" + lists + "}}",
        R"({"gen":8,"remove":{)" + lists + "}}"}) {
    CHECK(holdsWithinACore([&] {
      const auto base = platform::parseDocument(config), change = platform::parseDocument(patch);
      return base.ok() && change.ok() && platform::validatePatch(*change).ok() &&
             platform::applyPatch(*base, *change).ok();
    }));
  }
}

// Guards against: a configuration that is too large is judged whole, and its keys are digested, on
// the control thread before its size is looked at.
TEST_CASE("documents: a configuration over the limit is refused by its size, before its fields") {
  const std::string start =
      R"({"gen":7,"backends":[],"routes":0,"tenants":[{"name":"a","apiKeys":[)";
  const std::string large = start + listOf(R"("0123456789")", 100000) + "]}]}";
  const auto update = platform::configReplacement(large, 0);
  REQUIRE(update.ok());
  CHECK(absl::IsResourceExhausted((*update)("").status()));
  const std::string small = start + listOf(R"("0123456789")", 10) + "]}]}";
  CHECK(absl::IsInvalidArgument(platform::configReplacement(small, 0).status()));
}

TEST_CASE("documents: parsing keeps the order, and of equal names the last value") {
  const std::string text =
      R"({"b":[1,-2,2.5,"x",null,true,{"z":{},"a":[]}],"a":{"k":1},"b2":{"y":1,"x":2}})";
  CHECK(platform::parseDocumentText(text).dump() == text);
  CHECK(platform::parseDocumentText(R"({"a":1,"b":2,"a":[3]})").dump() == R"({"a":[3],"b":2})");
  for (const char* broken : {"", "{", "[1,]", R"({"a":1)", R"({"a" 1})", "1 2"})
    CHECK(platform::parseDocumentText(broken).is_discarded());
  std::string many = "{";
  for (int i = 0; i < 40; ++i)
    many += "\"" + std::to_string(i % 20) + "\":" + std::to_string(i) + ",";
  platform::Document document = platform::parseDocumentText(many + R"("last":0})");
  REQUIRE(document.size() == 21);
  CHECK(document["7"] == 27);
  CHECK(document.begin().key() == "0");
}

// Guards against: a patch of a field that is no list throws, and its call gets no answer.
TEST_CASE("documents: a patch of a field that is no list is refused by its name") {
  const std::string config =
      R"({"gen":1,"routes":[],"backends":[],"limits":{"maxBodyBytes":1},"later":[1,{"name":2}]})";
  const auto errorOf = [&](const std::string& patch) {
    const auto change = platform::parseDocument(patch);
    REQUIRE(change.ok());
    REQUIRE(platform::validatePatch(*change).ok());
    const auto result = platform::applyPatch(*platform::parseDocument(config), *change);
    return std::string(result.status().message());
  };
  CHECK_THAT(errorOf(R"({"gen":2,"remove":{"limits":["maxBodyBytes"]}})"),
             StartsWith("/remove/limits: is no list"));
  CHECK_THAT(errorOf(R"({"gen":2,"remove":{"gen":["a"]}})"), StartsWith("/remove/gen: is no list"));
  CHECK_THAT(errorOf(R"({"gen":2,"upsert":{"gen":[{"name":"a"}]}})"),
             StartsWith("/upsert/gen: is no list"));
  CHECK(errorOf(R"({"gen":2,"upsert":{"later":[{"name":"a"}]},"remove":{"later":["b"]}})").empty());
}

// Guards against: a path with bytes that are no UTF-8 throws where it is printed, and its call gets
// no answer.
TEST_CASE("documents: bytes that are no UTF-8 are printed") {
  CHECK(printJson({{"message", "no route for '/\xff\xfe'"}}) ==
        "{\"message\":\"no route for '/\xEF\xBF\xBD\xEF\xBF\xBD'\"}");
}
