#include "relay/answer_fault.h"

namespace quayrill {

namespace {
constexpr const char* kLabels[] = {"none",
#define QUAYRILL_LABEL(identifier, label, description) label,
                                   QUAYRILL_ANSWER_FAULTS(QUAYRILL_LABEL)
#undef QUAYRILL_LABEL
};
constexpr const char* kDescriptions[] = {"",
#define QUAYRILL_DESCRIPTION(identifier, label, description) description,
                                         QUAYRILL_ANSWER_FAULTS(QUAYRILL_DESCRIPTION)
#undef QUAYRILL_DESCRIPTION
};
}  // namespace

const char* describeFault(AnswerFault fault) {
  return kDescriptions[static_cast<std::size_t>(fault)];
}

AnswerFault faultOf(const ErrorCode& code) {
  if (code == http::error::header_limit) return AnswerFault::Head;
  if (code == http::error::body_limit) return AnswerFault::Body;
  const bool isBrokenOff =
      code == http::error::end_of_stream || code == http::error::partial_message;
  const bool isOfHttp =
      code.category() == http::make_error_code(http::error::end_of_stream).category();
  return isOfHttp && !isBrokenOff ? AnswerFault::Framing : AnswerFault::None;
}

void AnswerFaultCounts::note(const ServerName& server, AnswerFault fault) {
  if (fault != AnswerFault::None) ++rows_[server][static_cast<std::size_t>(fault)];
}

void AnswerFaultCounts::retain(const std::set<ServerName>& listed) {
  std::erase_if(rows_, [&](const auto& row) { return !listed.contains(row.first); });
}

std::string AnswerFaultCounts::render() const {
  std::string text =
      "# HELP quayrill_answerFaults answers given up while their server could still send\n"
      "# TYPE quayrill_answerFaults counter\n";
  for (const auto& [server, counts] : rows_) {
    for (std::size_t i = 0; i < counts.size(); ++i) {
      if (counts[i] == 0) continue;
      text += "quayrill_answerFaults{server=\"" + server.value + "\",fault=\"" + kLabels[i] +
              "\"} " + std::to_string(counts[i]) + "\n";
    }
  }
  return text;
}

}  // namespace quayrill
