#pragma once
// Strong typedefs shared by every aggregate. Two of them never mix by accident.
#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace quayrill {

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
#define QUAYRILL_STRONG_TYPES(X)                                \
  X(Address, std::string)    /* "ip:port", numeric */           \
  X(ServerName, std::string) /* a model server's ip:port */     \
  X(ModelName, std::string)                                     \
  X(WeightsVersion, std::string)                                \
  X(CacheSalt, std::string) /* "" is the shared salt */         \
  X(TenantName, std::string)                                    \
  X(PolicyName, std::string)                                    \
  X(ServiceName, std::string)                                   \
  X(RequestId, std::string)                                     \
  X(RegisterKey, std::string)                                   \
  X(ServerIdentity, std::string) /* new at each server start */ \
  X(StoreId, std::uint64_t)      /* 0 means: no store */        \
  X(ProposerId, std::uint64_t)   /* random at each start */     \
  X(Epoch, std::uint64_t)                                       \
  X(ConfigurationVersion, std::uint64_t)                        \
  X(FencingToken, std::uint64_t)                                \
  X(Incarnation, std::uint64_t)                                 \
  X(WriteId, std::uint64_t)                                     \
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
