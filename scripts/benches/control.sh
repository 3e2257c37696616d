# Control overhead of each daemon by the number of routers in one data centre, to
# extrapolate to the required size of 280 routers.
source scripts/lib.sh

example_sheet examples/klang-valley

# control_bytes OPERATORS: prints the bytes of control traffic that a daemon has
# sent and received so far.
control_bytes() {
  curl -s "http://$1/metrics" | awk '
    /^burdocklock_peer_bytes_(sent|received) / { sum += $2 }
    END { print sum + 0 }'
}

sizes=(${CONTROL_SIZES:-4 20 60})
for size in "${sizes[@]}"; do
  # One control daemon, which is the only peer of all other routers.
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
    start "r$i" "$daemon" --settings "$work_dir/r$i.toml"
    fleet_pids+=("${started[-1]}")
  done
  for ((i = 0; i < size; ++i)); do
    line=$(wait_for_output "r$i")
    fleet_callers+=("$(jq -r .callers <<<"$line")")
    fleet_operators+=("$(jq -r .operators <<<"$line")")
  done
  # Each target announces to one entry host only, as through a load balancer.
  for i in 1 2 3 4; do
    start "e$i" "$engine" --name "e$i" --models lamp-llm --cold-ms 0 \
      --data-centre shah-alam --slots 32 --cold-slots 32 --step-us 50000 \
      --entry-hosts "${fleet_callers[0]}" --token "$target_token"
  done
  sleep 4
  idle_cpu=$(cpu_seconds "${fleet_pids[-1]}")
  sleep 4
  emit control "router_control_cpu_at_$size" \
    "$(evaluate "100 * ($(cpu_seconds "${fleet_pids[-1]}") - $idle_cpu) / 4")" \
    "% of a core" at-most 4.8
  hosts=$(IFS=,; echo "${fleet_callers[*]}")
  "$load" --hosts "$hosts" --model lamp-llm --seconds 8 --max-tokens 10 \
    --customer keretapi-utara:keretapi-utara-key:150 \
    --customer lebuhraya-selatan:lebuhraya-selatan-key:150 \
    --customer depot-gemas:depot-gemas-key:20 >/dev/null &
  load_pid=$!
  sleep 2
  router_bytes=$(control_bytes "${fleet_operators[-1]}")
  coordinator_bytes=$(control_bytes "${fleet_operators[0]}")
  coordinator_cpu=$(cpu_seconds "${fleet_pids[0]}")
  router_cpu=$(cpu_seconds "${fleet_pids[-1]}")
  sleep 5
  router_bytes_after=$(control_bytes "${fleet_operators[-1]}")
  coordinator_bytes_after=$(control_bytes "${fleet_operators[0]}")
  coordinator_cpu_after=$(cpu_seconds "${fleet_pids[0]}")
  router_cpu_after=$(cpu_seconds "${fleet_pids[-1]}")
  emit control "router_bytes_at_$size" \
    "$(evaluate "($router_bytes_after - $router_bytes) / 5")" B/s at-most 6000
  emit control "coordinator_bytes_at_$size" \
    "$(evaluate "($coordinator_bytes_after - $coordinator_bytes) / 5")" B/s
  emit control "coordinator_cpu_at_$size" \
    "$(evaluate "100 * ($coordinator_cpu_after - $coordinator_cpu) / 5")" "% of a core"
  emit control "router_cpu_with_traffic_at_$size" \
    "$(evaluate "100 * ($router_cpu_after - $router_cpu) / 5")" "% of a core"
  emit control "router_memory_at_$size" "$(rss_mb "${fleet_pids[-1]}")" MB \
    at-most 64
  emit control "coordinator_memory_at_$size" "$(rss_mb "${fleet_pids[0]}")" MB
  wait "$load_pid"
  stop_started
done
