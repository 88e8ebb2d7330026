#!/usr/bin/env bash
# Measures the cost of the path through a node.
set -euo pipefail
source "$(dirname "$0")/fleet.sh"
"$bin/rosemaryferryctl" bench path --direct "$direct" --through "$through" \
  --pid "$through_pid" "$@"
