#!/bin/sh
# Build the stand-ins that the scripts of review/6 to review/10 start, after the build of
# deploy/system.toml, whose libraries in target/deps they use too.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q platform/fakes standins review/lib-2 \
    review/6 review/7 review/8 review/9 review/10
