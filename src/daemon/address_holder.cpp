#include "daemon/address_holder.h"

#include <arpa/inet.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>
#include <vector>

#include "net/asio.h"

namespace quayrill {

namespace {
constexpr char kListening[] = "0A", kTimeWait[] = "06";  // states in the system's table of sockets
constexpr std::size_t kMaxDescribed = 3;

// A row of the system's table of sockets.
struct SocketRow {
  std::string local, remote, state, inode;
};

std::vector<SocketRow> readSocketTable() {
  std::vector<SocketRow> rows;
  std::ifstream table("/proc/self/net/tcp");
  std::string line;
  std::getline(table, line);  // the names of the columns
  while (std::getline(table, line)) {
    std::istringstream columns(line);
    SocketRow row;
    std::string skipped;
    columns >> skipped >> row.local >> row.remote >> row.state;
    for (int i = 0; i < 5; ++i) columns >> skipped;  // queues, timers, user
    columns >> row.inode;
    if (columns) rows.push_back(std::move(row));
  }
  return rows;
}

// An endpoint as the table has it: the address in the order of the machine's bytes, both in
// hexadecimal digits.
std::string inTable(const Tcp::endpoint& endpoint) {
  char text[16];
  std::snprintf(text, sizeof text, "%08X:%04X", htonl(endpoint.address().to_v4().to_uint()),
                static_cast<unsigned>(endpoint.port()));
  return text;
}

std::string readable(const std::string& tableEndpoint) {
  unsigned ip = 0, port = 0;
  if (std::sscanf(tableEndpoint.c_str(), "%8X:%4X", &ip, &port) != 2) return tableEndpoint;
  return asio::ip::make_address_v4(ntohl(ip)).to_string() + ":" + std::to_string(port);
}

// What is in a folder that may change or vanish meanwhile.
std::vector<std::filesystem::path> entriesOf(const std::filesystem::path& folder) {
  std::vector<std::filesystem::path> entries;
  std::error_code error;
  for (std::filesystem::directory_iterator at(folder, error), end; !error && at != end;
       at.increment(error))
    entries.push_back(at->path());
  return entries;
}

bool isProcessId(const std::string& name) {
  return name.find_first_not_of("0123456789") == std::string::npos;
}

// The process that has the socket open, as far as this one may see; "" if none is seen.
std::string processOf(const std::string& inode) {
  const std::string socket = "socket:[" + inode + "]";
  for (const std::filesystem::path& process : entriesOf("/proc")) {
    const std::string id = process.filename().string();
    if (!isProcessId(id)) continue;
    for (const std::filesystem::path& descriptor : entriesOf(process / "fd")) {
      std::error_code gone;
      if (std::filesystem::read_symlink(descriptor, gone) != socket) continue;
      std::string name;
      std::ifstream file(process / "comm");
      std::getline(file, name);
      return "process " + id + " (" + name + ")";
    }
  }
  return "";
}

std::string describe(const SocketRow& row) {
  std::string text = row.state == kListening  ? "a listener"
                     : row.state == kTimeWait ? "an ended connection with " + readable(row.remote)
                                              : "a connection with " + readable(row.remote);
  const std::string process = processOf(row.inode);
  return process.empty() ? text : text + " of " + process;
}
}  // namespace

bool isAddressHeld(const Address& address) {
  asio::io_context io;
  Tcp::acceptor probe(io);
  const Tcp::endpoint endpoint = endpointOf(address);
  ErrorCode code;
  probe.open(endpoint.protocol(), code);
  probe.set_option(Tcp::acceptor::reuse_address(true), code);
  probe.bind(endpoint, code);
  return code == asio::error::address_in_use;
}

std::string describeHolders(const Address& address) {
  const Tcp::endpoint endpoint = endpointOf(address);
  if (!endpoint.address().is_v4()) return "another socket";
  const std::string exact = inTable(endpoint);
  const std::string everyAddress = inTable({asio::ip::address_v4::any(), endpoint.port()});
  std::string holders;
  std::size_t described = 0;
  for (const SocketRow& row : readSocketTable()) {
    if (row.local != exact && row.local != everyAddress) continue;
    if (++described > kMaxDescribed) break;
    holders += (holders.empty() ? "" : ", ") + describe(row);
  }
  return holders.empty() ? "another socket" : holders;
}

}  // namespace quayrill
