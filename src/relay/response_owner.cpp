#include "relay/response_owner.h"

#include <algorithm>

namespace quayrill {

namespace {
constexpr std::string_view kProtocol = "HTTP/1.";
constexpr unsigned kMisdirected = 421;

std::string_view view(beast::string_view text) { return {text.data(), text.size()}; }

bool containsStatusLine(beast::string_view text) {
  return view(text).find(kProtocol) != std::string::npos;
}
}  // namespace

ResponseOwner responseOwner(const ResponseHead& head, const HeaderNames& names, const RequestId& id,
                            bool isFirst) {
  const auto ids = head.count(names.requestId);
  if (ids > 1 || isSpliced(head)) return ResponseOwner::Malformed;
  if (ids == 1) {
    const bool isForRequest = !id.value.empty() && view(head[names.requestId]) == id.value;
    return isForRequest ? ResponseOwner::Request : ResponseOwner::Other;
  }
  if (!isFirst) return ResponseOwner::Other;
  return id.value.empty() ? ResponseOwner::Request : ResponseOwner::Unidentified;
}

bool isSpliced(const ResponseHead& head) {
  return containsStatusLine(head.reason()) ||
         std::any_of(head.begin(), head.end(),
                     [](const auto& field) { return containsStatusLine(field.value()); });
}

bool promisesNotRun(unsigned status) {
  return status == 408 || status == kMisdirected || status == 429 || status == 503;
}

bool reportsNotRun(const ResponseHead& head, const HeaderNames& names) {
  if (head.result_int() / 100 == 2) return false;
  return head.result_int() == kMisdirected || head.find(names.notRun) != head.end();
}

}  // namespace quayrill
