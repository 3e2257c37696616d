# Under load: routers are killed and restarted without state, and targets become
# cold without announcing it; first separately, then at the same time.
source scripts/lib.sh

example_sheet examples/klang-valley
max_queued=200 start_fleet klang-valley \
  shah-alam-1:shah-alam:control petaling-1:petaling:control \
  cheras-1:cheras:control putrajaya-1:putrajaya:control shah-alam-2:shah-alam:
slots=8 start_example_targets examples/klang-valley 10000
sleep 6

# Send load only to the routers that are not killed.
live="${fleet_callers[1]},${fleet_callers[2]},${fleet_callers[4]}"
"$load" --hosts "$live" --model lamp-llm --seconds 36 --max-tokens 20 \
  --customer keretapi-utara:keretapi-utara-key:60 \
  --customer depot-gemas:depot-gemas-key:5 >"$work_dir/failures.json" &
load_pid=$!
sleep 8

requests_started() {
  cat "$work_dir"/lamp-llm-{1,5,9}.journal | wc -l
}
# Kill the coordinator of shah-alam, whose engines are replicas 1, 5 and 9.
kill -KILL "${fleet_pids[0]}"
sleep 0.5
count=$(requests_started)
killed=$(date +%s.%N)
while (($(requests_started) < count + 5)); do
  sleep 0.1
  (($(date +%s) - ${killed%.*} < 15)) || break
done
emit failures seconds_until_slots_serve_again \
  "$(evaluate "$(date +%s.%N) - $killed + 0.5")" s at-most 10
start shah-alam-1b "$daemon" --settings "$work_dir/shah-alam-1.toml"
sleep 3
make_cold() {
  curl -s -X POST -d '{"kind":"cold"}' \
    "http://$(wait_for_output "lamp-llm-$1")/stand-in/fault" >/dev/null
}
make_cold 3
sleep 5
# Both at once: kill another coordinator while a target becomes cold.
make_cold 4
kill -KILL "${fleet_pids[3]}"
wait "$load_pid"
emit failures answered "$(jq .all.outcomes.answered "$work_dir/failures.json")" count
emit failures refused "$(jq '.all.outcomes.refused // 0' "$work_dir/failures.json")" \
  count
falls=0
for i in 1 2 3 4 5 6 7 8 9; do
  falls=$((falls + $(curl -s "http://$(wait_for_output "lamp-llm-$i")/stand-in/statistics" |
    jq .falls)))
done
emit failures fall_overs "$falls" count at-most 0
