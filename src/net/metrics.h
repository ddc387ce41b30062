#pragma once
// The answer to a call for metrics.
#include "base/counters.h"
#include "net/http.h"

namespace quayrill {

// The component's counters with those of the whole process, in the Prometheus text format.
HttpResponse metricsResponse(Counters& counters);

}  // namespace quayrill
