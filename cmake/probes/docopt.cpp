// Parses a command line, as each program does at its start.
#include <docopt/docopt.h>

int main() {
  const auto flags = docopt::docopt_parse("Usage: probe [--check]", {"--check"}, true, true);
  return flags.at("--check").asBool() ? 0 : 1;
}
