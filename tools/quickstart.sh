#!/usr/bin/env bash
# Installs dependencies, builds, starts a whole cell on loopback, serves two
# organisations and stops all processes gracefully.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
"$root/tools/install.sh"
"$root/tools/build.sh" >"$work/build.log" || { tail -40 "$work/build.log"; exit 1; }
. "$root/tools/loopback_cell.sh"
trap end_all EXIT
lift() { "$bin" "$@" --entry="$entries"; }
say() { printf '\n== %s\n' "$*"; }

say "Starting three entries, nine agents and the stand-ins (logs in $work)"
start_cell
lift cell

say "Two organisations with guaranteed shapes"
lift org put kwela --guarantee=1x3x8@rack
lift org put cwm-sump --guarantee=2x1x8@worker
lift org list

say "A gang on three workers of one rack, and one for the other organisation"
lift job submit cake-design-1 --org=kwela --gang=3x8@rack --payload=run_ms=400 --declared-ms=400
lift job submit pump-log-1 --org=cwm-sump --gang=1x8@worker --payload=run_ms=300 --declared-ms=300
lift job wait cake-design-1
lift job wait pump-log-1

say "Quotes from backend servers; the second runs at most once"
lift job submit quote-1 --org=kwela --service=order-desk --urgent --payload="three tiers" --wait
lift job submit verdict-1 --org=cwm-sump --service=sumpcheck --once --payload="float switch" --wait

say "The same answer at another entry"
"$bin" job get quote-1 --entry="$(entry_rpc 2)"

say "A gang that can never fit is rejected and not run (exit code 3)"
lift job submit cake-design-2 --org=kwela --gang=4x8@rack || echo "exit code $?"

say "Workers and backend servers"
lift workers
lift backends

say "The owner is stopped gracefully; another takes the cell over"
first=$(owner_number)
stop_process "entry-$first"
wait_until 30 cell_is_active
lift cell
lift job get verdict-1

say "The timeline of all processes (latest 40 events)"
lift timeline --limit=40

say "The explanation of one request"
lift explain verdict-1

say "Stopping all processes gracefully"
stop_cell

say "The fleet on its users' platform: multi-step jobs over HTTP, with faults"
"$root/tests/fleet_processes.sh" "$root/build"
trap - EXIT
echo "all processes have exited with code 0"
rm -rf "$work"
