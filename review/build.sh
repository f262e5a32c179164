#!/usr/bin/env bash
# The stand-ins of the cases are Python: this only checks that they can be loaded with
# the libraries that the build of the deploy file has placed under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:platform:review/lib:."
python3 -c "import sitelib, fakes.store, fakes.runner"
