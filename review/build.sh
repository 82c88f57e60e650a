#!/usr/bin/env bash
# Checks that the stand-ins of the scripts can be imported. They are plain
# Python and use only the libraries that the build of the deploy file installs.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps/trio ] || { echo "run the build of the deploy file first"; exit 2; }
PYTHONPATH="target/deps:." PYTHONDONTWRITEBYTECODE=1 python3 -S -c \
  "from review.harness import endpoints, nodes, record, site; nodes.read_run_command()"
