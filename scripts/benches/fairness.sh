# Service gap between backlogged customers over the whole fleet of
# examples/klang-valley: four large customers send ten times their share, and the
# small ones are always backlogged, one of them at a single router.
source scripts/lib.sh

example_sheet examples/klang-valley
max_queued=16 start_fleet klang-valley \
  shah-alam-1:shah-alam:control petaling-1:petaling:control \
  cheras-1:cheras:control putrajaya-1:putrajaya:control shah-alam-2:shah-alam:
start_example_targets examples/klang-valley 10000
wait_for_targets "${fleet_operators[0]}" 4
sleep 6

# 9 engines with 4 slots each and 20 tokens of 10 ms per request: 36 slots, 3,600
# tokens/s and 180 requests/s, for a total of 38 shares.
tokens=20
large=(keretapi-utara:8 lebuhraya-selatan:8 rel-pantai-timur:6 bandar-signal:4)
small=(depot-gemas depot-ipoh depot-kluang depot-sentul)
arguments=()
for entry in "${large[@]}"; do
  name=${entry%:*}
  arguments+=(--customer "$name:$name-key:$(evaluate "47 * ${entry#*:}")"
    --share "$entry")
done
for name in "${small[@]}"; do
  arguments+=(--customer "$name:$name-key:20" --share "$name:1")
done
arguments+=(--customer depot-tumpat:depot-tumpat-key:20:2 --share depot-tumpat:1)
"$load" --hosts "$(IFS=,; echo "${fleet_callers[*]}")" --model lamp-llm \
  --seconds 30 --max-tokens "$tokens" --gap-after 8 "${arguments[@]}" \
  >"$work_dir/fairness.json"

# Bound (docs/design/002-fair-fleet.md): rate x (report period + longest
# request) / smallest share = 3,600 x (1 + 0.25) / 1.
emit fairness largest_gap "$(jq .gap.largest "$work_dir/fairness.json")" \
  "tokens/share" at-most 4500
emit fairness answered_per_second \
  "$(jq '.all.outcomes.answered / 30' "$work_dir/fairness.json")" 1/s
emit fairness smallest_customer_wait_p95 \
  "$(jq '.customers."depot-tumpat".first_token_p95_ms' "$work_dir/fairness.json")" ms
jq -c '[.gap, (.customers | map_values(.tokens))]' "$work_dir/fairness.json" >&2
