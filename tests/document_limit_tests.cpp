// Tests that documents from outside are bounded before anything recurses over them.
#include <catch2/catch.hpp>

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
