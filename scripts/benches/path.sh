# Cost of the way through one router: added latency against calling the same
# stand-in directly, interleaved in one run; throughput per core; idle cost.
source scripts/lib.sh

write_sheet large:1 other:1
log_level=warning write_settings router a '
[limits]
max_queued_per_customer = 1000'
start_daemon router "$work/router.toml"
engines=()
for i in 1 2 3 4; do
  start "engine-$i" "$engine" --name "engine-$i" --data-centre a \
    --entry-hosts "$callers" --token "$target_token" --cold-ms 0 \
    --slots 64 --cold-slots 64 --step-us 200 --step-per-sequence-us 0
  engines+=("$(await_line "engine-$i")")
done
await_targets "$operators" 4

# Idle: targets announce themselves, nobody calls.
sleep 1
before=$(cpu_seconds "$pid_router")
sleep 4
emit path idle_cpu \
  "$(calc "100 * ($(cpu_seconds "$pid_router") - $before) / 4")" \
  "% of a core" at-most 1

# Requests per second and core: closed loop, whole answers of one token.
before=$(cpu_seconds "$pid_router")
for i in 1 2; do
  "$load" --hosts "$callers" --customer large:large-key:1 --seconds 5 \
    --concurrency 24 --max-tokens 1 --whole-share 1 --seed "$i" \
    >"$work/closed-$i.json" &
  waiting[i]=$!
done
wait "${waiting[@]}"
answered=$(jq -s 'map(.all.outcomes.answered) | add' "$work"/closed-*.json)
used=$(calc "$(cpu_seconds "$pid_router") - $before")
per_second=$(calc "$answered / 5")
emit path requests_per_second "$per_second" 1/s
emit path requests_per_core_second "$(calc "$answered / $used")" 1/s

# Added latency at a quarter of that rate, against calls straight to an engine
# at the same time; the median of three runs, as single runs scatter.
for i in 1 2 3; do
  "$load" --hosts "$callers,${engines[0]}" --seconds 3 --max-tokens 1 \
    --whole-share 1 --seed "$i" \
    --customer "large:large-key:$(calc "$per_second / 4"):0" \
    --customer "other:other-key:$(calc "$per_second / 16"):1" \
    >"$work/latency-$i.json"
done
added() {
  jq -s "map(.hosts.\"$callers\".$1 - .hosts.\"${engines[0]}\".$1) | sort | .[1]" \
    "$work"/latency-*.json
}
emit path added_latency_p50 "$(added total_p50_ms)" ms at-most 0.3
emit path added_latency_p99 "$(added total_p99_ms)" ms at-most 2

# Streamed tokens relayed per second of processor time, at saturation; the
# median of three runs.
for run in 1 2 3; do
  before=$(cpu_seconds "$pid_router")
  for i in 1 2; do
    "$load" --hosts "$callers" --customer large:large-key:1 --seconds 3 \
      --concurrency 60 --max-tokens 1000 --seed "$i" >"$work/stream-$i.json" &
    waiting[i]=$!
  done
  wait "${waiting[@]}"
  tokens=$(jq -s 'map(.all.tokens) | add' "$work"/stream-*.json)
  calc "$tokens / ($(cpu_seconds "$pid_router") - $before)" >>"$work/tokens"
done
emit path tokens_per_core_second "$(sort -n "$work/tokens" | sed -n 2p)" 1/s \
  at-least 100000
emit path resident_memory "$(rss_mb "$pid_router")" MB
