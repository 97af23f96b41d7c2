#!/usr/bin/env bash
# Measures CPU time and memory of idle daemons by number of instances. Runs
# real processes on loopback, configured by one ticket of DATABASES databases.
# Usage: tools/control_cost_report.sh [BUILD_FOLDER [DATABASES]]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
databases=${2:-9}
window_s=20
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT
digest() { printf %s "$1" | sha256sum | cut -d' ' -f1; }
port() { echo $((20000 + $1)); }

write_settings() { # index count
  local base=$((100 + 3 * $1))
  echo "instance: entry-$1"
  echo "availability_zone: zone-$(($1 % 4))"
  echo "listen: {callers: 127.0.0.1:$(port $base), operators: 127.0.0.1:$(port $((base + 1))), peers: 127.0.0.1:$(port $((base + 2)))}"
  echo "platform: 127.0.0.1:$(port 0)"
  echo "threads: 1"
  echo "peers:"
  for near in 1 2 3 4; do # four seeds; the rest is discovered
    other=$((($1 + near) % $2))
    [ "$other" -ne "$1" ] && echo "  - {instance: entry-$other, address: '127.0.0.1:$(port $((102 + 3 * other)))', availability_zone: zone-$((other % 4))}"
  done
  echo "token_keys: [{name: k, secret: replace-with-random-text}]"
  echo "peer_keys: [{name: k, secret: replace-with-other-random-text}]"
  echo "operator_credential_digest: $(digest operator)"
}

write_ticket() {
  echo "ticket: 1"
  echo "brands: [{name: b, host: b.example}]"
  echo "databases:"
  for ((d = 0; d < databases; ++d)); do
    echo "  - {name: d$d, connection_limit: 20, slots: 3, members: [{upstream: d$d-a, address: '127.0.0.1:$(port 1)', availability_zone: zone-0}, {upstream: d$d-b, address: '127.0.0.1:$(port 2)', availability_zone: zone-1}, {upstream: d$d-c, address: '127.0.0.1:$(port 3)', availability_zone: zone-2}]}"
  done
}

cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss_kib() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }

echo "instances | databases | CPU % of a core, mean | resident MiB, mean"
for count in 5 20 50; do
  pids=()
  "$build/stand-in" platform --listen "127.0.0.1:$(port 0)" & pids+=($!)
  for m in 1 2 3; do
    "$build/stand-in" member --listen "127.0.0.1:$(port $m)" --name "$m" \
      --first-primary 1 & pids+=($!)
  done
  daemons=()
  for ((i = 0; i < count; ++i)); do
    write_settings "$i" "$count" >"$work/$i.yaml"
    "$build/turmericpitch" serve --settings "$work/$i.yaml" \
      --log-file "$work/$i.log" >/dev/null 2>&1 &
    daemons+=($!)
    pids+=($!)
  done
  sleep 3
  write_ticket >"$work/ticket.yaml"
  echo operator >"$work/credential"
  "$build/turmericpitch" ticket submit "$work/ticket.yaml" \
    --operators "127.0.0.1:$(port 101)" --credential-file "$work/credential" >/dev/null
  sleep 10
  before=0
  for pid in "${daemons[@]}"; do before=$((before + $(cpu_ticks "$pid"))); done
  sleep "$window_s"
  after=0
  memory=0
  for pid in "${daemons[@]}"; do
    after=$((after + $(cpu_ticks "$pid")))
    memory=$((memory + $(rss_kib "$pid")))
  done
  echo "$count | $databases | $(echo "scale=2; ($after - $before) / $window_s / $count" | bc) | $(echo "scale=1; $memory / 1024 / $count" | bc)"
  for pid in "${pids[@]}"; do kill "$pid"; done
  wait
done
