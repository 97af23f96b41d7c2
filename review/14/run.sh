#!/usr/bin/env bash
# Two machines whose settings file changes: one of the bounds becomes a
# fraction. The processes are stopped and started again, as the platform does.
# TROUBLE=0: the settings file is written anew without a change.
set -u
cd "$(dirname "$0")/../.."
case_folder=review/14
record=$case_folder/record.txt
daemon=target/turmericpitch-sessions
work=$(mktemp -d)
pids=()
: > "$record"

note() {
  printf '%s %s\n' "$(date +%s.%3N)" "$*" >> "$record"
}

finish() {
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null && wait "$pid" 2>/dev/null
  done
  rm -rf "$work"
  note "exit $1"
  exit "$1"
}

[ -x "$daemon" ] || { note "no $daemon"; finish 2; }

# A port on which nothing listens.
free_port() {
  local port
  for _ in $(seq 100); do
    port=$((20000 + RANDOM % 30000))
    if ! (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
      echo "$port"
      return 0
    fi
  done
  return 1
}

# write_settings MACHINE GRACE
write_settings() {
  cat > "$work/local-$1.yaml" <<EOF
node: "front-sfax-$1"
role: "entry"
machine_class: "front"
serves:
  - "front"
ip: "127.0.0.1"
zone: "sfax-a"
region: "tn-sud"
zones:
  sfax-a: "tn-sud"
listen:
  front: "127.0.0.1:${front[$1]}"
  ready: "127.0.0.1:${ready[$1]}"
internal_ports:
  - ${inner[$1]}
  - $((inner[$1] + 1))
seeds: []
bootstrap: true
counts_as_loss: false
limits:
  cpu_share: 0.5
  cores: 1
  memory_mb: 520
  max_fds: 8400
  link_mbps: 2000.0
  disk_mb: 0
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: 1200
bounds:
  contact_ms: 4000
  drain_ms: 7000
  grace_s: $2
  config_apply_ms: 3000
  recovery_s: 12
  require_fence: false
  thaw_ms: 300
platform:
  addr: "127.0.0.1:$store"
  form: "kv"
  writes_per_s: 400
  reads_per_s: 2000
  history_s: 20
  value_bytes: 1048576
  min_ttl_ms: 1000
cloud_api:
  addr: "127.0.0.1:$store"
  rate_per_s: 50.0
  duties:
    - "promotion"
  duty_per_s: 50.0
EOF
}

# start MACHINE: starts the process with the command of the deploy file.
start() {
  TURMERICPITCH_BOOT="$work/local-$1.yaml" "$daemon" \
    >> "$work/log-$1" 2>&1 &
  pids[$1]=$!
  note "machine $1: started"
}

# answer MACHINE: the status line of its readiness check; empty without one.
answer() {
  local line=""
  exec 3<>"/dev/tcp/127.0.0.1/${ready[$1]}" || return 0
  printf 'GET /api/ready HTTP/1.1\r\nHost: probe\r\n\r\n' >&3
  read -r -t 1 line <&3
  exec 3>&-
  printf '%s' "${line%$'\r'}"
}

# runs MACHINE: whether the process answers its readiness check within 3 s.
runs() {
  local line
  for _ in $(seq 30); do
    line=$(answer "$1" 2>/dev/null)
    if [ -n "$line" ]; then
      note "machine $1: readiness check answered: $line"
      return 0
    fi
    if ! kill -0 "${pids[$1]}" 2>/dev/null; then
      wait "${pids[$1]}"
      note "machine $1: the process ended by itself with code $?:" \
        "$(tail -n 2 "$work/log-$1" | tr '\n' ' ' | sed "s#$work/##g")"
      return 1
    fi
    sleep 0.1
  done
  note "machine $1: no answer within 3 s"
  return 1
}

store=$(free_port) || finish 2
front=() ready=() inner=()
for machine in 0 1; do
  front[machine]=$(free_port) || finish 2
  ready[machine]=$(free_port) || finish 2
  inner[machine]=$(free_port) || finish 2
  write_settings "$machine" 6
  start "$machine"
done
for machine in 0 1; do
  runs "$machine" || finish 2
done

grace=6
[ "${TROUBLE:-1}" = 0 ] || grace=6.5
failures=0
for machine in 0 1; do
  write_settings "$machine" "$grace"
  note "machine $machine: settings file written with grace_s: $grace; SIGHUP"
  kill -HUP "${pids[$machine]}"
  sleep 0.5
  note "machine $machine: killed"
  kill -KILL "${pids[$machine]}"
  wait "${pids[$machine]}" 2>/dev/null
  # What ends within a second of a disruption isn't counted by the rule.
  sleep 1.2
  ended=0
  for _ in 1 2 3; do
    start "$machine"
    runs "$machine" && break
    ended=$((ended + 1))
    sleep 1
  done
  if [ "$ended" -eq 3 ]; then
    note "machine $machine: ended by itself three times, serves nobody"
    failures=$((failures + 1))
  fi
done

# The rule: two machines at least, three times each, without a disruption there.
[ "$failures" -lt 2 ] || finish 1
finish 0
