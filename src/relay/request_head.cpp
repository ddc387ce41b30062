// Builds the head of a request as it is sent to a server.
#include "relay/header_text.h"
#include "relay/relay.h"

namespace quayrill {

namespace {
// The less there is to prefill, the more urgent a request is among those of equal priority, because
// it delays the others very little.
unsigned urgencyOf(const RelayRequest& job, const PlacementResult& placed) {
  unsigned steps = 0;
  for (std::size_t prefillTokens = placed.promptTokens - placed.matchedTokens; prefillTokens > 1000;
       prefillTokens /= 2)
    ++steps;
  return std::min(9U, job.priority + steps);
}
}  // namespace

std::string Relay::requestHead(const RelayRequest& job, const PlacementResult& placed, Instant now,
                               const ResponseProgress& progress) const {
  const HttpRequest& original = job.original;
  const ServerState& server = placed.chosenServer;
  std::string head;
  head.reserve(1024);
  head.append(view(original.method_string())).append(" ").append(view(original.target()));
  head.append(" HTTP/1.1\r\n");
  const std::string connectionHeader = std::string(view(original[http::field::connection]));
  for (const auto& field : original) {
    const std::string_view name = view(field.name_string());
    if (isHopByHop(name) ||
        (!connectionHeader.empty() && connectionHeader.find(name) != std::string::npos))
      continue;
    bool isReplaced = false;
    for (const std::string* own :
         {&headerNames_.key, &headerNames_.tenant, &headerNames_.identityWanted,
          &headerNames_.weightsWanted, &headerNames_.salt, &headerNames_.fetchSource,
          &headerNames_.keepAt, &headerNames_.urgency, &headerNames_.timeoutMs,
          &headerNames_.lastEventId})
      isReplaced = isReplaced || isSameHeaderName(name, *own);
    if (!isReplaced) addHeader(&head, name, view(field.value()));
  }
  const auto timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(job.deadline - now);
  addHeader(&head, headerNames_.timeoutMs,
            std::to_string(std::max<std::int64_t>(1, timeLeft.count())));
  addHeader(&head, headerNames_.identityWanted, server.identity.value);
  if (!server.weights.value.empty())
    addHeader(&head, headerNames_.weightsWanted, server.weights.value);
  if (job.needsKey) addHeader(&head, headerNames_.tenant, job.tenant.value);
  // Salts differ between weights versions and between cache scopes, so no match or fetch crosses
  // either boundary. Servers and stores check neither themselves.
  addHeader(&head, headerNames_.salt, scopedCacheSalt(server.weights, placed.salt).value);
  if (settings_.mechanisms.isEnabled(Mechanism::Urgency))
    addHeader(&head, headerNames_.urgency, std::to_string(urgencyOf(job, placed)));
  if (!placed.fetchFrom.value.empty())
    addHeader(&head, headerNames_.fetchSource, placed.fetchFrom.value);
  if (!placed.storeTo.value.empty()) addHeader(&head, headerNames_.keepAt, placed.storeTo.value);
  const std::string_view callersLastEventId = view(original[headerNames_.lastEventId]);
  if (progress.lastEventId)
    addHeader(&head, headerNames_.lastEventId, std::to_string(*progress.lastEventId));
  else if (!callersLastEventId.empty())  // no number: only the server can tell what it means
    addHeader(&head, headerNames_.lastEventId, callersLastEventId);
  const bool hasBody = !original.body().empty() || original.method() == http::verb::post ||
                       original.method() == http::verb::put ||
                       original.method() == http::verb::patch;
  if (hasBody) addHeader(&head, "Content-Length", std::to_string(original.body().size()));
  return head.append("\r\n");
}

}  // namespace quayrill
