# Cost of control for each daemon, against the number of routers in one data
# centre, and the slope to the size of letter 1 (280 routers a data centre).
source scripts/lib.sh

example_sheet examples/klang-valley

# control_bytes OPERATORS: control traffic of a daemon so far, both ways.
control_bytes() {
  curl -s "http://$1/metrics" | awk '
    /^burdocklock_peer_bytes_(sent|received) / { sum += $2 }
    END { print sum + 0 }'
}

sizes=(${CONTROL_SIZES:-4 20 60})
for size in "${sizes[@]}"; do
  # One control daemon, and routers that know it alone.
  base=$(free_port_base $((size + 1)))
  fleet_callers=() fleet_operators=() fleet_pids=()
  for ((i = 0; i < size; ++i)); do
    peers="\"127.0.0.1:$base\""
    role=""
    if ((i == 0)); then
      peers="" role=control
    fi
    log_level=warning fleet_settings "r$i" shah-alam klang-valley "$role" \
      "$peers" "$((base + i))"
    start "r$i" "$daemon" --settings "$work/r$i.toml"
    fleet_pids+=("${started[-1]}")
  done
  for ((i = 0; i < size; ++i)); do
    line=$(await_line "r$i")
    fleet_callers+=("$(jq -r .callers <<<"$line")")
    fleet_operators+=("$(jq -r .operators <<<"$line")")
  done
  # Targets announce at one entry host each, as behind a balancer.
  for i in 1 2 3 4; do
    start "e$i" "$engine" --name "e$i" --models lamp-llm --cold-ms 0 \
      --data-centre shah-alam --slots 32 --cold-slots 32 --step-us 50000 \
      --entry-hosts "${fleet_callers[0]}" --token "$target_token"
  done
  sleep 4
  idle_cpu=$(cpu_seconds "${fleet_pids[-1]}")
  sleep 4
  emit control "router_control_cpu_at_$size" \
    "$(calc "100 * ($(cpu_seconds "${fleet_pids[-1]}") - $idle_cpu) / 4")" \
    "% of a core" at-most 4.8
  hosts=$(IFS=,; echo "${fleet_callers[*]}")
  "$load" --hosts "$hosts" --model lamp-llm --seconds 8 --max-tokens 10 \
    --customer keretapi-utara:keretapi-utara-key:150 \
    --customer lebuhraya-selatan:lebuhraya-selatan-key:150 \
    --customer depot-gemas:depot-gemas-key:20 >/dev/null &
  load_pid=$!
  sleep 2
  sent=$(control_bytes "${fleet_operators[-1]}")
  hub=$(control_bytes "${fleet_operators[0]}")
  cpu=$(cpu_seconds "${fleet_pids[0]}")
  router_cpu=$(cpu_seconds "${fleet_pids[-1]}")
  sleep 5
  sent_after=$(control_bytes "${fleet_operators[-1]}")
  hub_after=$(control_bytes "${fleet_operators[0]}")
  cpu_after=$(cpu_seconds "${fleet_pids[0]}")
  router_cpu_after=$(cpu_seconds "${fleet_pids[-1]}")
  emit control "router_bytes_at_$size" "$(calc "($sent_after - $sent) / 5")" \
    B/s at-most 6000
  emit control "coordinator_bytes_at_$size" \
    "$(calc "($hub_after - $hub) / 5")" B/s
  emit control "coordinator_cpu_at_$size" \
    "$(calc "100 * ($cpu_after - $cpu) / 5")" "% of a core"
  emit control "router_cpu_with_traffic_at_$size" \
    "$(calc "100 * ($router_cpu_after - $router_cpu) / 5")" "% of a core"
  emit control "router_memory_at_$size" "$(rss_mb "${fleet_pids[-1]}")" MB \
    at-most 64
  emit control "coordinator_memory_at_$size" "$(rss_mb "${fleet_pids[0]}")" MB
  wait "$load_pid"
  stop_started
done
