#include "net/spawn.h"

#include <glog/logging.h>

#include <cstdlib>

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
  LOG(ERROR) << name << " was ended by an exception (" << describe(error)
             << "): this process ends, start it again";
  std::_Exit(1);
}

void logException(const char* name, const std::exception_ptr& error) {
  LOG(ERROR) << name << " was ended by an exception (" << describe(error) << ")";
}

}  // namespace quayrill
