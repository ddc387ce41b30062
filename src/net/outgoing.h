#pragma once
// The daemon's own connections: how their local addresses and ports are chosen.
#include "net/asio.h"

namespace quayrill {

// Opens a socket for a connection to `to`, from the IP address of `from` unless that is empty. The
// port is chosen when the socket connects. Connections to other destinations may share it, and it
// stays free for listeners that reuse addresses, as listenAt() does.
void openOutgoing(Tcp::socket& socket, const Tcp::endpoint& to, const Address& from,
                  ErrorCode* code);

}  // namespace quayrill
