#pragma once
// Short names for the parts of Asio and Beast that the daemon's I/O code uses, and small helpers.
#include <absl/status/status.h>

#include <boost/asio.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "base/clock.h"
#include "base/types.h"

namespace quayrill {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::awaitable;
using asio::use_awaitable;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using Connection = beast::tcp_stream;

// Completion token for co_await that stores the error in `code` instead of throwing.
inline asio::redirect_error_t<std::decay_t<decltype(use_awaitable)>> into(ErrorCode& code) {
  return asio::redirect_error(use_awaitable, code);
}

// Parses "ip:port"; returns a default endpoint if the IP address is invalid.
Tcp::endpoint endpointOf(const Address& address);

// Whether an error says that the whole machine is short of something, which passes.
bool isMachineShortage(const ErrorCode& code);

// Opens, binds and listens. An error names the address and the remedy. It is kAlreadyExists where
// another socket has the address, and kResourceExhausted where isMachineShortage().
absl::Status listenAt(Tcp::acceptor& acceptor, const Address& address, int backlog);

// Suspends the calling coroutine for `span`, using a timer on its executor.
awaitable<void> pauseFor(Duration span);

}  // namespace quayrill
