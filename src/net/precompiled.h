#pragma once
// Compiled once for all sources of the shells: what takes longest to read.
#include <nlohmann/json.hpp>

#include "cohort/messages.h"
#include "net/asio.h"
