# Functions for scripts that start a small fleet on the loopback interface.
# To be sourced.
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

work_dir=$(mktemp -d)
started=()

# Terminates the processes that this script started, and waits for them.
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
  rm -rf "$work_dir"
}
trap stop_all EXIT

hash_key() {
  printf %s "$1" | sha256sum | cut -d' ' -f1
}

# start NAME COMMAND...: runs a process in the background. Its output, whose first
# line contains its addresses, is written to $work_dir/NAME.out.
start() {
  local name=$1
  shift
  "$@" >"$work_dir/$name.out" 2>"$work_dir/$name.err" &
  started+=($!)
  printf -v "pid_${name//-/_}" %s $!
}

# wait_for_output NAME: waits for the first output line of process NAME and prints it.
wait_for_output() {
  local tries
  for ((tries = 0; tries < 200; ++tries)); do
    if [[ -s $work_dir/$1.out ]]; then
      head -n 1 "$work_dir/$1.out"
      return
    fi
    sleep 0.05
  done
  echo "$1 did not start:" >&2
  cat "$work_dir/$1.err" >&2
  return 1
}

# start_daemon NAME SETTINGS: starts a daemon and sets the variables callers and
# operators to its addresses.
start_daemon() {
  start "$1" "$daemon" --settings "$2"
  local line
  line=$(wait_for_output "$1")
  callers=$(jq -r .callers <<<"$line")
  operators=$(jq -r .operators <<<"$line")
}

# wait_for_targets OPERATORS COUNT: waits until at least COUNT targets are ready.
wait_for_targets() {
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

# cpu_seconds PID: prints the CPU time that the process has used so far.
cpu_seconds() {
  awk -v hz="$(getconf CLK_TCK)" '{ print ($14 + $15) / hz }' "/proc/$1/stat"
}

# rss_mb PID: prints the resident memory in MB.
rss_mb() {
  awk '/^VmRSS/ { print $2 / 1000 }' "/proc/$1/status"
}

evaluate() {
  awk "BEGIN { print $* }"
}

# write_settings NAME DATA_CENTRE [LINES]: writes the settings of a router with
# ephemeral ports to $work_dir/NAME.toml; they refer to $work_dir/sheet.toml.
write_settings() {
  cat >"$work_dir/$1.toml" <<EOF
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
path = "$work_dir/$1.log"
level = "${log_level:-info}"
${3:-}
EOF
}

# write_sheet NAME:SHARE...: writes $work_dir/sheet.toml with these customers, whose
# API keys are NAME-key, the model "model" and the service "service".
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
  } >"$work_dir/sheet.toml"
}

# free_port_base COUNT: prints the first of COUNT consecutive unused ports.
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

# start_fleet REGION NAME:DATA_CENTRE:ROLE...: starts routers that are peers of one
# another and sets the arrays fleet_callers, fleet_operators and fleet_pids.
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
    start "$name" "$daemon" --settings "$work_dir/$name.toml"
    fleet_pids+=("${started[-1]}")
    ((++i))
  done
  for entry in "$@"; do
    local line
    line=$(wait_for_output "${entry%%:*}")
    fleet_callers+=("$(jq -r .callers <<<"$line")")
    fleet_operators+=("$(jq -r .operators <<<"$line")")
  done
}

# fleet_settings NAME DATA_CENTRE REGION ROLE PEERS PEER_PORT: writes the settings
# of one router of a fleet. An empty ROLE adds none to "router".
fleet_settings() {
  local roles='"router"'
  [[ -z $4 ]] || roles+=", \"$4\""
  cat >"$work_dir/$1.toml" <<EOF
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
path = "$work_dir/$1.log"
[limits]
max_queued_per_customer = ${max_queued:-64}
${fleet_extra:-}
EOF
}

# example_sheet DIR: copies the sheet of an example, which also lists its data
# centres.
example_sheet() {
  cp "$1/sheet.toml" "$work_dir/sheet.toml"
}

# start_example_targets DIR STEP_US: starts the replicas of an example with half
# of the slots; engine steps take STEP_US microseconds.
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
          --token "$target_token" --journal "$work_dir/$name.journal"
        ;;
      *)
        start "$name" "$engine" --name "$name" --models "$pool" \
          --data-centre "$data_centre" --entry-hosts "$hosts" \
          --token "$target_token" --step-us "$2" --step-per-sequence-us 0 \
          --slots "${slots:-4}" --cold-slots "${cold_slots:-2}" \
          --cold-ms "${cold_ms:-1000}" --journal "$work_dir/$name.journal"
        ;;
    esac
    ((++target_count))
  done <"$1/targets.txt"
}

# prepare_control_hosts COUNT: allocates ports for COUNT control hosts.
prepare_control_hosts() {
  control_count=$1
  control_base=$(free_port_base $((3 * control_count)))
  control_pids=()
  version=0
}

# control_seeds: prints the peer addresses of the first three control hosts as
# TOML strings.
control_seeds() {
  local i seeds=""
  for ((i = 0; i < 3; ++i)); do
    seeds+="\"127.0.0.1:$((control_base + control_count + i))\", "
  done
  echo "$seeds"
}

# control_settings INDEX FIRST_START: writes the settings of one control host.
control_settings() {
  cat >"$work_dir/c$1.toml" <<EOF
interface = "routes"
daemon = "c$1"
data_centre = "a"
region = "bench"
roles = ["control"]
data_folder = "$work_dir/data-c$1"
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
path = "$work_dir/c$1.log"
EOF
}

# start_control INDEX: starts a control host with its present settings and data
# folder.
start_control() {
  mkdir -p "$work_dir/data-c$1"
  start "c$1" "$daemon" --settings "$work_dir/c$1.toml"
  control_pids[$1]=${started[-1]}
}

# routes_router_settings NAME: writes the settings of a router that uses these
# control hosts.
routes_router_settings() {
  cat >"$work_dir/$1.toml" <<EOF
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
path = "$work_dir/$1.log"
EOF
}

# start_numbered_service NAME: starts a simulated service that announces itself to
# the control hosts.
start_numbered_service() {
  local i hosts=""
  for ((i = 0; i < 3; ++i)); do
    hosts+="127.0.0.1:$((control_base + i)),"
  done
  start "$1" "$service" --name "$1" --service desk --data-centre a --numbered \
    --entry-hosts "$hosts" --token "$target_token" --cold-slots 16
}

# apply_configuration INDEX: applies configuration $version through one control host.
apply_configuration() {
  cat >"$work_dir/configuration.json" <<EOF
{"version": $version,
 "routes": [{"name": "stock", "host_name": "desk.example",
             "path_prefix": "/stock/", "kind": "idempotent",
             "timeout_ms": 2000, "max_attempts": 2,
             "services": [{"service": "desk"}]}],
 "services": [{"name": "desk"}]}
EOF
  "$ctl" --address "127.0.0.1:$((control_base + $1))" \
    --token "$operator_token" --timeout 1 \
    config apply "$work_dir/configuration.json" >"$work_dir/apply.out" 2>&1
}

# apply_to_any_host: applies it through the first of three hosts that accepts it.
apply_to_any_host() {
  local i
  for i in 0 1 2; do
    ! apply_configuration "$i" || return 0
  done
  return 1
}

# bytes_sent PID: prints the number of bytes that the process has sent on its open
# TCP connections.
bytes_sent() {
  ss -tinpH | awk -v pid="pid=$1," '
    /^[A-Z]/ { matches = index($0, pid) > 0; next }
    matches && match($0, /bytes_sent:[0-9]+/) {
      sum += substr($0, RSTART + 11, RLENGTH - 11)
    }
    END { print sum + 0 }'
}
