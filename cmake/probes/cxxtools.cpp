// Parses a query string, as the HTTP code does.
#include <cxxtools/query_params.h>

int main() {
  const cxxtools::QueryParams parameters("name=probe");
  return parameters.param("name") == "probe" ? 0 : 1;
}
