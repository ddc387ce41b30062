#pragma once
// The steps of a run: faults, and actions of operators and the platform.
#include <string>
#include <vector>

namespace quayrill::fleet {

// What a step acts on.
enum class StepTarget { Core, Edge, Group, Server, External, Operator };

// The name, the target, and a description of the argument and the effect.
// clang-format off
#define QUAYRILL_STEPS(X)                                                                          \
  X("kill-core", Core, "core number: kill -9, back after 3 s")                                     \
  X("kill-edge", Edge, "edge number: kill -9, back after 3 s")                                     \
  X("restart-edge", Edge, "edge number: SIGTERM, restarted once it has exited")                    \
  X("restart-core", Core, "core number: SIGTERM, restarted once it has exited")                    \
  X("overlap-edge", Edge, "edge number: SIGTERM, SIGHUPs, and its successor started at once")      \
  X("overlap-core", Core, "core number: the same")                                                 \
  X("hold-edge", Edge, "edge number: SIGTERM, restarted while a connection has its address 14 s")   \
  X("hold-core", Core, "core number: the same")                                                    \
  X("succeed-edge", Edge, "edge number: two successors started beside it; it leaves, then one")    \
  X("succeed-core", Core, "core number: the same")                                                 \
  X("hup-edge", Edge, "edge number: settings file changed with and without SIGHUP, and invalid")   \
  X("freeze-core", Core, "core number: SIGSTOP for 6 s")                                           \
  X("freeze-edge", Edge, "edge number: SIGSTOP for 6 s")                                           \
  X("wipe-core", Core, "core number: kill -9, its disk emptied, back after 1 s")                   \
  X("cut-core", Core, "core number: partitioned from all others for 8 s")                          \
  X("cut-edge", Edge, "edge number: partitioned from all others for 8 s")                          \
  X("oneway-core", Core, "core number: what it sends is lost for 8 s")                             \
  X("platform-edge", Edge, "edge number: the platform doesn't answer it for 8 s")                  \
  X("store-edge", Edge, "edge number: the store doesn't answer it for 8 s")                        \
  X("full-core", Core, "core number: its disk is full for 6 s")                                    \
  X("slow-core", Core, "core number: each disk sync takes 300 ms longer for 6 s")                  \
  X("stall-core", Core, "core number: the disk stalls for 5 s")                                    \
  X("kill-cores", Group, "how many cores to kill -9 at once, back after 3 s")                      \
  X("full-cores", Group, "on how many cores the disks are full for 6 s")                           \
  X("wipe-cores", Group, "how many cores to kill -9 at once, their disks emptied, back after 1 s") \
  X("refound", Core, "core number: an operator re-creates the register from its disk")             \
  X("kill-zone", Group, "zone 0 to 3: all its daemons killed -9 at once, back after 3 s")          \
  X("cut-zone", Group, "zone 0 to 3: its daemons partitioned from all others for 8 s")             \
  X("split-cores", Group, "0: two cores and half the edges partitioned from the rest for 8 s")     \
  X("kill-orderer", Group, "how many cores to kill -9 with the sender of the latest weight order") \
  X("freeze-orderer", Group, "0: the sender of the latest weight order is frozen for 6 s")         \
  X("cut-orderer", Group, "0: the sender of the latest weight order is partitioned for 8 s")       \
  X("crash-server", Server, "server number: back empty after 3 s")                                 \
  X("vanish-server", Server, "server number: never comes back, unlisted after 4 s")                \
  X("leave-server", Server, "server number: listed as leaving")                                    \
  X("silent-server", Server, "server number: answers nothing for 6 s")                             \
  X("freeze-server", Server, "server number: the process stops for 6 s, connections stay open")    \
  X("drop-stream", Server, "server number: closes its streams midway for 6 s")                     \
  X("drop-first", Server, "server number: runs requests but sends no answers for 6 s")             \
  X("endless-server", Server, "server number: answers with bytes without end for 6 s")             \
  X("late-events", Server, "server number: its cache events come late for 6 s")                    \
  X("lost-events", Server, "server number: half of its cache events are lost for 6 s")             \
  X("doubled-events", Server, "server number: its cache events come twice, reversed, for 6 s")     \
  X("repeat-piece", Server, "server number: sends a piece twice, which the checker must find")     \
  X("release-servers", External, "milliseconds between one server's replacement and the next")     \
  X("slow-links", External, "0: pulls between servers take twenty times as long for 6 s")          \
  X("store-down", External, "0: the store is down for 6 s and comes back empty")                   \
  X("store-slow", External, "0: the store answers after 400 ms for 6 s")                           \
  X("platform-down", External, "seconds for which the platform answers nobody")                    \
  X("weights", Operator, "new weights' name")                                                      \
  X("withdraw", Operator, "tenant whose keys are revoked")                                         \
  X("change", Operator, "name of a path below /v1/ to add")                                        \
  X("flood", Operator, "tenant that alone sends twice the mix's rate in addition for 10 s")        \
  X("race", Operator, "number of changes that each of two concurrent operators makes")             \
  X("ways", Operator, "number of paths to add in one change")
// clang-format on

// A step at a time of the traffic. "kill-core:1@5" kills core 1 at second 5.
struct Step {
  std::string type;
  std::string argument;
  double atSecond = 0;
};
// Parses a comma-separated list of steps. If it is invalid, returns nothing and sets *error.
std::vector<Step> parseSteps(const std::string& text, std::string* error);
// The steps in the format that parseSteps reads.
std::string formatSteps(const std::vector<Step>& steps);
// Draws random steps that depend only on the arguments. At most one disk is lost: the fleet's
// guarantees cover no more at a time.
std::vector<Step> drawSteps(std::uint64_t seed, double seconds, std::size_t cores,
                            std::size_t edges, std::size_t servers);
// Draws series of steps for a soak: signals, restarts and changes in quick succession, several
// series at a time, and starts beside processes that hold the daemon's address. All faults of cores
// hit the same one, no disk is lost, and the same arguments give the same steps.
std::vector<Step> drawSoakSteps(std::uint64_t seed, double seconds, std::size_t cores,
                                std::size_t edges, std::size_t servers);

}  // namespace quayrill::fleet
