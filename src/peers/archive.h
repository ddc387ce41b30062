#pragma once
// Binary encoding of values by Boost.Serialization, without an archive header. Used for messages
// between daemons and for what they store on disk.
#include <boost/archive/binary_iarchive.hpp>
#include <boost/archive/binary_oarchive.hpp>
#include <boost/serialization/string.hpp>
#include <boost/serialization/utility.hpp>
#include <boost/serialization/vector.hpp>
#include <sstream>
#include <string>

namespace quayrill {

inline constexpr auto kArchiveFlags = boost::archive::no_header | boost::archive::no_codecvt;

// The bytes of `value`.
template <class Value>
std::string encodeValue(const Value& value) {
  std::ostringstream out;
  {
    boost::archive::binary_oarchive archive(out, kArchiveFlags);
    archive << value;
  }
  return out.str();
}

// Reads `bytes` into `value`. False: they don't decode, and `value` may have been changed in part.
template <class Value>
bool decodeValue(const std::string& bytes, Value* value) {
  try {
    std::istringstream in(bytes);
    boost::archive::binary_iarchive archive(in, kArchiveFlags);
    archive >> *value;
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

}  // namespace quayrill
