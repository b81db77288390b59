#!/usr/bin/env bash
# Prepares the stand-ins of the cases: Python programs, which need only what the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:."
python3 -m compileall -q standins review/common review/[1-5] > /dev/null
python3 -c "import review.common.desk, standins.keyed_store, standins.path_engine"
python3 -c "import bronzetiller.gateway.node"
