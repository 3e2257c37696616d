# Recovery time after failures of three control hosts: until the next acknowledged
# configuration change, and until the next call that a router serves. Each kind of
# failure is repeated $TRIES times (default 20).
source scripts/lib.sh

tries=${TRIES:-20}
prepare_control_hosts 3

# seconds_until COMMAND...: prints the time until COMMAND succeeds, at most 30 s.
seconds_until() {
  local begin
  begin=$(date +%s.%N)
  until "$@"; do
    (($(date +%s) - ${begin%.*} < 30)) || break
    sleep 0.02
  done
  evaluate "$(date +%s.%N) - $begin"
}

is_served() {
  [[ $(curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: desk.example' \
    "http://$callers/stock/1") == 200 ]]
}

# leader: prints the index of the leader, or 0 if no leader is known.
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

fail_leader_killed() {
  local failed
  failed=$(leader)
  kill -KILL "${control_pids[failed]}"
  hosts_to_restart=("$failed")
}
fail_leader_silent() {
  stopped_pid=${control_pids[$(leader)]}
  kill -STOP "$stopped_pid"
}
fail_disk() {
  local failed=$(((RANDOM + $1) % 3))
  kill -KILL "${control_pids[failed]}"
  wait "${control_pids[failed]}" 2>/dev/null || true
  rm -rf "$work_dir/data-c$failed"
  control_settings "$failed" false
  start_control "$failed"
}
fail_all_killed() {
  local i
  kill -KILL "${control_pids[@]}"
  for i in 0 1 2; do
    wait "${control_pids[i]}" 2>/dev/null || true
    start_control "$i"
  done
}

stopped_pid=
hosts_to_restart=()
# Restores the failed hosts before the next try.
restore_hosts() {
  local i
  if [[ -n $stopped_pid ]]; then
    kill -CONT "$stopped_pid"
    stopped_pid=
  fi
  for i in "${hosts_to_restart[@]}"; do
    wait "${control_pids[i]}" 2>/dev/null || true
    start_control "$i"
  done
  hosts_to_restart=()
  # Wait until the host is a voter again; tolerating the next failure takes
  # 2f + 1 voters.
  sleep 2
}

# report KIND BOUND: emits median and maximum of both times, in seconds.
report() {
  local figure
  for figure in change call; do
    emit recovery "$1_to_${figure}_median" \
      "$(sort -n "$work_dir/$1.$figure" | awk '{ v[NR] = $1 } END { print v[int((NR + 1) / 2)] }')" \
      s at-most "$2"
    emit recovery "$1_to_${figure}_max" "$(sort -n "$work_dir/$1.$figure" | tail -1)" \
      s at-most "$2"
  done
}

# measure KIND BOUND: causes failures of one kind and reports the recovery times.
measure() {
  local try
  for ((try = 0; try < tries; ++try)); do
    version=$((version + 1))
    "fail_$1" "$try"
    seconds_until is_served >>"$work_dir/$1.call" &
    call=$!
    seconds_until apply_to_any_host >>"$work_dir/$1.change"
    wait "$call"
    restore_hosts
  done
  report "$1" "$2"
}

for i in 0 1 2; do
  control_settings "$i" true
  start_control "$i"
done
routes_router_settings router
start_daemon router "$work_dir/router.toml"
start_numbered_service desk-1
version=1
emit recovery first_start_to_change "$(seconds_until apply_to_any_host)" s at-most 4
emit recovery first_start_to_call "$(seconds_until is_served)" s at-most 4

# One failure: 3 s until the others have contact again, then 4 s for a change.
measure leader_killed 7
measure leader_silent 7
measure disk 7
# All hosts at once: 12 s until service is restored.
measure all_killed 12
