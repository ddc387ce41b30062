#pragma once
// Formats of text fields in documents. They are checked here and not by a "pattern" in a schema:
// the schema validator matches patterns with std::regex, which recurses once for each character.
#include <string_view>

namespace quayrill {

// A path prefix of a route: begins and ends with a slash.
bool isPathPrefix(std::string_view text);
// A host name in lower case, without a port.
bool isHostName(std::string_view text);
// Digits and dots, a colon, and a port.
bool isNumericAddress(std::string_view text);
// The digest of a key, as keyDigest() returns it.
bool isKeyDigest(std::string_view text);

}  // namespace quayrill
