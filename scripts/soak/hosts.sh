# Control hosts of the soak: settings, processes, and who belongs to the fleet. Each
# host has an address of its own on the loopback interface and the same ports.
# To be sourced after lib.sh.

command_port=18166
link_port=17240
operator_port=17401
# Runs at the same time use different networks.
network=127.$((16 + $$ / 200 % 200)).$((1 + $$ % 200))
data_centres=(a b c d)
# A host that starts is told of hosts that belonged to the fleet so long ago.
told_age_ms=3000

next_host=0
declare -A host_pids=()      # of hosts that run or are paused, by host
declare -A host_centres=()   # data centre, by host
declare -A is_out=()         # hosts that a fault has stopped, by host
live=()                      # hosts that belong to the fleet
history_times=()             # when `live` changed, ascending, and what it was then
history_hosts=()

# read_clock: sets `now`, in milliseconds.
read_clock() {
  now=$((${EPOCHREALTIME/[.,]/} / 1000))
}

# pause MS: waits without starting a process.
pause() {
  local seconds
  printf -v seconds '%d.%03d' $(($1 / 1000)) $(($1 % 1000))
  read -r -t "$seconds" -u "$idle_fd" || true
}

# draw BELOW: sets `drawn` to a number from 0 to BELOW - 1.
draw() {
  drawn=$((RANDOM % $1))
}

note() {
  read_clock
  echo "$now $*" >>"$work_dir/events"
}

address() {
  printf -v "$1" '%s.%d' "$network" $((10 + $2))
}

# publish_live: records a change of `live`, and shows it to the operator.
publish_live() {
  read_clock
  history_times+=("$now")
  history_hosts+=("${live[*]}")
  local host ip line=""
  for host in "${live[@]}"; do
    address ip "$host"
    line+="$ip "
  done
  echo "$line" >"$work_dir/live.new"
  mv "$work_dir/live.new" "$work_dir/live"
}

add_live() {
  live+=("$1")
  publish_live
}
remove_live() {
  local host rest=()
  for host in "${live[@]}"; do
    [[ $host == "$1" ]] || rest+=("$host")
  done
  live=("${rest[@]}")
  publish_live
}

# draw_told: sets `told` to the link addresses of three hosts that belonged to the
# fleet some time ago, as TOML strings.
draw_told() {
  local i ip hosts=(${history_hosts[0]})
  read_clock
  for ((i = 0; i < ${#history_times[@]}; ++i)); do
    ((history_times[i] > now - told_age_ms)) || hosts=(${history_hosts[i]})
  done
  told=""
  for i in 1 2 3; do
    draw ${#hosts[@]}
    address ip "${hosts[drawn]}"
    told+="\"$ip:$link_port\", "
    unset "hosts[drawn]"
    hosts=("${hosts[@]}")
  done
}

# new_host DATA_CENTRE: sets `new` to a host with an address not used before.
new_host() {
  new=$((next_host++))
  host_centres[$new]=$1
}

# start_host HOST FIRST_START: starts a host with its present disk, which is told of
# the addresses `told`.
start_host() {
  local ip folder=$work_dir/host-$1
  address ip "$1"
  mkdir -p "$folder/data"
  cat >"$folder/settings.toml" <<END
interface = "routes"
daemon = "host-$1"
data_centre = "${host_centres[$1]}"
region = "soak"
roles = ["control"]
data_folder = "$folder/data"
[listen]
commands = "$ip:$command_port"
peers = "$ip:$link_port"
operators = "$ip:$operator_port"
[control]
hosts = [$told]
link_port = $link_port
first_start = $2
tolerated_disk_losses = $tolerance
data_centres = ["a", "b", "c", "d"]
[tokens]
targets_sha256 = ["$target_hash"]
operators_sha256 = ["$operator_hash"]
[log]
path = "stdout"
END
  "$daemon" --settings "$folder/settings.toml" >>"$folder/log" 2>&1 &
  host_pids[$1]=$!
  note "start host-$1 told $told"
}

# forget_process HOST: waits for the end of its process.
forget_process() {
  wait "${host_pids[$1]}" 2>/dev/null || true
  unset "host_pids[$1]"
}

signal_host() {
  note "$2 host-$1"
  kill "-$2" "${host_pids[$1]}" 2>/dev/null || true
}

kill_host() {
  signal_host "$1" KILL
  forget_process "$1"
}

lose_disk() {
  note "disk of host-$1 is lost"
  rm -rf "$work_dir/host-$1/data"
}

# end_hosts: ends all processes of hosts, paused ones too.
end_hosts() {
  local host
  for host in "${!host_pids[@]}"; do
    kill_host "$host"
  done
}
