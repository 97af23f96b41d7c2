#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
cd "$(dirname "$0")/../.."
case=overtaken-order
record=$(mktemp)
folder=$(mktemp -d)
started=()
finish() {
  exec 2>/dev/null
  for pid in "${started[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$folder"
}
trap finish EXIT
for program in target/review-lab-2 target/turmericpitch-sessions; do
  [ -x "$program" ] || exit 2
done
timeout -s KILL 110 target/review-lab-2 "$case" "$folder" "$record" &
lab=$!
started+=("$lab")
for _ in $(seq 100); do
  [ -e "$folder/ready" ] && break
  sleep 0.1
done
[ -e "$folder/ready" ] || exit 2
for number in 1 2 3; do
  TURMERICPITCH_BOOT="$folder/front-$number.yaml" \
    target/turmericpitch-sessions >"$folder/front-$number.log" 2>&1 &
  started+=("$!")
done
wait "$lab"
result=$?
cat "$folder"/front-*.log | grep -E \
  'decision=(replace_primary|reign_write|successor|promotion_ordered)' |
  sort -k1 >>"$record"
[ "$result" -le 1 ] && exit "$result"
exit 2
