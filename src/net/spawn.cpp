#include "net/spawn.h"

#include <cstdlib>

#include "net/log.h"

namespace quayrill {

namespace {
std::string describe(const std::exception_ptr& error) {
  try {
    std::rethrow_exception(error);
  } catch (const std::exception& exception) {
    return exception.what();
  } catch (...) {
    return "of unknown type";
  }
}
}  // namespace

void endAfterException(const char* name, const std::exception_ptr& error) {
  LOG_LINE(kError) << name << " was ended by an exception (" << describe(error)
                   << "): this process ends, start it again";
  std::_Exit(1);
}

void logException(const char* name, const std::exception_ptr& error) {
  LOG_LINE(kError) << name << " was ended by an exception (" << describe(error) << ")";
}

}  // namespace quayrill
