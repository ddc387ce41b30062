// The bytes of frames and stored rows. Daemons of different builds and kinds of machines read each
// other's, so they are compared with bytes that were written down, and not with those of this
// build.
#include <catch2/catch.hpp>

#include "base/digest.h"
#include "peers/messages.h"

using namespace quayrill;

namespace {
// SHA-256 of all frames of allMessages() and of the names of their fields. If the layout of a
// message is meant to change, kWireVersion rises with it, and this value is written down anew; a
// field that is renamed changes this value alone.
constexpr char kFramesDigest[] =
    "sha256:850ab1a9e9a2f5d8a1a777b5c178ea51720ab38d2044f3017a55c9abec9eb508";
constexpr std::uint32_t kFramesWireVersion = 4;

// Gives each field of a message a value of its own, lists two elements. An archive, so that no
// field can be left out.
class FieldFiller {
 public:
  template <class Field>
  FieldFiller& operator&(Field& field) {
    fill(field);
    return *this;
  }

  // The fields of each message and part of a message that was filled, in the order of the wire. Two
  // fields of one type that change places show here and not in the bytes.
  const std::string& layout() const { return layout_; }

 private:
  void fill(bool& field) { field = ++count_ % 2 == 0; }
  void fill(std::string& field) { field = "text-" + std::to_string(++count_) + "-\xC3\xA4"; }
  template <class Number>
  requires std::is_integral_v<Number>
  void fill(Number& field) {
    // All bytes differ, so that their order shows; signed ones are negative.
    field = static_cast<Number>(0xF1E2D3C4B5A69700 + ++count_);
  }
  template <class First, class Second>
  void fill(std::pair<First, Second>& field) {
    fill(field.first);
    fill(field.second);
  }
  template <class Element>
  void fill(std::vector<Element>& field) {
    field.resize(2);
    for (Element& element : field) fill(element);
  }
  template <class Struct>
  requires std::is_class_v<Struct>
  void fill(Struct& field) {
    if constexpr (requires { Struct::kFieldNames; }) {
      layout_ += Struct::kFieldNames;
      layout_ += '\n';
    }
    field.serialize(*this, 0);
  }

  std::uint64_t count_ = 0;
  std::string layout_;
};

struct FilledMessage {
  Envelope envelope;
  std::string layout;
};

template <class Body>
FilledMessage filled() {
  Body body;
  FieldFiller filler;
  filler& body;
  return {{Address{"10.0.0.1:7100"}, Address{"10.0.0.2:7100"}, body}, filler.layout()};
}

std::vector<FilledMessage> allMessages() {
  std::vector<FilledMessage> messages;
#define QUAYRILL_FILLED(type, name) messages.push_back(filled<type>());
  QUAYRILL_MESSAGES(QUAYRILL_FILLED)
#undef QUAYRILL_FILLED
  return messages;
}

std::string fromHex(std::string_view digits) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2)
    bytes += static_cast<char>(std::stoi(std::string(digits.substr(i, 2)), nullptr, 16));
  return bytes;
}

std::string toHex(std::string_view bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    text += {kDigits[value >> 4], kDigits[value & 15]};
  }
  return text;
}
}  // namespace

TEST_CASE("wire: the layout of messages changes only with the wire version") {
  std::string frames;
  for (const auto& [envelope, layout] : allMessages()) frames += encodeEnvelope(envelope) + layout;
  CHECK(kWireVersion == kFramesWireVersion);
  CHECK(keyDigest(frames) == kFramesDigest);
}

TEST_CASE("wire: every kind of message comes back whole") {
  const std::vector<FilledMessage> messages = allMessages();
  CHECK(messages.size() + 1 == std::variant_size_v<Message>);
  for (const auto& [envelope, layout] : messages) {
    INFO(messageName(envelope.body));
    const std::string frame = encodeEnvelope(envelope);
    const auto back = decodeEnvelope(frame);
    REQUIRE(back.ok());
    CHECK(back->body.index() == envelope.body.index());
    CHECK(encodeEnvelope(*back) == frame);
  }
}

TEST_CASE("wire: a frame from another kind of machine is read") {
  // A Probe, written on x86-64.
  constexpr char kFrame[] =
      "04000000ab31646e00000000000d0000000000000031302e302e302e313a373130300d000000"
      "0000000031302e302e302e323a373130300100000000000000000197a6b5c4d3e2f109000000"
      "00000000746578742d322dc3a4";
  const auto read = decodeEnvelope(fromHex(kFrame));
  REQUIRE(read.ok());
  CHECK(read->from == Address{"10.0.0.1:7100"});
  const auto& probe = std::get<Probe>(read->body);
  CHECK(probe.sequence == 0xF1E2D3C4B5A69701);
  CHECK(probe.subject == Address{"text-2-\xC3\xA4"});
  CHECK(toHex(encodeEnvelope(*read)) == kFrame);
}

TEST_CASE("wire: a stored value from another kind of machine is read") {
  // A replica set, written on x86-64.
  constexpr char kRow[] =
      "0000000000000000000007000000000000000807060504030201010000000000010000000000"
      "0000000000000000000000000000000009000000000000000000000000030000000000000061"
      "3a31";
  ReplicaSet replicas;
  REQUIRE(decodeValue(fromHex(kRow), &replicas));
  CHECK(replicas.epoch == Epoch{7});
  CHECK(replicas.fleet == 0x0102030405060708);
  CHECK(replicas.settled);
  CHECK(replicas.members == std::vector<ReplicaMember>{{StoreId{9}, Address{"a:1"}}});
  CHECK(toHex(encodeValue(replicas)) == kRow);
}
