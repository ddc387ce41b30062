// Throws on one thread and catches on another, and writes through a stream.
#include <exception>
#include <sstream>
#include <stdexcept>
#include <thread>

int main() {
  std::exception_ptr thrown;
  std::thread thrower([&thrown] {
    try {
      throw std::runtime_error("probe");
    } catch (...) {
      thrown = std::current_exception();
    }
  });
  thrower.join();
  std::ostringstream text;
  try {
    std::rethrow_exception(thrown);
  } catch (const std::exception& error) {
    text << error.what();
  }
  return text.str() == "probe" ? 0 : 1;
}
