#!/usr/bin/env bash
# Starts a cell on loopback and prints resident memory and processor time of
# each entry and agent over ten idle seconds.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
export CELERYLIFT_PORT_BASE=${CELERYLIFT_PORT_BASE:-37000}
. "$root/tools/loopback_cell.sh"
trap 'end_all; rm -rf "$work"' EXIT
ticks_of() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss_of() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
start_cell
owner=entry-$(owner_number)
declare -A before
for name in "${!pid[@]}"; do before[$name]=$(ticks_of "${pid[$name]}"); done
end=$(($(date +%s) + 10))
interval_is_over() { [ "$(date +%s)" -ge "$end" ]; }
wait_until 20 interval_is_over
echo "owner: $owner"
# One tick of 10 ms in ten seconds equals 1 ms of processor time a second.
for name in "${!pid[@]}"; do
  case $name in entry-* | agent-*) ;; *) continue ;; esac
  used=$(($(ticks_of "${pid[$name]}") - ${before[$name]}))
  echo "$name: $(rss_of "${pid[$name]}") KB resident, $used ms of processor time a second"
done | sort
stop_cell
