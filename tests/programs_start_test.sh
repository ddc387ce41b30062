#!/usr/bin/env bash
# Guards against: a program that links on this kind of machine and does not start there, or whose
# exceptions are unwound by another library than the compiler's own because of the libraries that it
# is linked with. Also against one more library that the dynamic linker loads before a program can
# take a signal.
# Usage: programs_start_test.sh --runtime=static|shared PROGRAM...
#   --runtime  how the build links the C++ runtime; static only where all other libraries are
set -uo pipefail
failed=0
runtime=${1#--runtime=}
shift
for program in "$@"; do
  # All symbols are looked up at the start, also those that this run would not come to.
  if ! text=$(LD_BIND_NOW=1 "$program" --version 2>&1); then
    echo "$program does not start: $text"; failed=1; continue
  fi
  case $text in
    *"$(basename "$program") "*) ;;
    *) echo "$program --version says '$text'"; failed=1 ;;
  esac
  if [[ $runtime == static ]]; then
    # The operator's tool takes no signals of supervisors; SQLite is its own.
    loaded=$(readelf -d "$program" | sed -n 's/.*(NEEDED).*\[\(.*\)\]/\1/p' |
      grep -vE '^(libc|libm|ld-linux[a-z0-9-]*|libsqlite3)\.so\.[0-9]+$')
    if [[ -n $loaded ]]; then echo "$program loads besides the C library:" $loaded; failed=1; fi
  fi
  foreign=$(LD_BIND_NOW=1 LD_DEBUG=bindings "$program" --version 2>&1 |
    grep -E "binding file .* to .*_Unwind_RaiseException" | grep -vE " to [^ ]*libgcc_s[^ ]* |libunwind[^ ]* .* to [^ ]*libunwind")
  if [[ -n $foreign ]]; then
    echo "$program: exceptions are not unwound by the compiler's library:"; echo "$foreign"; failed=1
  fi
done
exit $failed
