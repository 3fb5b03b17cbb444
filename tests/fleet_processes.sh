#!/usr/bin/env bash
# Runs the fleet as real processes on loopback, with the adapter of the platform
# and a stand-in that serves the platform's published interfaces. Submits jobs
# over HTTP while entries and agents are killed and stopped. Each job has to
# complete, and no invariant may be violated.
#   fleet_processes.sh BUILD-FOLDER
set -eu
build=$(cd "$1" && pwd)
work=$(mktemp -d)
base=${CELERYLIFT_FLEET_PORT_BASE:-27000}
servers=6
declare -A pid
end_all() {
  for name in "${!pid[@]}"; do kill -KILL "${pid[$name]}" 2>/dev/null || true; done
  rm -rf "$work"
}
trap end_all EXIT

run_process() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  pid[$name]=$!
}
wait_until() { # SECONDS COMMAND...
  local end=$(($(date +%s) + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ "$(date +%s)" -ge "$end" ]; then
      echo "timed out waiting for: $*" >&2
      tail -n 5 "$work"/*.log >&2
      return 1
    fi
    read -r -t 0.05 <> <(:) || true
  done
}
fail() {
  echo "FAILED: $*" >&2
  tail -n 20 "$work"/*.log >&2
  exit 1
}

# All entries use the same link port, so each has its own address.
start_entry() { # NUMBER
  cat >"$work/entry-$1.yaml" <<YAML
name: entry-$1
failure_domain: za-north-a
ip: 127.0.0.$((10 + $1))
store: 127.0.0.1:$base
listen:
  callers: 127.0.0.$((10 + $1)):$((base + 1))
  readiness: 127.0.0.$((10 + $1)):$((base + 2))
  link: $((base + 3))
  metrics: $((base + 4))
entries: [127.0.0.11:1, 127.0.0.12:1, 127.0.0.13:1]
YAML
  run_process "entry-$1" "$build/modules/entry/celerylift" fleet-entry \
    --config="$work/entry-$1.yaml"
}
start_agent() { # NUMBER
  cat >"$work/agent-$1.yaml" <<YAML
name: agent-$1
failure_domain: za-north-a
ip: 127.0.0.1
backend_server: 127.0.0.1:$((base + 100 + $1))
listen:
  heartbeats: 127.0.0.1:$((base + 200 + $1))
  metrics: $((base + 300 + $1))
entry_port: $((base + 3))
entries: [127.0.0.11:1, 127.0.0.12:1, 127.0.0.13:1]
YAML
  run_process "agent-$1" "$build/modules/agent/celerylift-agent" fleet \
    --config="$work/agent-$1.yaml"
}
call() { # ENTRY METHOD PATH [BODY]: prints body and status
  curl -s -m 4 -w ' %{http_code}' -X "$2" -H 'Host: nony24.example' \
    -H 'Api-Key: key-1' ${4:+-d "$4"} \
    "http://127.0.0.$((10 + $1)):$((base + 1))$3"
}
is_ready() { curl -sf "http://127.0.0.$((10 + $1)):$((base + 2))/api/readyz"; }
shows() { call "$1" GET "/lohu930/$2" | grep -q "\"$3\""; }
job() { # ID COUNT MILLISECONDS
  call "$1" POST "/lohu930/$2" \
    "{\"spec\":\"ms=$4\",\"steps\":[{\"count\":$3,\"cpu\":4000,\"mem_mb\":2000,\"gpu\":1,\"est_duration_ms\":$4}]}"
}
owner_number() { # The entry that logged the latest takeover.
  grep -h '"took_over"' "$work"/entry-*.log |
    sed -n 's/.*"unix_ms":\([0-9]*\),"process":"entry-\([0-9]\)".*/\1 \2/p' |
    sort -n | tail -1 | cut -d' ' -f2
}

run_process platform "$build/tests/celerylift-platform-standin" --store=$base \
  --servers=$servers --server-port=$((base + 100)) --agent-port=$((base + 200))
for n in 1 2 3; do start_entry $n; done
for n in 1 2 3 4 5 6; do start_agent $n; done
config='{"version":4,"routes":[{"name":"r-1","host":"nony24.example","prefix":"/lohu930/","priority":1,"service":"order-desk","max_attempts":2,"stretch":3.0,"target_duration_ms":1000}],"services":[{"name":"order-desk","enforces_capacity":false}],"tenants":[{"name":"kwela","api_keys":["key-1"],"guaranteed":{"gpu":16}}]}'
put_config() {
  curl -sf -d "{\"puts\":[{\"key\":\"op/config\",\"value\":\"$(printf %s "$config" | base64 -w0)\"}]}" \
    "http://127.0.0.1:$base/api/kv-txn"
}
wait_until 20 put_config
for n in 1 2 3; do wait_until 20 is_ready $n; done

echo "== a job submitted to one entry is shown by all entries"
[ "$(job 1 00000000000000a1 6 300)" = '{} 200' ] || fail "the job was not accepted"
for n in 1 2 3; do wait_until 20 shows $n 00000000000000a1 completed; done

echo "== invalid calls get the matching error"
call 1 GET /lohu930/00000000000000ff | grep -q ' 410' || fail "unknown job"
call 1 GET /elsewhere/ | grep -q ' 404' || fail "unknown queue"
call 1 POST /lohu930/xyz '{}' | grep -q ' 400' || fail "bad id"

echo "== the owner is killed while jobs run"
job 2 00000000000000a2 12 2500 >/dev/null
job 3 00000000000000a3 6 1500 >/dev/null
first=$(owner_number)
kill -KILL "${pid[entry-$first]}"
wait "${pid[entry-$first]}" 2>/dev/null || true
other=$((first % 3 + 1))
wait_until 20 shows $other 00000000000000a2 completed
wait_until 20 shows $other 00000000000000a3 completed
start_entry "$first"
wait_until 20 is_ready "$first"

echo "== all agents are killed and restarted while a job runs"
job "$other" 00000000000000a4 6 2500 >/dev/null
wait_until 10 shows "$other" 00000000000000a4 running
for n in 1 2 3 4 5 6; do kill -KILL "${pid[agent-$n]}"; done
for n in 1 2 3 4 5 6; do
  wait "${pid[agent-$n]}" 2>/dev/null || true
  start_agent $n
done
wait_until 20 shows "$other" 00000000000000a4 completed

echo "== the owner is stopped gracefully while a job is submitted"
second=$(owner_number)
kill -TERM "${pid[entry-$second]}"
other=$((second % 3 + 1))
job "$second" 00000000000000a5 3 200 | grep -q ' 200' || fail "a stopping entry rejected a call"
wait_until 20 shows "$other" 00000000000000a5 completed
wait "${pid[entry-$second]}" || fail "the entry ended with $?"
unset "pid[entry-$second]"

echo "== a cancelled job ends"
job "$other" 00000000000000a6 2 60000 >/dev/null
wait_until 10 shows "$other" 00000000000000a6 running
call "$other" DELETE /lohu930/00000000000000a6 | grep -q ' 200' || fail "cancel"
wait_until 10 shows "$other" 00000000000000a6 cancelled

echo "== everything is stopped gracefully"
for name in "${!pid[@]}"; do kill -TERM "${pid[$name]}"; done
for name in "${!pid[@]}"; do
  wait "${pid[$name]}" || fail "$name ended with $?"
  unset "pid[$name]"
done
! grep -h violation: "$work/platform.log" || fail "an invariant was violated"
echo "all processes ended without an error"
