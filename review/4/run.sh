#!/usr/bin/env bash
# LOST: a zone is taken back just before the store forgets its history.
RECORD=$(cd "$(dirname "$0")" && pwd)/record.txt
source "$(dirname "$0")/../lib.sh"
declare -a WORKERS HOST_PIDS

start_store
put_config 3
start_worker 0 kutipan utara 64 a
start_worker 1 kutipan tengah 64 a
start_worker 2 mutu selatan 32 a
start_worker 3 mutu selatan 32 b
start_hosts
sleep 4

job='{"specification":"run 1000","steps":[{"count":4,"cpu":2800,"requested_memory_mb":1024,"estimated_ms":1000}]}'
# await PATH SECONDS: waits until the job is completed.
await() {
  for _ in $(seq "$2"); do
    [ "$(state "$1")" = completed ] && return 0
    sleep 1
  done
  return 1
}

[ "$(submit /scans/00000000000000a1 "$job")" = 200 ] || give_up "the first job was not accepted"
await /scans/00000000000000a1 10 || give_up "the first job did not run"

"$STANDIN" put "$STORE" op evacuate/selatan '{}'
sleep 7.5
if [ "$TROUBLE" = 1 ]; then
  "$STANDIN" control "$STORE" "/control/compact?gap_ms=1000" & compaction=$!
fi
sleep 0.5
"$STANDIN" delete "$STORE" op evacuate/selatan
[ "$TROUBLE" = 1 ] && wait $compaction

# Past evacuation_ms (5 s) and max_stretch_ms (5 s), the zone is in use again. Its workers are idle.
sleep 10
[ "$(submit /scans/00000000000000a2 "$job")" = 200 ] || give_up "the second job was not accepted"
[ "$(submit /bookings/00000000000000a3 "$job")" = 200 ] || give_up "the third job was not accepted"
await /bookings/00000000000000a3 10 || give_up "the other service does not run"
# finish_s (14 s) after the last request, and 3 s on end without a task at work, while there is room.
await /scans/00000000000000a2 20 && held "the job ran after the zone was taken back"
grep -q 'starts 00000000000000a2\.' "$RECORD" && held "the job was started"
broken "an accepted job has not started for over 20 s, and all workers of its service are idle"
