# Sourced by other scripts: starts and stops a whole cell on loopback with
# stand-ins for the platform. Each process is tracked and stopped by its process
# id. Requires $root (the checkout) and $work (a private working folder).
#
# The cell has three entries and nine workers in three racks, one rack in each
# of three failure domains. Each worker has a backend server and an agent.

bin="$root/build/modules/entry/celerylift"
agent_bin="$root/build/modules/agent/celerylift-agent"
standin="$root/build/tests/celerylift-standin"
port_base=${CELERYLIFT_PORT_BASE:-17000}
store_address="127.0.0.1:$((port_base))"
entry_rpc() { echo "127.0.0.1:$((port_base + 100 + $1))"; }
entry_control() { echo "127.0.0.1:$((port_base + 200 + $1))"; }
entry_http() { echo "127.0.0.1:$((port_base + 300 + $1))"; }
agent_http() { echo "127.0.0.1:$((port_base + 400 + $1))"; }
worker_address() { echo "127.0.0.1:$((port_base + 500 + $1))"; }
backend_address() { echo "127.0.0.1:$((port_base + 600 + $1))"; }
entries="$(entry_rpc 1),$(entry_rpc 2),$(entry_rpc 3)"
services=(order-desk sumpcheck)

declare -A pid

run_process() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$work/$name.out" 2>>"$work/$name.log" &
  pid[$name]=$!
}

write_entry_settings() { # NUMBER
  {
    echo "name: entry-$1"
    echo "cell: za-north"
    echo "listen:"
    echo "  rpc: $(entry_rpc "$1")"
    echo "  control: $(entry_control "$1")"
    echo "  http: $(entry_http "$1")"
    echo "store:"
    echo "  address: $store_address"
    echo "peers:"
    for peer in 1 2 3; do
      [ "$peer" = "$1" ] && continue
      echo "  - name: entry-$peer"
      echo "    control: $(entry_control "$peer")"
    done
  } >"$work/entry-$1.yaml"
}

write_agent_settings() { # NUMBER
  local rack=$((($1 - 1) / 3))
  local domains=(a b c)
  {
    echo "name: agent-$1"
    echo "failure_domain: za-north-${domains[$rack]}"
    echo "rack: rack-$rack"
    echo "listen:"
    echo "  http: $(agent_http "$1")"
    echo "entries:"
    for entry in 1 2 3; do
      echo "  - name: entry-$entry"
      echo "    control: $(entry_control "$entry")"
    done
    echo "worker:"
    echo "  id: worker-$1"
    echo "  address: $(worker_address "$1")"
    echo "  accelerators: 8"
  } >"$work/agent-$1.yaml"
}

start_store() { run_process store "$standin" store --listen="$store_address"; }

start_entry() { # NUMBER
  write_entry_settings "$1"
  run_process "entry-$1" "$bin" serve --config="$work/entry-$1.yaml"
}

start_agent() { # NUMBER
  write_agent_settings "$1"
  run_process "agent-$1" "$agent_bin" --config="$work/agent-$1.yaml"
}

start_host() { # NUMBER: starts a worker, a backend server and their agent
  run_process "worker-$1" "$standin" worker \
    --listen="$(worker_address "$1")" --accelerators=8
  run_process "backend-$1" "$standin" backend \
    --listen="$(backend_address "$1")" --id="runner-$1" \
    --service="${services[$(($1 % 2))]}" --slots=8 --agent="$(agent_http "$1")"
  start_agent "$1"
}

# Waits until a command succeeds, at most the given number of seconds.
wait_until() { # SECONDS COMMAND...
  local end=$(($(date +%s) + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ "$(date +%s)" -ge "$end" ]; then
      echo "timed out waiting for: $*" >&2
      return 1
    fi
    read -r -t 0.1 <> <(:) || true
  done
}

cell_is_active() { "$bin" cell --entry="$entries" | grep -q "phase active"; }
workers_are_ready() {
  [ "$("$bin" workers --entry="$entries" | grep -c " ready ")" = 9 ] &&
    [ "$("$bin" backends --entry="$entries" | grep -c " ready")" = 9 ]
}

start_cell() {
  start_store
  for n in 1 2 3; do start_entry "$n"; done
  for n in 1 2 3 4 5 6 7 8 9; do start_host "$n"; done
  wait_until 30 cell_is_active
  wait_until 30 workers_are_ready
}

owner_number() {
  "$bin" cell --entry="$entries" | sed -n 's/.*owner entry-\([0-9]\).*/\1/p'
}

# Stops a process gracefully. Fails if its exit code is not 0.
stop_process() { # NAME
  local id=${pid[$1]:-}
  [ -n "$id" ] || return 0
  kill -TERM "$id" 2>/dev/null || true
  local code=0
  wait "$id" 2>/dev/null || code=$?
  unset "pid[$1]"
  if [ "$code" != 0 ]; then
    echo "$1 exited with code $code" >&2
    return 1
  fi
}

stop_cell() { # agents first, then entries, then the stand-ins
  local failed=0
  for n in 1 2 3 4 5 6 7 8 9; do
    kill -TERM "${pid[agent-$n]:-}" 2>/dev/null || true
  done
  for n in 1 2 3 4 5 6 7 8 9; do stop_process "agent-$n" || failed=1; done
  for n in 1 2 3; do stop_process "entry-$n" || failed=1; done
  for n in 1 2 3 4 5 6 7 8 9; do
    stop_process "backend-$n" || failed=1
    stop_process "worker-$n" || failed=1
  done
  stop_process store || failed=1
  return $failed
}

# Kills all remaining processes when a script is interrupted.
end_all() {
  for name in "${!pid[@]}"; do kill -KILL "${pid[$name]}" 2>/dev/null || true; done
}
