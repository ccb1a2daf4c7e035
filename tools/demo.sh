#!/usr/bin/env bash
# Shows three daemons in three availability zones with a stand-in log, VM list
# and endpoints on loopback: requests, a job, status, where, a daemon that
# dies, and a graceful end. SKIP_BUILD=1 uses the build folder as it is.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ -z "${SKIP_BUILD:-}" ]; then
  tools/setup.sh
  tools/build.sh
fi
folder=$(mktemp -d)
cmake --install build --prefix "$folder/installed" >/dev/null
tool=$folder/installed/bin/hemlockhaven
daemon=$folder/installed/bin/hemlockhavend
base=${DEMO_PORT:-17400}
zones=(a b c)

pids=()
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$folder"
}
trap finish EXIT

say() { printf '\n== %s\n' "$*"; }
callers() { echo "127.0.0.1:$((base + 10 * $1 + 20))"; }
operators() { echo "127.0.0.1:$((base + 10 * $1 + 21))"; }

say "the platform: a log, a VM list, and two endpoints in each zone"
vms=
for i in 1 2 3; do
  vms+=${vms:+,}"{\"id\": \"vm-$i\", \"address\": \"127.0.0.1\",
    \"port\": $((base + 10 * i + 22)), \"zone\": \"${zones[i - 1]}\",
    \"rack\": \"r-$i\", \"role\": \"entry\", \"state\": \"live\"}"
done
for i in 1 2 3 4 5 6; do
  port=$((base + 10 + i))
  build/standins/hemlockhaven-standin-endpoint --port "$port" --slots 4 \
    --slowness "$([ "$i" -gt 4 ] && echo 2 || echo 1)" >/dev/null &
  pids+=($!)
  vms+=",{\"id\": \"e-$i\", \"address\": \"127.0.0.1\", \"port\": $port,
    \"zone\": \"${zones[(i - 1) % 3]}\", \"rack\": \"r-$i\",
    \"role\": \"endpoint\", \"state\": \"live\", \"slots\": 4,
    \"labels\": {\"trade\": \"canopy\"}}"
done
echo "[$vms]" >"$folder/vms.json"
build/standins/hemlockhaven-standin-log --port "$base" >/dev/null &
pids+=($!)
build/standins/hemlockhaven-standin-vmlist --port "$((base + 1))" \
  --file "$folder/vms.json" >/dev/null &
pids+=($!)

say "three daemons in three zones"
daemons=()
for i in 1 2 3; do
  cat >"$folder/vm-$i.json" <<SETTINGS
{"name": "vm-$i", "zone": "${zones[i - 1]}", "leaveDelayMs": 200, "shutdownLimitMs": 1000,
 "callers": {"port": $((base + 10 * i + 20))},
 "operators": {"port": $((base + 10 * i + 21))},
 "peerListen": {"port": $((base + 10 * i + 22))},
 "platform": {"log": {"address": "127.0.0.1", "port": $base},
              "vmList": {"address": "127.0.0.1", "port": $((base + 1))}}}
SETTINGS
  "$daemon" --settings "$folder/vm-$i.json" --check-settings
  "$daemon" --settings "$folder/vm-$i.json" 2>"$folder/vm-$i.log" &
  daemons+=($!)
  pids+=($!)
done
for i in 1 2 3; do
  for _ in $(seq 100); do
    curl -sf "http://$(operators "$i")/readyz" >/dev/null && break
    sleep 0.1
  done
done
export HEMLOCKHAVEN_SERVER HEMLOCKHAVEN_OPERATORS
HEMLOCKHAVEN_SERVER=$(callers 1)
HEMLOCKHAVEN_OPERATORS=$(operators 1)

say "a request of 50 ms, and a job of 40 tasks through another daemon"
"$tool" request --caller menders --kind tear-quote --urgency urgent \
  --label trade=canopy 50
seq 20 59 | "$tool" job --server "$(callers 2)" --caller traders \
  --kind price-quote --label trade=valves --file - | tail -1

say "where did the canopy work of today go?"
"$tool" where "trade = canopy" --since today

say "the status of vm-1"
"$tool" status

say "vm-2 dies while a caller waits: the caller is told 'unknown' (exit 4)"
id=$(curl -sf -X POST "http://$(callers 2)/v1/ids" |
  sed 's/.*\["\([^"]*\)".*/\1/')
"$tool" request --server "$(callers 2)" --id "$id" --caller menders \
  --kind call-out --label trade=canopy 3000 &
caller=$!
sleep 1
kill -KILL "${daemons[1]}"
code=0
wait "$caller" || code=$?
echo "exit code $code"
[ "$code" = 4 ]

say "the same id sent again to vm-1 starts nothing (exit 4)"
code=0
"$tool" request --id "$id" --caller menders --kind call-out \
  --label trade=canopy 3000 || code=$?
echo "exit code $code"
[ "$code" = 4 ]

say "vm-1 and vm-3 shut down gracefully"
for i in 1 3; do
  kill -TERM "${daemons[i - 1]}"
  wait "${daemons[i - 1]}"
  echo "vm-$i: exit code 0"
done
