# Common part of the review's scripts: a small deployment of the project's own program on loopback addresses.
#
# Three entry hosts, one in each of three zones, with the command of deploy/system.toml and the settings of its template;
# a store and workers are stand-ins of review/standin. All processes are ended by their ids when the script ends.
set -uo pipefail
CASE=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
ROOT=$(cd "$CASE/../.." && pwd)
TROUBLE=${TROUBLE:-1}
DAEMON=$ROOT/target/release/shallotpostd
STANDIN=${STANDIN:-$ROOT/target/review/standin}
export RECORD
: > "$RECORD"
WORK=$(mktemp -d)
PIDS=()
ZONES=(utara tengah selatan)
HOST_NAME=ficu95.example
KEY=3hh2b9wu3fexd9dnn2ct

finish() {
  exec 2> /dev/null
  for pid in "${PIDS[@]}"; do kill -KILL "$pid"; done
  wait
  rm -rf "$WORK"
}
trap finish EXIT

note() { echo "$(date +%s%3N) $*" >> "$RECORD"; }

# The case could not run.
give_up() { note "not run: $*"; echo "not run: $*"; exit 2; }

[ -x "$DAEMON" ] && [ -x "$STANDIN" ] || give_up "build the deploy file and review/build.sh first"
read -r -a PORTS <<< "$("$STANDIN" ports 28)" || give_up "no free ports"
STORE=127.0.0.1:${PORTS[0]}
FRONTS=()
for host in 0 1 2; do FRONTS+=("127.0.0.1:${PORTS[$((1 + host * 4))]}"); done

start_store() {
  "$STANDIN" platform "$STORE" & PIDS+=($!)
  for _ in $(seq 50); do
    "$STANDIN" control "$STORE" "/control/down?for_ms=0" && return
    sleep 0.1
  done
  give_up "the store does not answer"
}

# start_host NUMBER: starts an entry host, or starts it again.
start_host() {
  local base=$((1 + $1 * 4)) settings=$WORK/host-$1.json
  cat > "$settings" <<END
{"host": "front-${ZONES[$1]}-1", "data_centre": "${ZONES[$1]}",
 "callers_address": "127.0.0.1:${PORTS[$base]}", "readiness_address": "127.0.0.1:${PORTS[$((base + 1))]}",
 "peer_address": "127.0.0.1:${PORTS[$((base + 2))]}", "metrics_address": "127.0.0.1:${PORTS[$((base + 3))]}",
 "platform": {"store": "$STORE"},
 "bounds": {"hold_max_ms": 10000, "stop_timeout_ms": 200, "retention_s": 120, "grace_s": 6},
 "processors": 0.25, "log_lines_per_second": 200}
END
  (cd "$ROOT" && SHALLOTPOST_BOOT=$settings exec target/release/shallotpostd --fleet --settings "$settings" \
    >> "$WORK/host-$1.log" 2>&1) &
  HOST_PIDS[$1]=$!
  PIDS+=($!)
  note "host $1 starts"
}

# start_worker NUMBER SERVICE ZONE CORES LABEL
start_worker() {
  WORKERS[$1]=127.0.0.1:${PORTS[$((13 + $1))]}
  "$STANDIN" worker "{\"id\":\"i-$1\",\"address\":\"${WORKERS[$1]}\",\"store\":\"$STORE\",\"service\":\"$2\",\
\"zone\":\"$3\",\"capacity\":{\"cpu\":$(($4 * 1000)),\"requested_memory_mb\":$(($4 * 4096)),\"gpu\":0},\
\"labels\":[\"$5\",\"r$1-1\"],\"hold_max_ms\":10000}" & PIDS+=($!)
}

# put_config VERSION: two queues, each with a service of its own.
put_config() {
  "$STANDIN" put "$STORE" op config "{\"version\":$1,\"routes\":[\
{\"name\":\"r-bookings\",\"host\":\"$HOST_NAME\",\"prefix\":\"/bookings/\",\"service\":\"kutipan\",\"priority\":0,\
\"target_duration_ms\":250,\"max_attempts\":4,\"stretch\":1.5},\
{\"name\":\"r-scans\",\"host\":\"$HOST_NAME\",\"prefix\":\"/scans/\",\"service\":\"mutu\",\"priority\":1,\
\"target_duration_ms\":3000,\"max_attempts\":4,\"stretch\":4.0}],\
\"services\":[{\"name\":\"kutipan\",\"admission_check\":false},{\"name\":\"mutu\",\"admission_check\":false}],\
\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\
\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"$KEY\"],\"weight\":100}]}" || give_up "the store takes no config"
}

start_hosts() {
  for host in 0 1 2; do start_host $host; done
  for _ in $(seq 100); do
    [ "$("$STANDIN" state $HOST_NAME $KEY /bookings/ "${FRONTS[@]}" | cut -d' ' -f1)" = 200 ] && return
    sleep 0.1
  done
  give_up "the hosts do not serve"
}

# submit PATH JSON: hands a job in as a sound caller; prints the status.
submit() { "$STANDIN" submit $HOST_NAME $KEY "$1" "$2" "${FRONTS[@]}" | cut -d' ' -f1; }

# state PATH: prints the state of a job.
state() {
  "$STANDIN" state $HOST_NAME $KEY "$1" "${FRONTS[@]}" | sed -n 's/.*"state":"\([a-z]*\)".*/\1/p'
}

# Keeps the logs of the hosts when asked to.
keep_logs() { [ -z "${LOGS:-}" ] || cp "$WORK"/host-*.log "$LOGS"; }

# A verdict needs all processes: one that could not bind its address, for example, has ended.
all_alive() {
  for pid in "${PIDS[@]}"; do kill -0 "$pid" 2> /dev/null || give_up "a process ended early"; done
}

held() { all_alive; note "held: $*"; echo "held: $*"; keep_logs; exit 0; }
broken() { all_alive; note "broken: $*"; echo "broken: $*"; keep_logs; exit 1; }
