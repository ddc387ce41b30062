#pragma once
// Helpers for the tests that interrupt a response at every byte: parsing responses as a caller
// does, and naming the failed case.
#include "byte_server.h"

namespace quayrill::tests {

// A response as a caller would read it, according to HTTP framing.
struct ParsedResponse {
  bool isWhole = false;
  unsigned status = 0;
  std::string body;         // as much of it as was received
  std::size_t surplus = 0;  // bytes after its end
  std::string id, seal;
};

inline ParsedResponse parseResponse(const std::string& bytes, const std::string& idName,
                                    const std::string& sealName) {
  http::response_parser<http::string_body> parser;
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  parser.eager(true);
  ErrorCode code;
  ParsedResponse answer;
  std::size_t parsedBytes = 0;
  while (parsedBytes < bytes.size() && !parser.is_done() && !code) {
    const std::size_t consumed =
        parser.put(asio::buffer(bytes.data() + parsedBytes, bytes.size() - parsedBytes), code);
    parsedBytes += consumed;
    if (consumed == 0) break;
  }
  if (!parser.is_header_done()) return answer;
  if (!code && !parser.is_done()) parser.put_eof(code);
  answer.isWhole = !code && parser.is_done();
  if (answer.isWhole) answer.surplus = bytes.size() - parsedBytes;
  answer.status = parser.get().result_int();
  answer.body = parser.get().body();
  answer.id = std::string(parser.get()[idName]);
  answer.seal = std::string(parser.get()[sealName]);
  return answer;
}

// True for the statuses that promise the caller that the request did not run.
inline bool isNotRunStatus(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

inline const char* faultName(Fault fault) {
  static constexpr const char* kNames[] = {"split", "closed", "reset", "garbled"};
  return kNames[static_cast<std::size_t>(fault)];
}

}  // namespace quayrill::tests
