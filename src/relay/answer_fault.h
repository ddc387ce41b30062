#pragma once
// Why servers' answers were given up while the servers could still send: faults of the servers
// themselves, counted by server.
#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "base/types.h"
#include "net/asio.h"

namespace quayrill {

// enumerator, label in the metrics, description in decision records
#define QUAYRILL_ANSWER_FAULTS(X)                                   \
  X(Head, "head", "the head is over its limit")                     \
  X(Framing, "framing", "no valid HTTP, or framing over its limit") \
  X(Body, "body", "an endless answer, or one over its limit")       \
  X(Memory, "memory", "other answers take the memory for answers")  \
  X(Event, "event", "an endless event")                             \
  X(Events, "events", "more events than the request asked tokens for")

enum class AnswerFault {
  None,
#define QUAYRILL_ANSWER_FAULT(identifier, label, description) identifier,
  QUAYRILL_ANSWER_FAULTS(QUAYRILL_ANSWER_FAULT)
#undef QUAYRILL_ANSWER_FAULT
      Count
};

// The fault in a few words, for decision records.
const char* describeFault(AnswerFault fault);

// The fault that an error while reading an answer shows. None for an answer that broke off and for
// errors of the connection.
AnswerFault faultOf(const ErrorCode& code);

// Counts of faults by server.
class AnswerFaultCounts {
 public:
  void note(const ServerName& server, AnswerFault fault);
  // Forgets servers that are not listed.
  void retain(const std::set<ServerName>& listed);
  // In the Prometheus text format, with a label each for the server and the fault.
  std::string render() const;

 private:
  using Row = std::array<std::uint64_t, static_cast<std::size_t>(AnswerFault::Count)>;
  std::map<ServerName, Row> rows_;
};

}  // namespace quayrill
