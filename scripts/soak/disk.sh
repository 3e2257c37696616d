# How long the disk takes to sync. All hosts of the soak share one disk: while it does
# not sync, none of them can acknowledge anything. To be sourced after hosts.sh.

between_syncs_ms=1000
# From the least election timeout on, a sync disturbs all hosts.
stalled_sync_ms=800

sync_pid=
sync_began=0
slowest_sync_ms=0

start_sync() {
  dd if=/dev/zero of="$work_dir/sync" bs=4096 count=1 conv=fsync 2>/dev/null &
  sync_pid=$!
  sync_began=$now
}

# end_sync: records a sync that has ended, a stalled one as a line BEGIN END.
end_sync() {
  local took=$((now - sync_began))
  wait "$sync_pid" || true
  sync_pid=
  ((took <= slowest_sync_ms)) || slowest_sync_ms=$took
  ((took < stalled_sync_ms)) || echo "$sync_began $now" >>"$work_dir/stalls"
}

# measure_disk: to be called often. It starts nothing beside a planned stop, which
# bounds the number of processes.
measure_disk() {
  read_clock
  if [[ -n $sync_pid ]]; then
    kill -0 "$sync_pid" 2>/dev/null || end_sync
  elif ((now >= sync_began + between_syncs_ms && planned_stops == 0)); then
    start_sync
  fi
}

# stop_measuring: waits for the present sync.
stop_measuring() {
  [[ -z $sync_pid ]] || wait "$sync_pid" || true
  read_clock
  [[ -z $sync_pid ]] || end_sync
}
