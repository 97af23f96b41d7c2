#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
cd "$(dirname "$0")/../.."
record=review/12/record.txt
folder=$(mktemp -d)
lab=""
finish() {
  exec 2>/dev/null
  # The lab starts the daemons; they end with its process group.
  [ -n "$lab" ] && kill -KILL -- "-$lab" 2>/dev/null
  wait 2>/dev/null
  rm -rf "$folder"
}
trap finish EXIT
for program in target/review-lab-3 target/turmericpitch-sessions; do
  [ -x "$program" ] || exit 2
done
set -m
timeout -s KILL 110 target/review-lab-3 "$folder" "$record" &
lab=$!
wait "$lab"
result=$?
cat "$folder"/front-*.log | grep -E \
  'decision=(replace_primary|reign_write|successor|promotion_ordered)' |
  sort -k1 >>"$record"
[ "$result" -le 1 ] && exit "$result"
exit 2
