#include "peers/messages.h"

#include <boost/crc.hpp>

namespace quayrill {

namespace {
std::uint32_t checksum(const char* bytes, std::size_t size) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes, size);
  return crc.checksum();
}

// Reads a message of type Body; the result is always true.
template <class Body>
bool readAlternative(boost::archive::binary_iarchive& archive, Message* message) {
  Body body;
  archive >> body;
  *message = std::move(body);
  return true;
}
}  // namespace

const char* messageName(const Message& message) {
  static constexpr const char* kNames[] = {"none",
#define QUAYRILL_NAME(type, name) name,
                                           QUAYRILL_MESSAGES(QUAYRILL_NAME)
#undef QUAYRILL_NAME
  };
  return kNames[message.index()];
}

// Layout of a frame: wire version, CRC-32 of the rest, archive. The checksum protects the archive
// reader, which trusts the container sizes that it reads.
std::string encodeEnvelope(const Envelope& envelope) {
  std::ostringstream out;
  {
    boost::archive::binary_oarchive archive(out, kArchiveFlags);
    const std::uint32_t kind = static_cast<std::uint32_t>(envelope.body.index());
    archive << envelope.from << envelope.to << kind;
    std::visit(
        [&](const auto& body) {
          if constexpr (!std::is_same_v<std::decay_t<decltype(body)>, std::monostate>)
            archive << body;
        },
        envelope.body);
  }
  const std::string payload = out.str();
  const std::uint32_t head[2] = {kWireVersion, checksum(payload.data(), payload.size())};
  return std::string(reinterpret_cast<const char*>(head), sizeof head) + payload;
}

absl::StatusOr<Envelope> decodeEnvelope(const std::string& bytes) {
  std::uint32_t head[2];
  if (bytes.size() < sizeof head)
    return absl::InvalidArgumentError("frame is shorter than its header");
  std::copy_n(bytes.data(), sizeof head, reinterpret_cast<char*>(head));
  if (head[0] != kWireVersion) return absl::InvalidArgumentError("unsupported wire version");
  const std::string payload = bytes.substr(sizeof head);
  if (head[1] != checksum(payload.data(), payload.size()))
    return absl::DataLossError("frame checksum does not match");
  try {
    std::istringstream in(payload);
    boost::archive::binary_iarchive archive(in, kArchiveFlags);
    Envelope envelope;
    std::uint32_t kind = 0;
    archive >> envelope.from >> envelope.to >> kind;
    using Reader = bool (*)(boost::archive::binary_iarchive&, Message*);
    static constexpr Reader kReaders[] = {nullptr,
#define QUAYRILL_READER(type, name) &readAlternative<type>,
                                          QUAYRILL_MESSAGES(QUAYRILL_READER)
#undef QUAYRILL_READER
    };
    if (kind == 0 || kind >= std::size(kReaders))
      return absl::InvalidArgumentError("unknown message type");
    kReaders[kind](archive, &envelope.body);
    return envelope;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

}  // namespace quayrill
