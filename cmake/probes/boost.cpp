// Writes a value into a binary archive and reads it back, as messages and replicas do.
#include <boost/archive/binary_iarchive.hpp>
#include <boost/archive/binary_oarchive.hpp>
#include <boost/serialization/string.hpp>
#include <sstream>

int main() {
  std::stringstream bytes;
  const std::string written = "probe";
  boost::archive::binary_oarchive(bytes) << written;
  std::string read;
  boost::archive::binary_iarchive(bytes) >> read;
  return read == written ? 0 : 1;
}
