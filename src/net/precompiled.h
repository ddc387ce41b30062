#pragma once
// Precompiled header: the headers that take longest to parse, compiled once for all I/O sources.
#include <nlohmann/json.hpp>

#include "net/asio.h"
#include "peers/messages.h"
