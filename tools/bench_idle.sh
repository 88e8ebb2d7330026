#!/usr/bin/env bash
# Measures the memory of a node per idle caller.
set -euo pipefail
source "$(dirname "$0")/fleet.sh"
"$bin/rosemaryferryctl" bench idle --through "$through" --pid "$through_pid" "$@"
