# Shared by the scripts that start a small fleet on loopback.
# Sourced, not run.
set -euo pipefail

cd "$(dirname "${BASH_SOURCE[0]}")/.."
build_dir=${BUILD_DIR:-build}
daemon=$build_dir/src/app/burdocklockd
ctl=$build_dir/src/ctl/burdocklockctl
engine=$build_dir/tools/burdocklock-engine
service=$build_dir/tools/burdocklock-service
load=$build_dir/tools/burdocklock-load

target_token=demo-target-token
operator_token=demo-operator-token

work=$(mktemp -d)
started=()

# Ends the processes that this script started, and waits for them.
stop_started() {
  local pid
  for pid in "${started[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${started[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  started=()
}
stop_all() {
  stop_started
  rm -rf "$work"
}
trap stop_all EXIT

hash_key() {
  printf %s "$1" | sha256sum | cut -d' ' -f1
}

# start NAME COMMAND...: runs a process in the background; its first line of
# output, which names its addresses, goes to $work/NAME.out.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.err" &
  started+=($!)
  printf -v "pid_${name//-/_}" %s $!
}

# await_line NAME: waits until process NAME has printed a line, and prints it.
await_line() {
  local tries
  for ((tries = 0; tries < 200; ++tries)); do
    if [[ -s $work/$1.out ]]; then
      head -n 1 "$work/$1.out"
      return
    fi
    sleep 0.05
  done
  echo "$1 did not start:" >&2
  cat "$work/$1.err" >&2
  return 1
}

# start_daemon NAME SETTINGS: sets callers and operators to its addresses.
start_daemon() {
  start "$1" "$daemon" --settings "$2"
  local line
  line=$(await_line "$1")
  callers=$(jq -r .callers <<<"$line")
  operators=$(jq -r .operators <<<"$line")
}

# await_targets OPERATORS COUNT: waits until that many targets are ready.
await_targets() {
  local tries ready
  for ((tries = 0; tries < 200; ++tries)); do
    ready=$("$ctl" --address "$1" --token "$operator_token" --json status |
      jq .targets_ready)
    if ((ready >= $2)); then
      return
    fi
    sleep 0.05
  done
  echo "only $ready of $2 targets are ready" >&2
  return 1
}

# emit BENCH FIGURE VALUE UNIT [at-most|at-least BOUND]: prints a result line.
emit() {
  jq -cn --arg bench "$1" --arg figure "$2" --argjson value "$3" \
    --arg unit "$4" --arg op "${5:-none}" --argjson bound "${6:-null}" '
    {bench: $bench, figure: $figure, value: $value, unit: $unit, bound: $bound,
     holds: (if $op == "at-most" then $value <= $bound
             elif $op == "at-least" then $value >= $bound
             else true end)}'
}

# cpu_seconds PID: processor time that the process has used so far.
cpu_seconds() {
  awk -v hz="$(getconf CLK_TCK)" '{ print ($14 + $15) / hz }' "/proc/$1/stat"
}

# rss_mb PID: resident memory in MB.
rss_mb() {
  awk '/^VmRSS/ { print $2 / 1000 }' "/proc/$1/status"
}

calc() {
  awk "BEGIN { print $* }"
}

# write_settings NAME DATA_CENTRE [LINES]: settings of a router with free ports
# in $work/NAME.toml, for the sheet in $work/sheet.toml.
write_settings() {
  cat >"$work/$1.toml" <<EOF
daemon = "$1"
data_centre = "$2"
region = "bench"
sheet = "sheet.toml"
[listen]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
[tokens]
targets_sha256 = ["$(hash_key "$target_token")"]
operators_sha256 = ["$(hash_key "$operator_token")"]
[log]
path = "$work/$1.log"
level = "${log_level:-info}"
${3:-}
EOF
}

# write_sheet NAME:SHARE...: a sheet with these customers, whose keys are
# NAME-key, the model "model" and the service "service".
write_sheet() {
  {
    printf '[[data_centres]]\nid = "%s"\nregion = "bench"\n' a b c d
    printf '[[models]]\nid = "model"\n[[services]]\nid = "service"\n'
    local entry
    for entry in "$@"; do
      printf '[[customers]]\nid = "%s"\nshare = %s\n' \
        "${entry%:*}" "${entry#*:}"
      printf 'api_keys_sha256 = ["%s"]\n' "$(hash_key "${entry%:*}-key")"
      printf 'models = ["model"]\nservices = ["service"]\n'
      printf 'home_region = "bench"\n'
    done
  } >"$work/sheet.toml"
}

# free_port_base COUNT: first of COUNT consecutive ports that nobody listens on.
free_port_base() {
  local base
  for ((base = 21000; base < 60000; base += $1)); do
    if ! ss -ltn | awk -v from="$base" -v to="$((base + $1))" \
      '{ n = split($4, part, ":"); p = part[n]; if (p >= from && p < to) busy = 1 }
       END { exit busy }'; then
      continue
    fi
    echo "$base"
    return
  done
}

# start_fleet REGION NAME:DATA_CENTRE:ROLE...: routers that know one another.
# Sets the arrays fleet_callers and fleet_operators, and fleet_pids.
start_fleet() {
  local region=$1 base entry other i=0 peers name
  shift
  base=$(free_port_base "$#")
  fleet_callers=()
  fleet_operators=()
  fleet_pids=()
  for entry in "$@"; do
    IFS=: read -r name data_centre role <<<"$entry"
    peers=""
    for ((other = 0; other < $#; ++other)); do
      ((other == i)) || peers+="\"127.0.0.1:$((base + other))\", "
    done
    fleet_settings "$name" "$data_centre" "$region" "$role" "$peers" \
      "$((base + i))"
    start "$name" "$daemon" --settings "$work/$name.toml"
    fleet_pids+=("${started[-1]}")
    ((++i))
  done
  for entry in "$@"; do
    local line
    line=$(await_line "${entry%%:*}")
    fleet_callers+=("$(jq -r .callers <<<"$line")")
    fleet_operators+=("$(jq -r .operators <<<"$line")")
  done
}

# fleet_settings NAME DATA_CENTRE REGION ROLE PEERS PEER_PORT
fleet_settings() {
  local roles='"router"'
  [[ -z $4 ]] || roles+=", \"$4\""
  cat >"$work/$1.toml" <<EOF
daemon = "$1"
data_centre = "$2"
region = "$3"
roles = [$roles]
sheet = "sheet.toml"
peers = [$5]
[listen]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
peers = "127.0.0.1:$6"
[tokens]
targets_sha256 = ["$(hash_key "$target_token")"]
operators_sha256 = ["$(hash_key "$operator_token")"]
[log]
path = "$work/$1.log"
[limits]
max_queued_per_customer = ${max_queued:-64}
${fleet_extra:-}
EOF
}

# example_sheet DIR: the example's sheet, which also names data centres.
example_sheet() {
  cp "$1/sheet.toml" "$work/sheet.toml"
}

# start_example_targets DIR STEP_US TOKENS: the replicas of an example, at half
# size in slots; engines take STEP_US a step.
start_example_targets() {
  local hosts pool name data_centre
  hosts=$(IFS=,; echo "${fleet_callers[*]}")
  target_count=0
  while read -r pool name data_centre; do
    [[ $pool == \#* ]] && continue
    case $pool in
      *-desk)
        start "$name" "$service" --name "$name" --service "$pool" \
          --data-centre "$data_centre" --entry-hosts "$hosts" \
          --token "$target_token" --journal "$work/$name.journal"
        ;;
      *)
        start "$name" "$engine" --name "$name" --models "$pool" \
          --data-centre "$data_centre" --entry-hosts "$hosts" \
          --token "$target_token" --step-us "$2" --step-per-sequence-us 0 \
          --slots "${slots:-4}" --cold-slots "${cold_slots:-2}" \
          --cold-ms "${cold_ms:-1000}" --journal "$work/$name.journal"
        ;;
    esac
    ((++target_count))
  done <"$1/targets.txt"
}

# prepare_control_hosts COUNT: free ports for that many control hosts.
prepare_control_hosts() {
  control_count=$1
  control_base=$(free_port_base $((3 * control_count)))
  control_pids=()
  version=0
}

# control_seeds: addresses of the first three control hosts, as TOML strings.
control_seeds() {
  local i seeds=""
  for ((i = 0; i < 3; ++i)); do
    seeds+="\"127.0.0.1:$((control_base + control_count + i))\", "
  done
  echo "$seeds"
}

# control_settings INDEX FIRST_START: settings of one control host.
control_settings() {
  cat >"$work/c$1.toml" <<EOF
interface = "routes"
daemon = "c$1"
data_centre = "a"
region = "bench"
roles = ["control"]
data_folder = "$work/data-c$1"
[listen]
commands = "127.0.0.1:$((control_base + $1))"
peers = "127.0.0.1:$((control_base + control_count + $1))"
operators = "127.0.0.1:$((control_base + 2 * control_count + $1))"
[control]
hosts = [$(control_seeds)]
first_start = $2
data_centres = ["a"]
[tokens]
targets_sha256 = ["$(hash_key "$target_token")"]
operators_sha256 = ["$(hash_key "$operator_token")"]
[log]
path = "$work/c$1.log"
EOF
}

# start_control INDEX: as it is configured, on the disk that it has.
start_control() {
  mkdir -p "$work/data-c$1"
  start "c$1" "$daemon" --settings "$work/c$1.toml"
  control_pids[$1]=${started[-1]}
}

# routes_router_settings NAME: a router that finds these control hosts.
routes_router_settings() {
  cat >"$work/$1.toml" <<EOF
interface = "routes"
daemon = "$1"
data_centre = "a"
region = "bench"
[listen]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
[control]
hosts = [$(control_seeds)]
[log]
path = "$work/$1.log"
EOF
}

# start_numbered_service NAME: a stand-in that announces to the control hosts.
start_numbered_service() {
  local i hosts=""
  for ((i = 0; i < 3; ++i)); do
    hosts+="127.0.0.1:$((control_base + i)),"
  done
  start "$1" "$service" --name "$1" --service desk --data-centre a --numbered \
    --entry-hosts "$hosts" --token "$target_token" --cold-slots 16
}

# apply_once INDEX: puts configuration $version in force through one host.
apply_once() {
  cat >"$work/configuration.json" <<EOF
{"version": $version,
 "routes": [{"name": "stock", "host_name": "desk.example",
             "path_prefix": "/stock/", "kind": "idempotent",
             "timeout_ms": 2000, "max_attempts": 2,
             "services": [{"service": "desk"}]}],
 "services": [{"name": "desk"}]}
EOF
  "$ctl" --address "127.0.0.1:$((control_base + $1))" \
    --token "$operator_token" --timeout 1 \
    config apply "$work/configuration.json" >"$work/apply.out" 2>&1
}

# apply_anywhere: the same through the first of three hosts that accepts it.
apply_anywhere() {
  local i
  for i in 0 1 2; do
    ! apply_once "$i" || return 0
  done
  return 1
}

# bytes_sent PID: bytes that the process has sent on the TCP connections that it
# has open.
bytes_sent() {
  ss -tinpH | awk -v pid="pid=$1," '
    /^[A-Z]/ { mine = index($0, pid) > 0; next }
    mine && match($0, /bytes_sent:[0-9]+/) {
      sum += substr($0, RSTART + 11, RLENGTH - 11)
    }
    END { print sum + 0 }'
}
