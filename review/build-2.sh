#!/usr/bin/env bash
# Prepares the stand-ins of the second review. They need Python 3.11 and no
# libraries; the nodes need the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m py_compile review/cluster.py review/4/run.py review/5/run.py review/6/run.py
test -d target/deps || echo "target/deps is missing: run the deploy file's build first" >&2
