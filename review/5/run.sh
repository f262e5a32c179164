#!/usr/bin/env bash
# Exit 0: the rule held; 1: it was broken; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="target/deps:platform:review/lib:."
export PYTHONDONTWRITEBYTECODE=1
exec python3 review/5/case.py
