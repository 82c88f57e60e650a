#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruption.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
cd "$root" || exit 2
[ -d target/deps/trio ] || exit 2
PYTHONPATH="$root/target/deps:$root" PYTHONDONTWRITEBYTECODE=1 \
  exec python3 -S "$here/case.py" "$@"
