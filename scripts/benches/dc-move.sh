# A data centre goes out of service and comes back under load.
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
  --max-tokens 20 --order-share 0.1 "${arguments[@]}" >"$work/move.json" &
load_pid=$!
sleep 10

# New requests at the data centre's engines (petaling holds replicas 2 and 6).
begun() {
  cat "$work"/lamp-llm-{2,6}.journal "$work/spares-desk-2.journal" | wc -l
}
order() {
  "$ctl" --address "${fleet_operators[3]}" --token "$operator_token" \
    dc "$1" petaling >/dev/null
}
order out
ordered=$(date +%s.%N)
last_change=$ordered
count=$(begun)
for ((i = 0; i < 80; ++i)); do
  sleep 0.1
  now=$(begun)
  if ((now != count)); then
    count=$now
    last_change=$(date +%s.%N)
  fi
done
emit dc-move last_new_request "$(calc "$last_change - $ordered")" s at-most 3
order in
sleep 6
emit dc-move requests_after_return "$(($(begun) - count))" count at-least 1
wait "$load_pid"
emit dc-move cut "$(jq '.all.outcomes.cut // 0' "$work/move.json")" \
  count at-most 0
emit dc-move lost "$(jq '.all.outcomes.no_answer // 0' "$work/move.json")" \
  count at-most 0
emit dc-move refused "$(jq '.all.outcomes.refused // 0' "$work/move.json")" \
  count at-most 0
emit dc-move first_token_p95 "$(jq .all.first_token_p95_ms "$work/move.json")" \
  ms at-most 490
falls=0
for i in 1 2 3 4 5 6 7 8 9; do
  falls=$((falls + $(curl -s "http://$(await_line "lamp-llm-$i")/stand-in/statistics" |
    jq .falls)))
done
emit dc-move fall_overs "$falls" count at-most 0
