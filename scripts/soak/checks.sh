# Checks of the soak. The bounds come from the settings of klang-valley grown. To be
# sourced after disk.sh.

acknowledgement_ms=5000
contact_ms=4000
apply_ms=2500
change_bound_ms=$((acknowledgement_ms + contact_ms))
read_back_bound_ms=15000

unexpected_ends=0
read_back_ms=0

# count_unexpected_ends: hosts whose process has ended although no fault stopped it.
count_unexpected_ends() {
  local host
  for host in "${live[@]}"; do
    if ! kill -0 "${host_pids[$host]}" 2>/dev/null; then
      note "host-$host ended unexpectedly"
      ((++unexpected_ends))
    fi
  done
}

# newest_acknowledged: prints the newest version that was acknowledged.
newest_acknowledged() {
  awk '$3 != "-" && $1 > newest { newest = $1 } END { print newest + 0 }' \
    "$work_dir/changes"
}

# read_back_everywhere: measures the time until each host has answered with the newest
# version that was acknowledged, itself or by a redirect.
read_back_everywhere() {
  trap "" PIPE
  local -A kept=()
  local host ip newest begin trail="" location status answer read_back
  newest=$(newest_acknowledged)
  read_clock
  begin=$now
  for host in "${live[@]}"; do
    address ip "$host"
    until read_version "$ip" && ((read_back >= newest)); do
      read_clock
      ((now - begin <= read_back_bound_ms)) || break
      pause 100
    done
  done
  read_clock
  read_back_ms=$((now - begin))
  note "newest acknowledged $newest, read back ${read_back:-none} after $read_back_ms ms"
}

# longest_in_calm RECORD...: prints the longest time, in ms, for which a change waited
# while nothing in these records of lines BEGIN END was in progress.
longest_in_calm() {
  (cd "$work_dir" && sort -n "$@") >"$work_dir/intervals"
  awk -v began="$fleet_began" -v ended="$faults_ended" '
    BEGIN { calms = 1; from[1] = began; to[1] = ended }
    FILENAME ~ /intervals$/ {
      if ($1 > from[calms]) {
        to[calms] = $1
        ++calms
        from[calms] = $2
      } else if ($2 > from[calms]) {
        from[calms] = $2
      }
      to[calms] = ended
      next
    }
    {
      for (i = 1; i <= calms; ++i) {
        begin = $2 > from[i] ? $2 : from[i]
        end = $3 != "-" && $3 < to[i] ? $3 : to[i]
        if (end - begin > longest) longest = end - begin
      }
    }
    END { print longest + 0 }' "$work_dir/intervals" "$work_dir/changes"
}

# old_reads MS: prints how many reads returned a version older than the newest that had
# been acknowledged MS before the read began.
old_reads() {
  awk -v age="$1" '
    FILENAME ~ /changes$/ { if ($3 != "-") { version[++n] = $1; time[n] = $3 }; next }
    {
      while (next_change < n && time[next_change + 1] <= $1 - age) ++next_change
      if (next_change && $2 < version[next_change]) ++old
    }
    END { print old + 0 }' "$work_dir/changes" "$work_dir/reads"
}

# check FIGURE VALUE UNIT [at-most|at-least BOUND]
check() {
  emit "soak-control, seed $seed" "$@" | tee -a "$work_dir/results"
}

in_seconds() {
  evaluate "$1 / 1000"
}

# report: prints all checks; fails if one does not hold.
report() {
  local slowest
  slowest=$(awk '$3 != "-" && $3 - $2 > m { m = $3 - $2 } END { print m + 0 }' \
    "$work_dir/changes")
  check faults "$fault_count" count
  check changes "$(newest_acknowledged)" count at-least 1
  check change_max "$(in_seconds "$slowest")" s
  check change_in_calm_max "$(in_seconds "$(longest_in_calm disturbances)")" s \
    at-most "$(in_seconds "$change_bound_ms")"
  check slowest_sync "$(in_seconds "$slowest_sync_ms")" s
  check change_in_calm_of_disk_max \
    "$(in_seconds "$(longest_in_calm disturbances stalls)")" s \
    at-most "$(in_seconds "$change_bound_ms")"
  check reads "$(wc -l <"$work_dir/reads")" count at-least 1
  check reads_older_than_acknowledged "$(old_reads "$apply_ms")" count at-most 0
  check reads_behind_at_once "$(old_reads 0)" count
  check planned_stop_max "$(in_seconds "$slowest_stop_ms")" s
  check endless_stops "$endless_stops" count at-most 0
  check unexpected_ends "$unexpected_ends" count at-most 0
  check operator_failed "$operator_failed" count at-most 0
  check calms_without_change "$unsettled" count at-most 0
  check read_back "$(in_seconds "$read_back_ms")" s \
    at-most "$(in_seconds "$read_back_bound_ms")"
  jobs -p >"$work_dir/left"
  check processes_left "$(wc -l <"$work_dir/left")" count at-most 0
  ! grep -q '"holds":false' "$work_dir/results"
}
