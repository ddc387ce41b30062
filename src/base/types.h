#pragma once
// Strong types for names and numbers, so that a value of one kind is never passed as another by
// accident.
#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace quayrill {

// A value of type Rep whose type is distinguished by Tag.
template <class Tag, class Rep>
struct Strong {
  Rep value{};
  auto operator<=>(const Strong&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& value;
  }
};

// name, representation
#define QUAYRILL_STRONG_TYPES(X)                                         \
  X(Address, std::string)    /* "ip:port" with a numeric IP */           \
  X(ServerName, std::string) /* ip:port of a model server */             \
  X(ModelName, std::string)                                              \
  X(WeightsVersion, std::string)                                         \
  X(CacheSalt, std::string) /* "": the shared salt */                    \
  X(TenantName, std::string)                                             \
  X(PolicyName, std::string)                                             \
  X(ServiceName, std::string)                                            \
  X(RequestId, std::string)                                              \
  X(RegisterKey, std::string)                                            \
  X(ServerIdentity, std::string) /* changes when a server restarts */    \
  X(StoreId, std::uint64_t)      /* a replica's data on disk; 0: none */ \
  X(ProposerId, std::uint64_t)   /* random, drawn at each start */       \
  X(Epoch, std::uint64_t)                                                \
  X(ConfigurationVersion, std::uint64_t)                                 \
  X(FencingToken, std::uint64_t)                                         \
  X(Incarnation, std::uint64_t)                                          \
  X(WriteId, std::uint64_t)                                              \
  X(OperationId, std::uint64_t)

#define QUAYRILL_DECLARE(name, rep) using name = Strong<struct name##Tag, rep>;
QUAYRILL_STRONG_TYPES(QUAYRILL_DECLARE)
#undef QUAYRILL_DECLARE

}  // namespace quayrill

template <class Tag, class Rep>
struct std::hash<quayrill::Strong<Tag, Rep>> {
  std::size_t operator()(const quayrill::Strong<Tag, Rep>& strong) const noexcept {
    return std::hash<Rep>{}(strong.value);
  }
};
