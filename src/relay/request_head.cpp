// The head of a request as a server gets it.
#include "relay/header_text.h"
#include "relay/relay.h"

namespace quayrill {

namespace {
// What is soon read goes first among requests of like priority: it hardly holds the others up.
unsigned urgencyOf(const RelayRequest& job, const Placed& placed) {
  unsigned steps = 0;
  for (std::size_t unread = placed.promptTokens - placed.matchedTokens; unread > 1000; unread /= 2)
    ++steps;
  return std::min(9U, job.priority + steps);
}
}  // namespace

std::string Relay::requestHead(const RelayRequest& job, const Placed& placed, Instant now,
                               const AnswerSoFar& soFar) const {
  const HttpRequest& original = job.original;
  const ServerState& server = placed.chosenServer;
  std::string head;
  head.reserve(1024);
  head.append(view(original.method_string())).append(" ").append(view(original.target()));
  head.append(" HTTP/1.1\r\n");
  const std::string named = std::string(view(original[http::field::connection]));
  for (const auto& field : original) {
    const std::string_view name = view(field.name_string());
    if (isOfConnection(name) || (!named.empty() && named.find(name) != std::string::npos)) continue;
    bool isOurs = false;
    for (const std::string* own :
         {&names_.key, &names_.tenant, &names_.identityWanted, &names_.weightsWanted, &names_.salt,
          &names_.fetchSource, &names_.keepAt, &names_.urgency, &names_.deadlineMs,
          &names_.lastEventId})
      isOurs = isOurs || isSameName(name, *own);
    if (!isOurs) addHeader(&head, name, view(field.value()));
  }
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(job.deadline - now);
  addHeader(&head, names_.deadlineMs, std::to_string(std::max<std::int64_t>(1, left.count())));
  addHeader(&head, names_.identityWanted, server.identity.value);
  if (!server.weights.value.empty()) addHeader(&head, names_.weightsWanted, server.weights.value);
  if (job.needsKey) addHeader(&head, names_.tenant, job.tenant.value);
  // No two versions and no two walls share a salt, so no match and no fetch leads across: servers
  // and stores check neither.
  addHeader(&head, names_.salt, saltText(server.weights, job.wall).value);
  if (settings_.mechanisms.has(Mechanism::Urgency))
    addHeader(&head, names_.urgency, std::to_string(urgencyOf(job, placed)));
  if (!placed.fetchFrom.value.empty()) addHeader(&head, names_.fetchSource, placed.fetchFrom.value);
  if (!placed.keepAt.value.empty()) addHeader(&head, names_.keepAt, placed.keepAt.value);
  if (soFar.lastEventId) addHeader(&head, names_.lastEventId, std::to_string(*soFar.lastEventId));
  const bool hasBody = !original.body().empty() || original.method() == http::verb::post ||
                       original.method() == http::verb::put ||
                       original.method() == http::verb::patch;
  if (hasBody) addHeader(&head, "Content-Length", std::to_string(original.body().size()));
  return head.append("\r\n");
}

}  // namespace quayrill
