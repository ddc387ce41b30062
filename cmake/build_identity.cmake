# Writes the header OUTPUT, which names the commit and the state of the sources in the folder SOURCE
# that a program is built from. The header keeps its time while its text stays the same.
# Usage: cmake -DSOURCE=FOLDER -DOUTPUT=FILE -P build_identity.cmake

# Two trees with the same sources have the same digest, wherever they lie and whatever their times.
file(GLOB_RECURSE sources LIST_DIRECTORIES false RELATIVE ${SOURCE} ${SOURCE}/src/* ${SOURCE}/platform/*)
list(APPEND sources CMakeLists.txt)
list(SORT sources)
set(digests "")
foreach(source IN LISTS sources)
  file(SHA256 ${SOURCE}/${source} digest)
  string(APPEND digests "${source} ${digest}\n")
endforeach()
string(SHA256 digest "${digests}")
string(SUBSTRING ${digest} 0 16 digest)

# Without a repository, or without git, the digest alone tells builds apart.
set(commit "")
set(modified 0)
find_program(GIT git)
if(GIT AND EXISTS ${SOURCE}/.git)
  execute_process(COMMAND ${GIT} --no-optional-locks -C ${SOURCE} rev-parse --short=12 HEAD
                  OUTPUT_VARIABLE commit OUTPUT_STRIP_TRAILING_WHITESPACE ERROR_QUIET)
  execute_process(COMMAND ${GIT} --no-optional-locks -C ${SOURCE} status --porcelain
                          -- src platform CMakeLists.txt
                  OUTPUT_VARIABLE changes ERROR_QUIET)
  if(changes)
    set(modified 1)
  endif()
endif()

set(text "// Written by cmake/build_identity.cmake.
#define QUAYRILL_COMMIT \"${commit}\"
#define QUAYRILL_MODIFIED ${modified}
#define QUAYRILL_SOURCE_DIGEST \"${digest}\"
")
set(before "")
if(EXISTS ${OUTPUT})
  file(READ ${OUTPUT} before)
endif()
if(NOT before STREQUAL text)
  file(WRITE ${OUTPUT} "${text}")
endif()
