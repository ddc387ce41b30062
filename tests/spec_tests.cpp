#include <catch2/catch.hpp>

#include "base/digest.h"
#include "boot/boot.h"
#include "spec/spec.h"

using namespace quayrill;

namespace {
const std::string kDigest = keyDigest("secret");
std::string specWith(const std::string& tenants, const std::string& contracts,
                     const std::string& ways) {
  return R"({"models":{"till":{"weights":"w1"}},"tenants":)" + tenants + R"(,"contracts":)" +
         contracts + R"(,"ways":)" + ways + "}";
}
std::string pathOfDefect(const std::string& body) {
  const auto spec = parseSpec(body);
  if (spec.ok()) return "";
  const std::string text(spec.status().message());
  return text.substr(0, text.find(": "));
}
}  // namespace

TEST_CASE("spec: what it may hold, and where a defect lies") {
  const std::string good = specWith(R"({"a":{"keys":[")" + kDigest + R"("]}})",
                                    R"({"c":{"model":"till","repeatable":false}})", R"({"w":"c"})");
  const auto spec = parseSpec(good);
  REQUIRE(spec.ok());
  CHECK(spec->tenantOfDigest.at(kDigest).value == "a");
  CHECK_FALSE(spec->contracts.at(ContractName{"c"}).repeatable);
  CHECK(pathOfDefect("{") == "/");
  CHECK(pathOfDefect(specWith("{}", R"({"c":{"model":"no","repeatable":true}})", "{}")) ==
        "/contracts/c/model");
  CHECK(pathOfDefect(specWith("{}", "{}", R"({"w":"c"})")) == "/ways/w");
  CHECK(pathOfDefect(specWith(R"({"a":{"keys":["plain"]}})", "{}", "{}")) == "/tenants/a/keys/0");
  CHECK(pathOfDefect(specWith("{}", R"({"c":{"model":"till"}})", "{}")) == "/contracts/c");
  CHECK(pathOfDefect(
            specWith(R"({"a":{"keys":[")" + kDigest + R"("]},"b":{"keys":[")" + kDigest + R"("]}})",
                     "{}", "{}")) == "/tenants/b/keys");
}

TEST_CASE("spec: a merge patch changes what it names and removes with null") {
  const auto patched = patchSpec(R"({"a":{"x":1,"y":2}})", R"({"a":{"x":null,"z":3}})");
  REQUIRE(patched.ok());
  CHECK(*patched == R"({"a":{"y":2,"z":3}})");
  CHECK_FALSE(patchSpec("{}", "[1]").ok());
}

TEST_CASE("spec: an isolated tenant's salts are its own and nobody else can name one") {
  const auto spec = parseSpec(specWith(R"({"iso":{"isolated":true},"open":{}})", "{}", "{}"));
  REQUIRE(spec.ok());
  CacheSalt isolated, shared;
  REQUIRE(saltFor(*spec, TenantName{"iso"}, "", &isolated));
  CHECK(isolated.value == "tenant:iso");
  CHECK_FALSE(saltFor(*spec, TenantName{"open"}, isolated.value, &shared));
  CHECK_FALSE(saltFor(*spec, TenantName{"iso"}, "tenant:other", &isolated));
  REQUIRE(saltFor(*spec, TenantName{"open"}, "", &shared));
  CHECK(shared.value.empty());
}

TEST_CASE("boot: each bad setting is named with its remedy") {
  const std::map<std::string, std::string> good = {
      {"cohort", "127.0.0.1:1"},   {"operators", "127.0.0.1:2"}, {"callers", "127.0.0.1:3"},
      {"platform", "127.0.0.1:4"}, {"seeds", "127.0.0.1:1"},     {"zone", "z"}};
  REQUIRE(loadBoot({"", good}).ok());
  const auto defectWith = [&](const std::string& name, const std::string& value) {
    auto flags = good;
    if (value.empty())
      flags.erase(name);
    else
      flags[name] = value;
    return std::string(loadBoot({"", flags}).status().message());
  };
  using Catch::Matchers::Contains;
  CHECK_THAT(defectWith("cohort", "localhost:1"), Contains("'cohort'") && Contains("host names"));
  CHECK_THAT(defectWith("cohort", "127.0.0.1:70000"), Contains("bad port"));
  CHECK_THAT(defectWith("callers", "127.0.0.1:2"), Contains("'callers'") && Contains("same ip"));
  CHECK_THAT(defectWith("seeds", ""), Contains("'seeds'") && Contains("missing"));
  CHECK_THAT(defectWith("platform", ""), Contains("'platform'"));
  CHECK_THAT(defectWith("colour", "red"), Contains("colour"));
  CHECK_THAT(defectWith("grace_ms", "soon"), Contains("/grace_ms"));
  CHECK_THAT(defectWith("role", "boss"), Contains("/role"));
  CHECK_THAT(defectWith("data_folder", "/proc/none"), Contains("'data_folder'"));
  CHECK_THAT(std::string(loadBoot({"/no/such/file", {}}).status().message()),
             Contains("can't be read"));
}
