# Time from a loss among three control hosts to the next acknowledged change, and
# to the next call that a router serves. $TRIES losses of each kind (default 20).
source scripts/lib.sh

tries=${TRIES:-20}
prepare_control_hosts 3

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

is_served() {
  [[ $(curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: desk.example' \
    "http://$callers/stock/1") == 200 ]]
}

# leader: index of the host that leads; 0 if none is known.
leader() {
  local i
  for i in 0 1 2; do
    if [[ $("$ctl" --address "127.0.0.1:$((control_base + 2 * control_count + i))" \
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

for i in 0 1 2; do
  control_settings "$i" true
  start_control "$i"
done
routes_router_settings router
start_daemon router "$work/router.toml"
start_numbered_service desk-1
version=1
emit recovery first_start_to_change "$(seconds_until apply_anywhere)" s at-most 4
emit recovery first_start_to_call "$(seconds_until is_served)" s at-most 4

# One loss: 3 s until the others are in touch again, then 4 s for a change.
measure leader_killed 7
measure leader_silent 7
measure disk 7
# All at once: 12 s until service is back.
measure all_killed 12
