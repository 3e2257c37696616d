# Faults of the soak, drawn from the seed within the tolerance. To be sourced after
# hosts.sh.
#
# A fault takes as many places of the tolerance as it stops hosts. A place is free again
# when the host has been back for the time that it needs to catch up.

tolerance=2
catch_up_ms=6000
disk_catch_up_ms=7500
longest_pause_ms=6000
longest_stop_ms=8000

place_free_at=()   # times at which taken places are free again
due_times=()       # actions that go on with faults, and when
due_actions=()
planned_stops=0    # replaced hosts that have not ended yet
fault_count=0
slowest_stop_ms=0
endless_stops=0     # planned stops that did not end in longest_stop_ms
disturbed_since=   # begin of the present disturbance

# at MS ACTION...: runs the action after MS. A fault lasts until its last action is done.
at() {
  read_clock
  due_times+=($((now + $1)))
  due_actions+=("${*:2}")
}

# take_places COUNT MS: takes places for the time MS.
take_places() {
  local i
  read_clock
  for ((i = 0; i < $1; ++i)); do
    place_free_at+=($((now + $2)))
  done
}

count_free_places() {
  local time rest=()
  read_clock
  for time in "${place_free_at[@]}"; do
    ((time <= now)) || rest+=("$time")
  done
  place_free_at=("${rest[@]}")
  free_places=$((tolerance - ${#rest[@]}))
}

run_due() {
  local i times=("${due_times[@]}") actions=("${due_actions[@]}")
  read_clock
  local limit=$now
  due_times=()
  due_actions=()
  for i in "${!times[@]}"; do
    if ((times[i] <= limit)); then
      ${actions[i]}
    else
      due_times+=("${times[i]}")
      due_actions+=("${actions[i]}")
    fi
  done
}

# mark_disturbance: records when faults are in progress, as lines BEGIN END.
mark_disturbance() {
  read_clock
  if ((${#due_times[@]} > 0)); then
    disturbed_since=${disturbed_since:-$now}
  elif [[ -n $disturbed_since ]]; then
    echo "$disturbed_since $now" >>"$work_dir/disturbances"
    disturbed_since=
  fi
}

# find_leader: sets `leader` to the host that acknowledged the last change, if it runs.
find_leader() {
  local ip
  leader=
  [[ -s $work_dir/leader ]] || return 0
  read -r ip <"$work_dir/leader" || true
  local host=$((${ip##*.} - 10))
  [[ -z ${host_pids[$host]:-} || -n ${is_out[$host]:-} ]] || leader=$host
}

# draw_hosts COUNT: sets `hosts` to hosts that run, now and then with the leader.
draw_hosts() {
  local host candidates=()
  hosts=()
  find_leader
  draw 2
  if ((drawn)) && [[ -n $leader && " ${live[*]} " == *" $leader "* ]]; then
    hosts=("$leader")
  fi
  for host in "${live[@]}"; do
    [[ -n ${is_out[$host]:-} || $host == "${hosts[0]:-}" ]] || candidates+=("$host")
  done
  while ((${#hosts[@]} < $1)); do
    draw ${#candidates[@]}
    hosts+=("${candidates[drawn]}")
    unset "candidates[drawn]"
    candidates=("${candidates[@]}")
  done
}

draw_count() {
  draw "$free_places"
  count=$((drawn + 1))
}

return_host() {
  unset "is_out[$1]"
  draw_told
  start_host "$1" false
}

fault_killed() {
  local host
  draw_count
  draw_hosts "$count"
  draw 3000
  for host in "${hosts[@]}"; do
    is_out[$host]=1
    kill_host "$host"
    at "$drawn" return_host "$host"
  done
  take_places "$count" $((drawn + catch_up_ms))
}

fault_disk_lost() {
  local host
  draw_count
  draw_hosts "$count"
  draw 2000
  for host in "${hosts[@]}"; do
    is_out[$host]=1
    kill_host "$host"
    lose_disk "$host"
    at "$drawn" return_host "$host"
  done
  take_places "$count" $((drawn + disk_catch_up_ms))
}

# start_successor DATA_CENTRE
start_successor() {
  new_host "$1"
  draw_told
  start_host "$new" false
  add_live "$new"
}

fault_replaced() {
  local host
  draw_count
  draw_hosts "$count"
  draw 2000
  for host in "${hosts[@]}"; do
    kill_host "$host"
    remove_live "$host"
    at "$drawn" start_successor "${host_centres[$host]}"
  done
  take_places "$count" $((drawn + disk_catch_up_ms))
}

# stop_replaced HOST
stop_replaced() {
  remove_live "$1"
  signal_host "$1" TERM
  read_clock
  at 0 await_stopped "$1" "$now"
}

# await_stopped HOST SINCE
await_stopped() {
  read_clock
  local took=$((now - $2))
  if kill -0 "${host_pids[$1]}" 2>/dev/null && ((took < longest_stop_ms)); then
    at 50 await_stopped "$1" "$2"
    return
  fi
  ((took <= slowest_stop_ms)) || slowest_stop_ms=$took
  if kill -0 "${host_pids[$1]}" 2>/dev/null; then
    signal_host "$1" KILL
    ((++endless_stops))
  fi
  forget_process "$1"
  note "end host-$1 after $took ms"
  planned_stops=0
}

fault_planned() {
  draw_hosts 1
  planned_stops=1
  is_out[${hosts[0]}]=1
  start_successor "${host_centres[${hosts[0]}]}"
  draw 2000
  at "$drawn" stop_replaced "${hosts[0]}"
  take_places 1 $((drawn + 2000 + catch_up_ms))
}

# continue_host HOST
continue_host() {
  unset "is_out[$1]"
  signal_host "$1" CONT
}

fault_paused() {
  local host
  draw_count
  draw_hosts "$count"
  draw "$longest_pause_ms"
  for host in "${hosts[@]}"; do
    is_out[$host]=1
    signal_host "$host" STOP
    at "$drawn" continue_host "$host"
  done
  take_places "$count" $((drawn + catch_up_ms))
}

# Hosts that are catching up begin again.
fault_all_killed() {
  local host
  draw 1500
  for host in "${live[@]}"; do
    is_out[$host]=1
    kill_host "$host"
    at "$drawn" return_host "$host"
  done
  place_free_at=()
  take_places "$tolerance" $((drawn + disk_catch_up_ms))
}

# Disks and replacements are drawn more often than the rest.
fault_kinds=(killed disk_lost disk_lost replaced replaced planned paused all_killed)

# may_begin KIND: one planned stop at a time, and no sync of the disk beside it, bounds
# the number of processes.
may_begin() {
  case $1 in
    planned) ((planned_stops == 0)) && [[ -z $sync_pid ]] ;;
    all_killed) ((${#due_times[@]} == 0)) ;;
  esac
}

draw_fault() {
  count_free_places
  ((free_places > 0)) || return 0
  draw ${#fault_kinds[@]}
  local kind=${fault_kinds[drawn]}
  may_begin "$kind" || return 0
  note "fault $kind, places $free_places"
  ((++fault_count))
  "fault_$kind"
}
