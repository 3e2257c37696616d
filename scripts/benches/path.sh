# Overhead of one router: latency added to direct calls of the same simulated
# engine, interleaved in one run; throughput per core; idle CPU time.
source scripts/lib.sh

write_sheet large:1 other:1
log_level=warning write_settings router a '
[limits]
max_queued_per_customer = 1000'
start_daemon router "$work_dir/router.toml"
engines=()
for i in 1 2 3 4; do
  start "engine-$i" "$engine" --name "engine-$i" --data-centre a \
    --entry-hosts "$callers" --token "$target_token" --cold-ms 0 \
    --slots 64 --cold-slots 64 --step-us 200 --step-per-sequence-us 0
  engines+=("$(wait_for_output "engine-$i")")
done
wait_for_targets "$operators" 4

# Idle: targets announce themselves, but there are no calls.
sleep 1
before=$(cpu_seconds "$pid_router")
sleep 4
emit path idle_cpu \
  "$(evaluate "100 * ($(cpu_seconds "$pid_router") - $before) / 4")" \
  "% of a core" at-most 1

# Requests per second and core: closed loop, unstreamed responses of one token.
before=$(cpu_seconds "$pid_router")
for i in 1 2; do
  "$load" --hosts "$callers" --customer large:large-key:1 --seconds 5 \
    --concurrency 24 --max-tokens 1 --whole-share 1 --seed "$i" \
    >"$work_dir/closed-$i.json" &
  waiting[i]=$!
done
wait "${waiting[@]}"
answered=$(jq -s 'map(.all.outcomes.answered) | add' "$work_dir"/closed-*.json)
used=$(evaluate "$(cpu_seconds "$pid_router") - $before")
per_second=$(evaluate "$answered / 5")
emit path requests_per_second "$per_second" 1/s
emit path requests_per_core_second "$(evaluate "$answered / $used")" 1/s

# Latency added at a quarter of that rate, compared with concurrent direct calls
# to an engine; median of three runs, as single runs vary.
for i in 1 2 3; do
  "$load" --hosts "$callers,${engines[0]}" --seconds 3 --max-tokens 1 \
    --whole-share 1 --seed "$i" \
    --customer "large:large-key:$(evaluate "$per_second / 4"):0" \
    --customer "other:other-key:$(evaluate "$per_second / 16"):1" \
    >"$work_dir/latency-$i.json"
done
added() {
  jq -s "map(.hosts.\"$callers\".$1 - .hosts.\"${engines[0]}\".$1) | sort | .[1]" \
    "$work_dir"/latency-*.json
}
emit path added_latency_p50 "$(added total_p50_ms)" ms at-most 0.3
emit path added_latency_p99 "$(added total_p99_ms)" ms at-most 2

# Streamed tokens relayed per second of CPU time at saturation; median of three
# runs.
for run in 1 2 3; do
  before=$(cpu_seconds "$pid_router")
  for i in 1 2; do
    "$load" --hosts "$callers" --customer large:large-key:1 --seconds 3 \
      --concurrency 60 --max-tokens 1000 --seed "$i" >"$work_dir/stream-$i.json" &
    waiting[i]=$!
  done
  wait "${waiting[@]}"
  tokens=$(jq -s 'map(.all.tokens) | add' "$work_dir"/stream-*.json)
  evaluate "$tokens / ($(cpu_seconds "$pid_router") - $before)" >>"$work_dir/tokens"
done
emit path tokens_per_core_second "$(sort -n "$work_dir/tokens" | sed -n 2p)" 1/s \
  at-least 100000
emit path resident_memory "$(rss_mb "$pid_router")" MB
