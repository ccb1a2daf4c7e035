#!/usr/bin/env bash
# Starts stand-in endpoints and daemons for one experiment, runs it and stops
# them: bench.sh EXPERIMENT.json [OUT_FOLDER] [options of "run"].
# BUILD names the build folder, PORT the first port; THIN=1 writes the settings
# of the first daemon, which has no operators' port; ENDPOINT_THREADS sets the
# threads of the stand-ins.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD:-$root/build}
port=${PORT:-24000}
experiment=$1
out=${2:-bench-results}
shift $(($# < 2 ? $# : 2))
mkdir -p "$out"

ids=()
stop() {
  for id in "${ids[@]}"; do kill "$id" 2>/dev/null || true; done
  wait
}
trap stop EXIT

load=$build/bench/hemlockhaven-bench-load
thin=()
[ -z "${THIN:-}" ] || thin=(--thin)
daemons=$("$load" prepare "$experiment" --out "$out" --port "$port" "${thin[@]}")

# Waits until a process that was started here listens: await_port PORT ID.
await_port() {
  for _ in $(seq 100); do
    if ! kill -0 "$2" 2>/dev/null; then
      echo "bench.sh: the process for port $1 ended; see $out" >&2
      return 1
    fi
    if (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; then return 0; fi
    sleep 0.1
  done
  echo "bench.sh: nothing listens on port $1" >&2
  return 1
}

"$build/standins/hemlockhaven-standin-endpoint" --file "$out/endpoints.json" \
  --threads "${ENDPOINT_THREADS:-2}" >"$out/endpoints.log" 2>&1 &
ids+=($!)
await_port "$port" "${ids[-1]}"
case " $* " in
  *" --direct "*) ;;
  *)
    for i in $(seq "$daemons"); do
      "$build/src/hemlockhavend" --settings "$out/daemon-$i.json" \
        >"$out/daemon-$i.log" 2>&1 &
      ids+=($!)
      await_port $((port + 5000 + i - 1)) "${ids[-1]}"
    done
    ;;
esac
"$load" run "$experiment" --out "$out" --port "$port" "$@"
