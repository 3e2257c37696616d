# Processor time of a router for a relayed stream of ten outputs and for a refusal, at
# rates that leave it time to spare; medians of three runs. A router that hears
# more than it can serve refuses the rest: what that costs is lost to those it
# serves.
source scripts/lib.sh

write_sheet large:1
write_settings router a '
[limits]
max_queued_per_customer = 1000'
start_daemon router "$work_dir/router.toml"
for i in 1 2 3 4; do
  start "engine-$i" "$engine" --name "engine-$i" --data-centre a \
    --entry-hosts "$callers" --token "$target_token" --cold-ms 0 \
    --slots 64 --cold-slots 64 --step-us 2000 --step-per-sequence-us 0
done
wait_for_targets "$operators" 4

# cost CUSTOMER MAX_TOKENS: prints the median of milliseconds of processor time a call.
cost() {
  local i before calls
  for i in 1 2 3; do
    before=$(cpu_seconds "$pid_router")
    "$load" --hosts "$callers" --seconds 5 --max-tokens "$2" --seed "$i" \
      --customer "$1" >"$work_dir/load.json"
    calls=$(jq '.all.outcomes | add' "$work_dir/load.json")
    evaluate "1000 * ($(cpu_seconds "$pid_router") - $before) / $calls"
  done | sort -n | sed -n 2p
}
relayed=$(cost large:large-key:250 10)
refused=$(cost unknown:unknown-key:600 10)
emit call-cost relayed "$relayed" ms
emit call-cost refused "$refused" ms
emit call-cost refused_part "$(evaluate "$refused / $relayed")" "of a relayed call" \
  at-most 0.1
