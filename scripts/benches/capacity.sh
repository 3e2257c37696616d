# CPU time, message sizes and memory of the slot coordinator at increasing sizes,
# up to the required size of one data centre: 280 routers, 1,300 targets and 87
# backlogged customers.
source scripts/lib.sh

for size in "20 93" "70 325" "140 650" "280 1300"; do
  read -r routers targets <<<"$size"
  line=$("$build_dir/tools/burdocklock-capacity" --routers "$routers" \
    --targets "$targets")
  emit capacity "coordinator_cpu_at_$routers" "$(jq .cpu_percent <<<"$line")" \
    "% of a core"
  emit capacity "report_bytes_at_$routers" "$(jq .report_bytes <<<"$line")" B
  emit capacity "grant_bytes_at_$routers" "$(jq .grant_bytes <<<"$line")" B
  emit capacity "coordinator_memory_at_$routers" \
    "$(jq .peak_memory_mb <<<"$line")" MB
done
