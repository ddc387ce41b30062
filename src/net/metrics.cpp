#include "net/metrics.h"

#include "net/log.h"

namespace quayrill {

HttpResponse metricsResponse(Counters& counters) {
  counters.logLinesDropped = droppedLogLines();
  return textResponse(200, renderCounters(counters));
}

}  // namespace quayrill
