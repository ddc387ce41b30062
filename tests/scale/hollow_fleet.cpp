// Not a check: daemons without a proxy or a disk, many in one process, that join the fleet which
// `quayrill-local --keep-open` serves on the same net. docs/CAPACITY.md has the commands.
#include <glog/logging.h>
#include <malloc.h>

#include <csignal>
#include <ctime>
#include <fstream>
#include <iostream>
#include <thread>

#include "agent/agent.h"

using namespace quayrill;
using namespace std::chrono_literals;

namespace {
double processorSeconds(std::thread& thread) {
  clockid_t clock{};
  timespec used{};
  if (::pthread_getcpuclockid(thread.native_handle(), &clock) != 0) return 0;
  ::clock_gettime(clock, &used);
  return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
}

double residentMegabytes() {
  std::ifstream in("/proc/self/statm");
  double all = 0, resident = 0;
  in >> all >> resident;
  return resident * 4096 / 1e6;
}

Settings bootOf(int net, std::size_t number, std::size_t replicas) {
  const std::string stem = "127." + std::to_string(net) + ".";
  const std::string ip =
      stem + std::to_string(10 + number / 200) + "." + std::to_string(number % 200 + 1);
  Settings settings;
  settings.role = "agent";
  settings.peer = Address{ip + ":7100"};
  settings.operators = Address{ip + ":7101"};
  settings.callers = Address{ip + ":7102"};
  settings.platform = Address{stem + "4.1:7200"};
  settings.store = Address{stem + "4.2:7200"};
  settings.zone = "zone" + std::to_string(number % 5);
  for (int seed = 1; seed <= 3; ++seed)
    settings.seeds.push_back(Address{stem + "1." + std::to_string(seed) + ":7100"});
  settings.replicasWanted = replicas;
  return settings;
}
}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) {
    std::cerr << "usage: hollow_fleet NET COUNT COPIES SECONDS\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  const int net = std::stoi(argv[1]);
  const std::size_t count = std::stoul(argv[2]);
  const double before = residentMegabytes();
  std::vector<std::unique_ptr<Agent>> agents;
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < count; ++i) {
    agents.push_back(std::make_unique<Agent>(bootOf(net, i, std::stoul(argv[3])), ownDialect()));
    if (auto status = agents.back()->start(); !status.ok()) {
      std::cerr << "hollow_fleet: " << status.message() << "\n";
      std::_Exit(1);
    }
    threads.emplace_back([agent = agents.back().get()] { agent->run(); });
    std::this_thread::sleep_for(20ms);
  }
  const auto settle = 10s;
  std::this_thread::sleep_for(settle);
  std::vector<double> begun;
  for (std::thread& thread : threads) begun.push_back(processorSeconds(thread));
  const std::chrono::seconds span(std::stol(argv[4]));
  std::this_thread::sleep_for(span);
  double sum = 0, most = 0;
  for (std::size_t i = 0; i < count; ++i) {
    const double share =
        (processorSeconds(threads[i]) - begun[i]) / std::chrono::duration<double>(span).count();
    sum += share;
    most = std::max(most, share);
  }
  std::cout << "hollow daemons " << count << " share of a core each " << sum / count << " most "
            << most << " resident MB each " << (residentMegabytes() - before) / count << std::endl;
  std::_Exit(0);
}
