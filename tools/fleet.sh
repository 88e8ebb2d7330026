# Sourced by the benchmark scripts: starts the stand-ins and three nodes as
# separate processes and stops them when the script exits.
cd "$(dirname "${BASH_SOURCE[0]}")/.."
bin=${VENV:-.venv}/bin
dir=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait; rm -rf "$dir"' EXIT
"$bin/rosemaryferryctl" stand-ins --dir "$dir" > "$dir/members" &
pids+=($!)
for _ in $(seq 100); do [ -f "$dir/ready" ] && break; sleep 0.1; done
for cfg in "$dir"/*.jsonc; do
  "$bin/rosemaryferry" run --settings "$cfg" > "$cfg.out" 2> "$cfg.err" &
  pids+=($!)
  node_pid=$!
  case "$cfg" in */hall-b-1.jsonc) through_pid=$node_pid ;; esac
done
port() { sed -n 's/.*"port": \([0-9]*\).*/\1/p' "$dir/$1.jsonc"; }
member=$(sed -n 's/^plates-hall-b: //p' "$dir/members")
direct="host=${member%%:*} port=${member##*:} user=clerk dbname=plates"
through="host=127.0.0.1 port=$(port hall-b-1) user=clerk@lone-star dbname=plates"
