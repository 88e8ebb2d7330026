#!/usr/bin/env bash
# Measures a node's memory for each idle caller.
set -euo pipefail
source "$(dirname "$0")/fleet.sh"
"$bin/rosemaryferryctl" bench idle --through "$through" --pid "$through_pid" "$@"
