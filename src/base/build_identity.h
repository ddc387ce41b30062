#pragma once
// Which build this program is.
#include <string>

namespace quayrill {

// The version, the commit and the digest of the sources that this program was built from, and the
// processor that it was built for, as one line of text. Builds of the same sources for one
// processor have the same text. "modified" marks sources that differ from the commit's; without a
// repository the commit is left out.
std::string buildIdentity();

}  // namespace quayrill
