#!/usr/bin/env bash
# LOST: a worker starts again under its identifier, and its zone is cut off for some seconds later.
RECORD=$(cd "$(dirname "$0")" && pwd)/record.txt
source "$(dirname "$0")/../lib.sh"
declare -a WORKERS HOST_PIDS

start_store
put_config 3
for worker in 0 1 2 3 4 5; do
  start_worker $worker kutipan "${ZONES[$((worker % 3))]}" 64 a
done
# The fourth zone. Its entry host is not started: cut off from the others and from the store, it would take no part.
start_worker 6 kutipan timur 64 a
start_worker 7 kutipan timur 64 b
start_worker 8 mutu selatan 32 a
start_hosts
sleep 4

# A job that only the worker with the label `b` can run.
job='{"specification":"run 700","steps":[{"count":4,"cpu":5700,"requested_memory_mb":1024,"estimated_ms":700,"required_label":"b"}]}'
# await PATH SECONDS: waits until the job is completed.
await() {
  for _ in $(seq "$2"); do
    [ "$(state "$1")" = completed ] && return 0
    sleep 1
  done
  return 1
}

[ "$(submit /bookings/00000000000000b1 "$job")" = 200 ] || give_up "the first job was not accepted"
await /bookings/00000000000000b1 10 || give_up "the first job did not run"
# TROUBLE=restart and TROUBLE=cut do one of the two only.
case $TROUBLE in 1|restart) "$STANDIN" control "${WORKERS[7]}" "/control/crash?for_ms=1000" ;; esac
sleep 6
[ "$(submit /bookings/00000000000000b2 "$job")" = 200 ] || give_up "the second job was not accepted"
await /bookings/00000000000000b2 10 || give_up "the second job did not run"
sleep 2
case $TROUBLE in
  1|cut) for worker in 6 7; do "$STANDIN" control "${WORKERS[$worker]}" "/control/cut?for_ms=5500"; done ;;
esac
# The end of the cut, contact_ms (3 s), and some time for the next ping.
sleep 12
[ "$(submit /bookings/00000000000000b3 "$job")" = 200 ] || give_up "the third job was not accepted"
# finish_s (14 s) after the last request, and 3 s on end without a task at work, while there is room.
await /bookings/00000000000000b3 25 && held "the job ran after the worker was back"
grep -q 'starts 00000000000000b3\.' "$RECORD" && held "the job was started"
broken "an accepted job has not started for 25 s, and the worker that can run it is up, registered and idle"
