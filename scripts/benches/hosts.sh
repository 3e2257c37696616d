# Idle cost of 3, 4 and 8 control hosts with four routers and twelve announcing
# targets, without requests: CPU time, bytes sent and memory.
source scripts/lib.sh

seconds=${SECONDS_MEASURED:-20}

# median VALUE...: prints the median; the lower one for an even count.
median() {
  printf '%s\n' "$@" | sort -n | awk '{ v[NR] = $1 } END { print v[int((NR + 1) / 2)] }'
}

# per_second AFTER BEFORE: prints the rate over the measured time.
per_second() {
  evaluate "($1 - $2) / $seconds"
}

# measure COUNT: measures a fleet with COUNT control hosts.
measure() {
  local i pid pids cpu=() sent=() cpu_per_s=() sent_per_s=()
  prepare_control_hosts "$1"
  rm -rf "$work_dir"/data-c*
  for ((i = 0; i < $1; ++i)); do
    control_settings "$i" true
    start_control "$i"
  done
  pids=("${control_pids[@]}")
  for i in 1 2 3 4; do
    routes_router_settings "r$i"
    start "r$i" "$daemon" --settings "$work_dir/r$i.toml"
    pids+=("${started[-1]}")
  done
  for ((i = 1; i <= 12; ++i)); do
    start_numbered_service "desk-$i"
  done
  # Wait until the hosts that joined later have become voters.
  sleep 6
  version=1
  until apply_to_any_host; do
    sleep 0.1
  done
  for pid in "${pids[@]}"; do
    cpu+=("$(cpu_seconds "$pid")")
    sent+=("$(bytes_sent "$pid")")
  done
  sleep "$seconds"
  for ((i = 0; i < ${#pids[@]}; ++i)); do
    cpu_per_s+=("$(per_second "$(cpu_seconds "${pids[i]}")" "${cpu[i]}")")
    sent_per_s+=("$(per_second "$(bytes_sent "${pids[i]}")" "${sent[i]}")")
  done
  emit hosts "control_host_cpu_$1" \
    "$(evaluate "100 * $(median "${cpu_per_s[@]:0:$1}")")" "% of a core" at-most 30
  emit hosts "control_host_bytes_$1" "$(median "${sent_per_s[@]:0:$1}")" "B/s"
  emit hosts "router_cpu_$1" \
    "$(evaluate "100 * $(median "${cpu_per_s[@]:$1}")")" "% of a core" at-most 4.8
  emit hosts "router_bytes_$1" "$(median "${sent_per_s[@]:$1}")" "B/s" \
    at-most 6000
  emit hosts "control_host_memory_$1" "$(rss_mb "${control_pids[0]}")" MB at-most 64
  stop_started
}

measure 3
measure 4
measure 8
