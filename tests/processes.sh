#!/usr/bin/env bash
# Tests the real processes under kills, suspensions and a store outage. Each
# step waits for its condition, and every loop is bounded.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
export CELERYLIFT_PORT_BASE=${CELERYLIFT_PORT_BASE:-27000}
. "$root/tools/loopback_cell.sh"
trap 'end_all; rm -rf "$work"' EXIT
lift() { "$bin" "$@" --entry="$entries"; }
failed=0
expect() { # WHAT COMMAND...
  local what=$1
  shift
  if "$@"; then echo "held: $what"; else
    echo "FAILED: $what"
    failed=1
  fi
}
state_is() { lift job wait "$1" | grep -q "^$1 $2"; }
executions_of() { # JOB: sum over all backend servers
  local total=0 n count
  for n in 1 2 3 4 5 6 7 8 9; do
    count=$(curl -s "http://$(backend_address "$n")/executions" |
      python3 -c "import json,sys; print(json.load(sys.stdin).get('$1', 0))")
    total=$((total + count))
  done
  echo "$total"
}
ran_once() { [ "$(executions_of "$1")" = 1 ]; }
store_fault() { curl -s -X PUT "http://$store_address/faults?mode=$1" -d '' >/dev/null; }
refused_not_run() { # exit code 3
  local code=0
  "$@" >/dev/null 2>&1 || code=$?
  [ "$code" = 3 ]
}

start_cell
lift org put kwela --guarantee=1x3x8@rack >/dev/null
lift org put cwm-sump --guarantee=2x1x8@worker >/dev/null

# Kill the owning entry while a gang and a request run.
lift job submit gang-1 --org=kwela --gang=3x8@rack --payload=run_ms=6000 >/dev/null
lift job submit once-1 --org=kwela --service=order-desk --once --payload=work_ms=3000 >/dev/null
owner=$(owner_number)
kill -KILL "${pid[entry-$owner]}"
unset "pid[entry-$owner]"
begin=$(date +%s%N)
expect "another entry takes over the cell" wait_until 30 cell_is_active
echo "takeover after a kill: $((($(date +%s%N) - begin) / 1000000)) ms"
expect "a running request is answered by the new owner" state_is once-1 ANSWERED
expect "it was executed once" ran_once once-1
expect "the gang continues under the new owner" state_is gang-1 ANSWERED
start_entry "$owner"

# Suspend an agent for longer than its gangs' lease, then resume it.
lift job submit gang-2 --org=kwela --gang=3x8@rack --payload=run_ms=3000 >/dev/null
running() { lift job get gang-2 | grep -q RUNNING; }
wait_until 10 running
frozen=$(lift job get gang-2 | sed -n 's/.*worker worker-\([0-9]\).*/\1/p' | head -1)
kill -STOP "${pid[agent-$frozen]}"
expect "a gang of a suspended agent runs elsewhere" state_is gang-2 ANSWERED
kill -CONT "${pid[agent-$frozen]}"
expect "the worker of the resumed agent is used again" wait_until 20 workers_are_ready
lift job submit once-2 --org=cwm-sump --service=sumpcheck --once --wait >/dev/null
expect "a request after that is executed once" ran_once once-2

# Stop the store from answering.
store_fault down
down_is_known() { lift timeline --subject=za-north | grep -E " store_(up|down) " | tail -1 | grep -q store_down; }
wait_until 20 down_is_known
expect "work that must not be repeated is refused and not run" \
  refused_not_run lift job submit once-3 --org=kwela --service=order-desk --once
expect "repeatable work is still answered" lift job submit again-1 --org=kwela --service=order-desk --wait
store_fault none
on_record() { lift job get again-1 | grep -qv "not yet on record"; }
expect "it is stored once the store recovers" wait_until 20 on_record
expect "the cell has an owner" wait_until 20 cell_is_active

expect "every process stops gracefully" stop_cell
trap 'rm -rf "$work"' EXIT
exit $failed
