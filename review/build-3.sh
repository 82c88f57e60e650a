#!/usr/bin/env bash
# Compiles the stand-ins of cases 11 to 15. They need Python 3.11 and nothing
# else; the product is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/harness_3
