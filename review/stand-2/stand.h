#pragma once
// Stand-ins for the cases of the second review: the platform's list, model servers, an operator and clients, around
// processes of the deploy file's program on loopback addresses. Blocking sockets, a thread for each connection.
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace stand {

using Json = nlohmann::json;
using Headers = std::multimap<std::string, std::string>;  // names in lower case

double now();  // seconds since the start of the script
void pause(double seconds);

// record.txt in the case's folder: what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& file);
  void line(const std::string& text);

 private:
  std::mutex mutex_;
  FILE* file_;
};
Record& record();
void openRecord(const std::string& file);

// A connected socket that is closed at the end.
class Socket {
 public:
  explicit Socket(int fd = -1) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(other.fd_), buffer_(std::move(other.buffer_)) { other.fd_ = -1; }
  Socket& operator=(Socket&& other) noexcept;
  ~Socket() { close(); }
  bool isOpen() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  void close();
  void reset();        // closes with a reset
  void finishSends();  // closes the sending side
  bool send(const std::string& bytes);
  // Appends what comes to the buffer. False at the end, at an error or after `seconds`.
  bool fill(double seconds);
  std::string& buffer() { return buffer_; }

 private:
  int fd_;
  std::string buffer_;
};
Socket connectTo(const std::string& address, double seconds = 1.0);

struct Message {
  std::string start;  // the first line
  Headers headers;
  std::string body;
  bool isWhole = false;
  std::string header(const std::string& lowerName) const;
  int status() const;
};
// Reads one message. Not whole: the connection ended, or `seconds` passed.
Message readMessage(Socket& socket, double seconds, bool isAnswerToHead = false);

class Listener {
 public:
  Listener(const std::string& address, std::function<void(Socket&)> serve);
  ~Listener();

 private:
  int fd_ = -1;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

// A model server as the users' pages describe it.
class ModelServer {
 public:
  using Handler = std::function<bool(ModelServer&, const Message&, Socket&)>;  // false: close the connection
  struct Run {
    double at;
    std::string id, method, target, tenant, salt;
    int version;
  };
  ModelServer(std::string addr, std::string identity, std::string backendName);
  void start();
  void stop() { listener_.reset(); }
  Json row() const;
  std::vector<Run> runs() const;
  std::vector<Json> orders() const;
  void noteRun(const Message& request);

  const std::string address, id, backend;
  std::string zone = "a", model = "m0";
  std::atomic<int> version{1};
  std::atomic<bool> isDraining{false}, isListed{true}, isLoading{false};
  std::atomic<double> firstEventAfter{0.05}, eventGap{0.05}, loadSeconds{1.8};
  std::atomic<int> events{5};
  Handler handler;  // instead of serve(), if set before start()
  // The sound answer to a request. False: close the connection.
  bool serve(const Message& request, Socket& socket);

 private:
  bool answer(const Message& request, Socket& socket);
  mutable std::mutex mutex_;
  std::vector<Run> runs_;
  std::vector<Json> orders_;
  std::unique_ptr<Listener> listener_;
};

// The daemons, the platform's list and the operator.
class Fleet {
 public:
  Fleet(int cores, int edges);
  ~Fleet();
  std::string serverAddress(int index) const;  // a free address for a stand-in
  ModelServer& addServer(const std::string& identity, const std::string& backend = "llm");
  void start();
  void startProcess(const std::string& ip);
  void signal(const std::string& ip, int number);
  // Sends SIGKILL and waits for the end.
  void kill(const std::string& ip);
  bool hasEnded(const std::string& ip);
  Json config(std::uint64_t gen) const;
  // Sends the call until it gets an answer that is no 5xx. The status, or 0.
  int call(const std::string& method, const std::string& path, const Json& body, std::optional<std::uint64_t> base,
           double seconds, std::string* answer = nullptr);
  bool waitReady(double seconds);
  bool isReady(const std::string& ip);
  std::string callers(const std::string& ip) const { return ip + ":" + std::to_string(port_); }
  std::string operators(const std::string& ip) const { return ip + ":" + std::to_string(port_ + 1); }

  std::vector<std::string> cores, edges;
  std::vector<std::unique_ptr<ModelServer>> servers;
  std::map<std::string, std::string> bounds;

 private:
  std::string net_, folder_, program_;
  int port_ = 0;
  bool isFirstStart_ = true;
  std::map<std::string, int> processes_;
  std::unique_ptr<Listener> platform_;
};

struct RequestOptions {
  std::string method = "POST", key = "ka", body = "{}", extra;
  int deadlineMs = 8000;
};
std::string newId();
std::string requestText(const std::string& path, const std::string& id, const RequestOptions& options = {});

// True unless TROUBLE=0: whether the case's disruption is made.
bool isTroubled();

}  // namespace stand
