#!/usr/bin/env bash
# Guards against: a program that links on this kind of machine and does not start there, or whose
# exceptions are unwound by another library than the compiler's own because of the libraries that it
# is linked with.
# Usage: programs_start_test.sh PROGRAM...
set -uo pipefail
failed=0
for program in "$@"; do
  # All symbols are looked up at the start, also those that this run would not come to.
  if ! text=$(LD_BIND_NOW=1 "$program" --version 2>&1); then
    echo "$program does not start: $text"; failed=1; continue
  fi
  case $text in
    *"$(basename "$program") "*) ;;
    *) echo "$program --version says '$text'"; failed=1 ;;
  esac
  foreign=$(LD_BIND_NOW=1 LD_DEBUG=bindings "$program" --version 2>&1 |
    grep -E "binding file .* to .*_Unwind_RaiseException" | grep -vE " to [^ ]*libgcc_s[^ ]* |libunwind[^ ]* .* to [^ ]*libunwind")
  if [[ -n $foreign ]]; then
    echo "$program: exceptions are not unwound by the compiler's library:"; echo "$foreign"; failed=1
  fi
done
exit $failed
