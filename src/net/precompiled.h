#pragma once
// Compiled once for all sources of the shells: what takes longest to read.
#include <nlohmann/json.hpp>

#include "net/asio.h"
#include "peers/messages.h"
