#!/usr/bin/env bash
# Measures the memory and CPU time that idle client connections cost at one
# instance. Prints a table.
# Usage: tools/client_connections_report.sh [BUILD_FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT
rss_kib() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }

echo "connections | resident KiB before | after | KiB each | connect ms | daemon CPU ms"
for count in 500 1000 2000 3404; do
  "$build/turmericpitch" serve --settings examples/quickstart/entry-1.yaml \
    --log-file "$work/log" >/dev/null 2>&1 &
  daemon=$!
  pids+=("$daemon")
  until grep -q serves "$work/log" 2>/dev/null; do sleep 0.1; done
  sleep 0.5
  before=$(rss_kib "$daemon")
  ticks=$(cpu_ticks "$daemon")
  mkfifo "$work/hold"
  "$build/ClientConnectionsExperiment" --to 127.0.0.1:7101 --count "$count" \
    <"$work/hold" >"$work/out" &
  client=$!
  pids+=("$client")
  exec 9>"$work/hold"
  until [ -s "$work/out" ]; do sleep 0.1; done
  sleep 1
  after=$(rss_kib "$daemon")
  spent=$(($(cpu_ticks "$daemon") - ticks))
  took=$(sed 's/.* \([0-9]*\) ms/\1/' "$work/out")
  echo "$count | $before | $after | $(echo "scale=2; ($after - $before) / $count" | bc) | $took | $((spent * 10))"
  exec 9>&-
  wait "$client"
  kill "$daemon"
  wait "$daemon" || true
  rm -f "$work/hold" "$work/out" "$work/log"
done
