# Links libraries statically where that works on the machine that builds. A static library does not
# carry what it needs in turn: whether its symbols are all found, whether its code may be part of a
# position-independent program, and whether that program starts, depends on how each kind of machine
# builds the library. So a group is linked statically only once a program that uses it has run.

# Points each of `targets` at the static library beside its shared one, where there is one. Sets
# `changed` in the caller's scope to whether there was any.
function(set_static_locations targets changed)
  set(${changed} FALSE PARENT_SCOPE)
  foreach(target IN LISTS targets)
    foreach(property IMPORTED_LOCATION IMPORTED_LOCATION_NONE IMPORTED_LOCATION_RELEASE)
      get_target_property(location ${target} ${property})
      string(REGEX REPLACE "\\.so[0-9.]*$" ".a" twin "${location}")
      if(location AND NOT twin STREQUAL location AND EXISTS "${twin}")
        set_target_properties(${target} PROPERTIES ${property} "${twin}"
                              ${property}_SHARED "${location}")
        set(${changed} TRUE PARENT_SCOPE)
      endif()
    endforeach()
  endforeach()
endfunction()

# Takes back what set_static_locations did.
function(restore_shared_locations targets)
  foreach(target IN LISTS targets)
    foreach(property IMPORTED_LOCATION IMPORTED_LOCATION_NONE IMPORTED_LOCATION_RELEASE)
      get_target_property(location ${target} ${property}_SHARED)
      if(location)
        set_target_properties(${target} PROPERTIES ${property} "${location}")
      endif()
    endforeach()
  endforeach()
endfunction()

# prefer_static_libraries(NAME TARGETS REGEX LIBRARIES TARGET... PROBE FILE)
#   NAME       of the group: libraries that need each other, so that all or none are static
#   TARGETS    the imported targets of the group
#   LIBRARIES  what the probe is linked with
#   PROBE      a program that uses the group and exits with 0
# Sets ${NAME}_LINKAGE in the caller's scope to "static" or "shared".
function(prefer_static_libraries name)
  cmake_parse_arguments(PARSE_ARGV 1 group "" "TARGETS;PROBE" "LIBRARIES")
  get_directory_property(targets IMPORTED_TARGETS)
  list(FILTER targets INCLUDE REGEX "${group_TARGETS}")
  set_static_locations("${targets}" has_static)
  try_run(${name}_STATIC_EXIT ${name}_STATIC_BUILDS
          SOURCES "${group_PROBE}"
          LINK_LIBRARIES ${group_LIBRARIES}
          CXX_STANDARD 20 CXX_STANDARD_REQUIRED ON
          COMPILE_OUTPUT_VARIABLE build_output
          RUN_OUTPUT_VARIABLE run_output)
  if(NOT has_static)
    set(linkage shared)
  elseif(${name}_STATIC_BUILDS AND ${name}_STATIC_EXIT STREQUAL "0")
    set(linkage static)
  else()
    set(linkage shared)
    restore_shared_locations("${targets}")
    file(APPEND "${CMAKE_BINARY_DIR}/static_libraries.log"
         "${name}: exit '${${name}_STATIC_EXIT}'\n${build_output}\n${run_output}\n")
  endif()
  message(STATUS "${name}: ${linkage}")
  set(${name}_LINKAGE ${linkage} PARENT_SCOPE)
endfunction()

# prefer_static_runtime(USERS GROUP... PROBE FILE)
#   USERS  the groups of prefer_static_libraries that are written in C++: while one of them is shared,
#          it brings the shared runtime along, and a program must not hold two
#   PROBE  as above
# Sets RUNTIME_LINKAGE in the caller's scope, and the link options of all targets that follow.
function(prefer_static_runtime)
  cmake_parse_arguments(PARSE_ARGV 0 runtime "" "PROBE" "USERS")
  set(RUNTIME_LINKAGE shared PARENT_SCOPE)
  foreach(group IN LISTS runtime_USERS)
    if(NOT ${group}_LINKAGE STREQUAL "static")
      message(STATUS "RUNTIME: shared, as ${group} is")
      return()
    endif()
  endforeach()
  set(options -static-libstdc++ -static-libgcc)
  try_run(RUNTIME_STATIC_EXIT RUNTIME_STATIC_BUILDS
          SOURCES "${runtime_PROBE}"
          LINK_OPTIONS ${options}
          LINK_LIBRARIES Threads::Threads
          CXX_STANDARD 20 CXX_STANDARD_REQUIRED ON)
  if(NOT RUNTIME_STATIC_BUILDS OR NOT RUNTIME_STATIC_EXIT STREQUAL "0")
    message(STATUS "RUNTIME: shared")
    return()
  endif()
  add_link_options(${options})
  message(STATUS "RUNTIME: static")
  set(RUNTIME_LINKAGE static PARENT_SCOPE)
endfunction()
