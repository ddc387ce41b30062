#include "daemon/daemon.h"

#include <glog/logging.h>

#include <csignal>
#include <iostream>
#include <memory>
#include <thread>

#include "agent/agent.h"
#include "proxy/proxy.h"

namespace quayrill {

using namespace std::chrono_literals;

int runDaemon(const Boot& boot, const Dialect& dialect, const char* program) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
  sigset_t endings;
  sigemptyset(&endings);
  sigaddset(&endings, SIGTERM);
  sigaddset(&endings, SIGINT);
  pthread_sigmask(SIG_BLOCK, &endings, nullptr);  // before any thread starts
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);  // a write over a file size limit is a defect like a full disk

  std::unique_ptr<Agent> agent;
  std::unique_ptr<Proxy> proxy;
  std::thread control;
  if (boot.role != "proxy") {
    agent = std::make_unique<Agent>(boot, dialect);
    if (auto status = agent->start(); !status.ok()) {
      std::cerr << "sonnblick: " << status.message() << "\n";
      return 1;
    }
    control = std::thread([&] { agent->run(); });
  }
  if (boot.role != "agent") {
    proxy = std::make_unique<Proxy>(boot, dialect);
    if (auto status = proxy->start(); !status.ok()) {
      std::cerr << "sonnblick: " << status.message() << "\n";
      std::_Exit(1);
    }
  }
  LOG(INFO) << program << " " QUAYRILL_VERSION " serves as " << boot.role;
  int signal = 0;
  sigwait(&endings, &signal);
  LOG(INFO) << "leaving: not ready, finishing what was accepted";
  if (agent) agent->beginLeaving();
  if (proxy) {
    proxy->beginLeaving();
    // The platform needs to see it before circuits stop: accept what still comes, then only finish.
    // What was accepted has until its due, however short the grace.
    const Span grace = std::max<Span>(boot.grace, proxy->longestDue() + 2s);
    const auto graceEnd = BootClock::now() + grace;
    std::this_thread::sleep_for(std::min<std::chrono::milliseconds>(boot.grace / 2, 2000ms));
    proxy->stopAccepting();
    while (proxy->circuits() > 0 && BootClock::now() < graceEnd) std::this_thread::sleep_for(20ms);
    proxy->stop();
  }
  // A proxy beside this agent finishes on its word that the spec still stands.
  if (boot.role == "agent")
    std::this_thread::sleep_for(std::min<std::chrono::milliseconds>(boot.grace, 3000ms));
  if (agent) {
    // Each operator's call has a due of its own, so this ends by itself.
    while (agent->callsOpen() > 0) std::this_thread::sleep_for(20ms);
    agent->stop();
    control.join();
  }
  LOG(INFO) << "ended";
  google::FlushLogFiles(google::INFO);
  std::_Exit(0);  // what still runs holds nothing that must be written
}

}  // namespace quayrill
