#include "net/outgoing.h"

#include <netinet/in.h>

namespace quayrill {

void openOutgoing(Tcp::socket& socket, const Tcp::endpoint& to, const Address& from,
                  ErrorCode* code) {
  socket.open(to.protocol(), *code);
  if (*code) return;
  ErrorCode ignored;  // without an option or the address, the system chooses as it does otherwise
  if (!from.value.empty()) {
    using ChoosePortLater =
        asio::detail::socket_option::boolean<IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT>;
    socket.set_option(ChoosePortLater(true), ignored);
    socket.bind(Tcp::endpoint(endpointOf(from).address(), 0), ignored);
  }
  // Not before bind(), which could then choose the port of another connection.
  socket.set_option(asio::socket_base::reuse_address(true), ignored);
}

}  // namespace quayrill
