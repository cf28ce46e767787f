#!/usr/bin/env bash
# LOST: one worker crashes and starts again a few times under a task that lasts.
source "$(dirname "$0")/../lib.sh"
declare -a WORKERS HOST_PIDS

start_store
put_config 3
for worker in 0 1 2 3 4 5 6; do
  start_worker $worker kutipan "${ZONES[$((worker % 3))]}" 64 a
done
start_worker 7 kutipan selatan 64 b
start_worker 8 mutu selatan 32 a
start_hosts
sleep 4

# A task that lasts, and that only the worker with the label `b` can run.
job='{"specification":"serve","steps":[{"count":1,"cpu":15000,"requested_memory_mb":43000,"estimated_ms":500,"long_running":true,"required_label":"b"}]}'
id=00000000000000c1
# started COUNT: waits until the task was started so many times.
started() {
  for _ in $(seq 100); do
    [ "$(grep -c "starts $id\." "$RECORD")" -ge "$1" ] && return 0
    sleep 0.1
  done
  return 1
}

[ "$(submit /bookings/$id "$job")" = 200 ] || give_up "the job was not accepted"
started 1 || give_up "the task was not started"
sleep 3
for crash in 1 2 3 4 5 6; do
  [ "$TROUBLE" = 1 ] || break
  "$STANDIN" control "${WORKERS[7]}" "/control/crash?for_ms=1000"
  started $((crash + 1)) || break
  sleep 3
done
sleep 12
shown=$(state /bookings/$id)
note "state: $shown; starts: $(grep -c "starts $id\." "$RECORD"); ends as failed: $(grep -c "ends $id\..* failed" "$RECORD")"
if [ "$shown" = failed ] && ! grep -q "ends $id\..* failed" "$RECORD"; then
  broken "the job is shown as failed, and no run of it has ended as failed"
fi
held "the job is shown as $shown"
