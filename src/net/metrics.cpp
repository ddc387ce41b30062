#include "net/metrics.h"

#include "net/log.h"
#include "net/spawn.h"

namespace quayrill {

HttpResponse metricsResponse(Counters& counters) {
  counters.logLinesDropped = droppedLogLines();
  counters.exceptions = exceptionsLogged();
  return textResponse(200, renderCounters(counters));
}

}  // namespace quayrill
