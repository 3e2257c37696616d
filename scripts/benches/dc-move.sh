# Takes a data centre out of service and back in under load.
source scripts/lib.sh

example_sheet examples/klang-valley
max_queued=200 start_fleet klang-valley \
  shah-alam-1:shah-alam:control petaling-1:petaling:control \
  cheras-1:cheras:control putrajaya-1:putrajaya:control shah-alam-2:shah-alam:
slots=8 start_example_targets examples/klang-valley 10000
sleep 6

hosts=$(IFS=,; echo "${fleet_callers[*]}")
arguments=()
for name in keretapi-utara lebuhraya-selatan rel-pantai-timur bandar-signal; do
  arguments+=(--customer "$name:$name-key:25")
done
arguments+=(--customer depot-gemas:depot-gemas-key:5)
"$load" --hosts "$hosts" --model lamp-llm --service spares-desk --seconds 32 \
  --max-tokens 20 --order-share 0.1 "${arguments[@]}" >"$work_dir/move.json" &
load_pid=$!
sleep 10

# Prints the number of requests started at the targets of petaling: engine
# replicas 2 and 6, service replica 2.
requests_started() {
  cat "$work_dir"/lamp-llm-{2,6}.journal "$work_dir/spares-desk-2.journal" | wc -l
}
set_data_centre() {
  "$ctl" --address "${fleet_operators[3]}" --token "$operator_token" \
    dc "$1" petaling >/dev/null
}
set_data_centre out
taken_out=$(date +%s.%N)
last_change=$taken_out
count=$(requests_started)
for ((i = 0; i < 80; ++i)); do
  sleep 0.1
  now=$(requests_started)
  if ((now != count)); then
    count=$now
    last_change=$(date +%s.%N)
  fi
done
emit dc-move last_new_request "$(evaluate "$last_change - $taken_out")" s at-most 3
set_data_centre in
sleep 6
emit dc-move requests_after_return "$(($(requests_started) - count))" count at-least 1
wait "$load_pid"
emit dc-move cut "$(jq '.all.outcomes.cut // 0' "$work_dir/move.json")" \
  count at-most 0
emit dc-move lost "$(jq '.all.outcomes.no_answer // 0' "$work_dir/move.json")" \
  count at-most 0
emit dc-move refused "$(jq '.all.outcomes.refused // 0' "$work_dir/move.json")" \
  count at-most 0
emit dc-move first_token_p95 "$(jq .all.first_token_p95_ms "$work_dir/move.json")" \
  ms at-most 490
falls=0
for i in 1 2 3 4 5 6 7 8 9; do
  falls=$((falls + $(curl -s "http://$(wait_for_output "lamp-llm-$i")/stand-in/statistics" |
    jq .falls)))
done
emit dc-move fall_overs "$falls" count at-most 0
