# Time from a loss among three control hosts to the next acknowledged change, and
# to the next call that a router serves. $TRIES losses of each kind (default 20).
source scripts/lib.sh

tries=${TRIES:-20}
base=$(free_port_base 9)

# control_settings INDEX FIRST_START
control_settings() {
  cat >"$work/c$1.toml" <<TOML
interface = "routes"
daemon = "c$1"
data_centre = "a"
region = "bench"
roles = ["control"]
data_folder = "$work/data-c$1"
[listen]
commands = "127.0.0.1:$((base + $1))"
peers = "127.0.0.1:$((base + 3 + $1))"
operators = "127.0.0.1:$((base + 6 + $1))"
[control]
hosts = ["127.0.0.1:$((base + 3))", "127.0.0.1:$((base + 4))", "127.0.0.1:$((base + 5))"]
first_start = $2
data_centres = ["a"]
[tokens]
targets_sha256 = ["$(hash_key "$target_token")"]
operators_sha256 = ["$(hash_key "$operator_token")"]
[log]
path = "$work/c$1.log"
TOML
}

router_settings() {
  cat >"$work/router.toml" <<TOML
interface = "routes"
daemon = "router"
data_centre = "a"
region = "bench"
[listen]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
[control]
hosts = ["127.0.0.1:$((base + 3))", "127.0.0.1:$((base + 4))", "127.0.0.1:$((base + 5))"]
[log]
path = "$work/router.log"
TOML
}

# start_control INDEX: as it is configured, on the disk that it has.
start_control() {
  mkdir -p "$work/data-c$1"
  start "c$1" "$daemon" --settings "$work/c$1.toml"
  control_pids[$1]=${started[-1]}
}

version=0
# apply_once INDEX: puts the next version in force through one host.
apply_once() {
  cat >"$work/configuration.json" <<JSON
{"version": $version,
 "routes": [{"name": "stock", "host_name": "desk.example",
             "path_prefix": "/stock/", "kind": "idempotent",
             "timeout_ms": 2000, "max_attempts": 2,
             "services": [{"service": "desk"}]}],
 "services": [{"name": "desk"}]}
JSON
  "$ctl" --address "127.0.0.1:$((base + $1))" --token "$operator_token" \
    --timeout 1 config apply "$work/configuration.json" >"$work/apply.out" 2>&1
}

is_served() {
  [[ $(curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: desk.example' \
    "http://$callers/stock/1") == 200 ]]
}

# seconds_until COMMAND...: time until it succeeds, 30 s at most.
seconds_until() {
  local begin
  begin=$(date +%s.%N)
  until "$@"; do
    (($(date +%s) - ${begin%.*} < 30)) || break
    sleep 0.02
  done
  calc "$(date +%s.%N) - $begin"
}

apply_anywhere() {
  local i
  for i in 0 1 2; do
    ! apply_once "$i" || return 0
  done
  return 1
}

# leader: index of the host that leads; 0 if none is known.
leader() {
  local i
  for i in 0 1 2; do
    if [[ $("$ctl" --address "127.0.0.1:$((base + 6 + i))" \
      --token "$operator_token" --timeout 1 --json status 2>/dev/null |
      jq -r .role 2>/dev/null) == leader ]]; then
      echo "$i"
      return
    fi
  done
  echo 0
}

lose_leader_killed() {
  local lost
  lost=$(leader)
  kill -KILL "${control_pids[lost]}"
  repair=("$lost")
}
lose_leader_silent() {
  frozen=${control_pids[$(leader)]}
  kill -STOP "$frozen"
}
lose_disk() {
  local lost=$(((RANDOM + $1) % 3))
  kill -KILL "${control_pids[lost]}"
  wait "${control_pids[lost]}" 2>/dev/null || true
  rm -rf "$work/data-c$lost"
  control_settings "$lost" false
  start_control "$lost"
}
lose_all_killed() {
  local i
  kill -KILL "${control_pids[@]}"
  for i in 0 1 2; do
    wait "${control_pids[i]}" 2>/dev/null || true
    start_control "$i"
  done
}

frozen=
repair=()
# What was lost comes back before the next try.
mend() {
  local i
  if [[ -n $frozen ]]; then
    kill -CONT "$frozen"
    frozen=
  fi
  for i in "${repair[@]}"; do
    wait "${control_pids[i]}" 2>/dev/null || true
    start_control "$i"
  done
  repair=()
  # Until the host has its vote back; 2f + 1 are needed for the next loss.
  sleep 2
}

# report KIND BOUND: median and maximum of both times, in seconds.
report() {
  local figure
  for figure in change call; do
    emit recovery "$1_to_${figure}_median" \
      "$(sort -n "$work/$1.$figure" | awk '{ v[NR] = $1 } END { print v[int((NR + 1) / 2)] }')" \
      s at-most "$2"
    emit recovery "$1_to_${figure}_max" "$(sort -n "$work/$1.$figure" | tail -1)" \
      s at-most "$2"
  done
}

# measure KIND BOUND
measure() {
  local try
  for ((try = 0; try < tries; ++try)); do
    version=$((version + 1))
    "lose_$1" "$try"
    seconds_until is_served >>"$work/$1.call" &
    call=$!
    seconds_until apply_anywhere >>"$work/$1.change"
    wait "$call"
    mend
  done
  report "$1" "$2"
}

control_pids=()
for i in 0 1 2; do
  control_settings "$i" true
  start_control "$i"
done
router_settings
start_daemon router "$work/router.toml"
start desk "$service" --name desk-1 --service desk --data-centre a --numbered \
  --entry-hosts "127.0.0.1:$base,127.0.0.1:$((base + 1)),127.0.0.1:$((base + 2))" \
  --token "$target_token" --cold-slots 16
version=1
emit recovery first_start_to_change "$(seconds_until apply_anywhere)" s at-most 4
emit recovery first_start_to_call "$(seconds_until is_served)" s at-most 4

# One loss: 3 s until the others are in touch again, then 4 s for a change.
measure leader_killed 7
measure leader_silent 7
measure disk 7
# All at once: 12 s until service is back.
measure all_killed 12
